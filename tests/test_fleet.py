"""Tests the complete request path and the commands in real processes on loopback."""

import json
import subprocess
import sys
import threading

import pytest

from demo import fleet

ROUTES = [{"name": "stock", "path_prefix": "/stock", "pool": "bins", "idempotent": True}]


def _pools(running, floor=6):
    servers = [
        {"address": running.server(i), "zone": running.zone(i), "slots": 6}
        for i in range(running.server_count)
    ]
    return [{"name": "bins", "floor": floor, "servers": servers}]


@pytest.fixture(scope="module")
def small_fleet():
    with fleet.Fleet(2, 2, settings={"shutdown_accept_s": 0.1}) as running:
        orders = {"name": "orders", "path_prefix": "/orders", "pool": "bins", "deadline_ms": 20_000}
        running.publish([*ROUTES, orders], _pools(running))
        running.wait_ready()
        yield running


@pytest.mark.parametrize("vm", [0, 1])
def test_response_of_the_server_is_relayed(small_fleet, vm):
    """Guards against a failure anywhere on the path from entry through shard owner to server."""
    res = small_fleet.http.request("GET", f"{small_fleet.url(vm)}/stock/17?page=2")
    assert res.status == 200
    assert res.headers["Dotterelfront-Outcome"] == "answered"
    assert json.loads(res.data)["path"] == "/stock/17"


def test_unknown_path_is_not_run(small_fleet):
    """Guards against a request without a route reaching a server."""
    res = small_fleet.http.request("GET", f"{small_fleet.url(0)}/unknown")
    assert (res.status, res.headers["Dotterelfront-Outcome"]) == (404, "not-run")


@pytest.mark.parametrize("fault", [{"truncate": True}, {"wrong_request_id": True}])
def test_faulty_response_is_not_relayed_and_ran_once(small_fleet, fault):
    """Guards against relaying a wrong or short response, and against a retry after one."""
    http = small_fleet.http
    for index in range(2):
        http.request("PUT", f"http://{small_fleet.server(index)}/_faults", body=json.dumps(fault))
    operation = json.dumps(fault)
    url = f"{small_fleet.url(0)}/orders/17"
    res = http.request("POST", url, headers={"X-Operation": operation})
    for index in range(2):
        http.request("PUT", f"http://{small_fleet.server(index)}/_faults", body="{}")
    assert (res.status, res.headers["Dotterelfront-Outcome"]) == (502, "unknown")
    assert _runs(small_fleet, operation) == 1


def test_shutdown_finishes_requests_in_flight(small_fleet):
    """Guards against requests interrupted by SIGTERM, on the entry and on the owner of the shard.
    They last longer than the 5 s after which cheroot's own shutdown interrupts them."""
    statuses = []

    def call(vm):
        url = f"{small_fleet.url(vm)}/orders/1?work_ms=6000"
        res = small_fleet.http.request("GET", url, headers={"X-Operation": "long"}, timeout=20)
        statuses.append(res.status)

    threads = [threading.Thread(target=call, args=(vm,)) for vm in range(2)]
    for thread in threads:
        thread.start()
    while _runs(small_fleet, "long") < 2:
        assert any(thread.is_alive() for thread in threads)
    assert [small_fleet.stop(f"vm-{vm}") for vm in range(2)] == [0, 0]
    for thread in threads:
        thread.join()
    assert statuses == [200, 200]


def _runs(running, operation: str) -> int:
    """Returns how often the operation ran on all servers together."""
    urls = [f"http://{running.server(index)}/_executions" for index in range(2)]
    runs_by_server = [json.loads(running.http.request("GET", url).data)["runs"] for url in urls]
    return sum(runs.get(operation, 0) for runs in runs_by_server)


def _status(running) -> dict:
    return json.loads(running.command("status", "--json").stdout)


def test_configuration_survives_kill_outage_and_restore():
    """Guards against faults between the operators' commands, the store and real VMs.

    These are an accepted edit reported as failed, a dead VM that ``apply`` counts as following, a
    VM that starts without a configuration during an outage, and a return to older tables.
    """
    with fleet.Fleet(vm_count=3, server_count=2) as running:
        assert running.publish(ROUTES, _pools(running))["following"] == 3
        running.inject(snapshot="old", lose_replies=1, lose_prefix="config/root")
        assert running.publish(ROUTES, _pools(running, floor=5))["revision"] == 2

        running.kill("vm-2")
        files = running.write_files(ROUTES, _pools(running, floor=4))
        result = running.command("apply", *files, "--json", "--timeout", "4")
        assert result.returncode == 7
        assert json.loads(result.stdout)["missing"] == ["vm-2"]

        running.inject(down_s=600)
        running.start_vm(2)
        running.wait_ready()
        state = _status(running)
        assert (state["store"], state["following"]) == (None, 3)
        assert running.command("drain", running.server(0)).returncode == 5

        running.inject(down_s=0, restore="old")
        assert running.command("drain", running.server(0)).returncode == 0
        state = _status(running)
        assert {row["revision"] for row in state["vms"]} == {4}
        shown = json.loads(running.command("show", "--json").stdout)["tables"]["pools"][0]
        assert (shown["floor"], shown["servers"][0]["state"]) == (4, "leaving")
        result = running.command("apply", *files, "--json")
        assert (result.returncode, json.loads(result.stdout)["error"]) == (4, "EDIT_CONFLICT")
        assert running.command("apply", *files, "--merge").returncode == 0


def test_invalid_files_are_not_sent(tmp_path):
    """Guards against a traceback, and against a command that needs the network to check files."""
    for name, text in (("routes", '{"routes": [{"name": 1}]}'), ("pools", '{"pools": []}')):
        (tmp_path / name).write_text(text)
    files = ["--routes", str(tmp_path / "routes"), "--pools", str(tmp_path / "pools")]
    line = [sys.executable, "-m", "dotterelfront", "validate", *files]
    result = subprocess.run(line, capture_output=True, text=True)
    assert result.returncode == 3
    assert "routes:1: WRONG_TYPE" in result.stderr
    assert "Traceback" not in result.stderr
