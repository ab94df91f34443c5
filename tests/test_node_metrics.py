"""Metrics of a VM: values are read when scraped, durations become a histogram."""

import asyncio
import subprocess
import sys

from dotterelfront import node, node_metrics
from soak import caller, play


def scrape(metrics):
    return asyncio.run(metrics.text()).decode()


def answered(text):
    [line] = [line for line in text.splitlines() if line.startswith("dotterelfront_answers_total")]
    assert 'status="200"' in line
    return line.rpartition(" ")[2]


def test_values_are_read_at_each_scrape():
    """Guards against metrics that stand still, and against counters without their label."""
    answers = {"200": 3}
    source = node_metrics.Source("answers", "Answers", "status", lambda: answers)
    metrics = node_metrics.NodeMetrics("vm-1", [source])
    assert answered(scrape(metrics)) == "3.0"
    answers["200"] = 5
    assert answered(scrape(metrics)) == "5.0"


def test_durations_become_a_histogram():
    metrics = node_metrics.NodeMetrics("vm-1", [])
    for duration_s in (0.02, 0.3, 0.3):
        metrics.observe("stock", "GET", 200, duration_s)
    lines = [line for line in scrape(metrics).splitlines() if "duration_seconds_bucket" in line]
    assert any('le="0.25"' in line and line.endswith(" 1.0") for line in lines)
    assert any('le="0.5"' in line and line.endswith(" 3.0") for line in lines)


def test_durations_without_a_scraper_are_bounded():
    """Guards against memory that grows while nobody reads the metrics."""
    metrics = node_metrics.NodeMetrics("vm-1", [])
    for _ in range(3 * node_metrics.MAX_BUFFERED):
        metrics.observe("stock", "GET", 200, 0.1)
    count = [line for line in scrape(metrics).splitlines() if "duration_seconds_count" in line]
    assert count[0].endswith(f" {float(node_metrics.MAX_BUFFERED)}")


def test_a_start_loads_no_metrics_library():
    """Guards against processor time that each start of a VM pays for metrics that nobody reads."""
    code = "import dotterelfront.node, sys; print('opentelemetry' in sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "False"


async def _get(host, path):
    reader, writer = await asyncio.open_connection(host, node.METRICS_PORT)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
    found = await reader.read()
    writer.close()
    return found.decode()


def test_a_running_vm_serves_its_metrics(tmp_path):
    """Guards against an address that the deploy file names and that no VM serves."""

    async def scenario(world):
        vm = world.vms[0]
        await caller.call(vm, "id-1", "safe", "/stock/1", world.seen)
        return await _get(vm.host, node.METRICS_PATH), await _get(vm.host, "/other")

    found, other = asyncio.run(play.with_fleet(3, tmp_path, scenario))
    assert found.startswith("HTTP/1.1 200")
    assert 'http_route="r-stock"' in found
    assert 'of="configuration-revision"' in found
    assert other.startswith("HTTP/1.1 404")


def test_a_taken_port_for_metrics_stops_no_vm(tmp_path):
    """Guards against a deployment that uses the metrics' port for something else."""

    async def scenario(world):
        return [vm.name for vm in world.load.ready]

    async def play_with_taken_port():
        host = play.World(4, tmp_path).vms[0].host
        taken = await asyncio.start_server(lambda *streams: None, host, node.METRICS_PORT)
        async with taken:
            return await play.with_fleet(4, tmp_path, scenario)

    assert len(asyncio.run(play_with_taken_port())) == play.VMS
