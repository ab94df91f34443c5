"""Tests of the metrics of a VM."""

import asyncio
import subprocess
import sys

from dotterelfront import node, node_metrics
from soak import caller, play


def scrape(metrics):
    return asyncio.run(metrics.render_text()).decode()


def answer_count(text):
    [line] = [line for line in text.splitlines() if line.startswith("dotterelfront_answers_total")]
    assert 'status="200"' in line
    return line.rpartition(" ")[2]


def test_values_are_read_at_each_scrape():
    """Guards against metrics that keep their first value and against counters without a label."""
    answers = {"200": 3}
    source = node_metrics.MetricSource("answers", "Answers", "status", lambda: answers)
    metrics = node_metrics.NodeMetrics("vm-1", [source])
    assert answer_count(scrape(metrics)) == "3.0"
    answers["200"] = 5
    assert answer_count(scrape(metrics)) == "5.0"


def test_durations_are_exported_as_a_histogram():
    """Guards against durations in the wrong bucket."""
    metrics = node_metrics.NodeMetrics("vm-1", [])
    for duration_s in (0.02, 0.3, 0.3):
        metrics.observe_request("stock", "GET", 200, duration_s)
    lines = [line for line in scrape(metrics).splitlines() if "duration_seconds_bucket" in line]
    assert any('le="0.25"' in line and line.endswith(" 1.0") for line in lines)
    assert any('le="0.5"' in line and line.endswith(" 3.0") for line in lines)


def test_buffered_durations_are_bounded_without_a_scraper():
    """Guards against memory that grows while nothing scrapes the metrics."""
    metrics = node_metrics.NodeMetrics("vm-1", [])
    for _ in range(3 * node_metrics.MAX_BUFFERED_DURATIONS):
        metrics.observe_request("stock", "GET", 200, 0.1)
    counts = [line for line in scrape(metrics).splitlines() if "duration_seconds_count" in line]
    assert counts[0].endswith(f" {float(node_metrics.MAX_BUFFERED_DURATIONS)}")


def test_startup_does_not_import_the_metrics_library():
    """Guards against startup time spent on metrics that nothing scrapes."""
    code = "import dotterelfront.node, sys; print('opentelemetry' in sys.modules)"
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert process.stdout.strip() == "False"


async def _get(host, path):
    reader, writer = await asyncio.open_connection(host, node.METRICS_PORT)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
    response = await reader.read()
    writer.close()
    return response.decode()


def test_a_running_vm_serves_its_metrics(tmp_path):
    """Guards against a metrics address in the deployment file that no VM serves."""

    async def scenario(env):
        vm = env.vms[0]
        await caller.call(vm, "id-1", "safe", "/stock/1", env.observations)
        return await _get(vm.host, node.METRICS_PATH), await _get(vm.host, "/other")

    response, other = asyncio.run(play.run_with_fleet(3, tmp_path, scenario))
    assert response.startswith("HTTP/1.1 200")
    assert 'http_route="r-stock"' in response
    assert 'of="configuration-revision"' in response
    assert other.startswith("HTTP/1.1 404")


def test_a_vm_starts_when_its_metrics_port_is_in_use(tmp_path):
    """Guards against a VM that does not start because another program uses the metrics port."""

    async def scenario(env):
        return [vm.name for vm in env.load.ready]

    async def start_fleet():
        host = play.Environment(4, tmp_path).vms[0].host
        listener = await asyncio.start_server(lambda *streams: None, host, node.METRICS_PORT)
        async with listener:
            return await play.run_with_fleet(4, tmp_path, scenario)

    assert len(asyncio.run(start_fleet())) == play.VMS
