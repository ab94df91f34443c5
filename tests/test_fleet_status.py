"""Tests of the fleet status and of the command ``node status``."""

import asyncio
import json
import threading

import msgspec
import pytest
import typer.testing

from dotterelfront import cli, fleet_status, fleet_view, fleetmodel
from standins import platform_store
from tests import test_platform

STORE = ("127.0.0.77", 2391)


def server_record(name, **changes):
    status = test_platform.SERVER["status"] | changes
    return f"servers/{name}", json.dumps(test_platform.SERVER | {"status": status}).encode()


def store_items():
    vm = fleet_view.VmRecord("vm-1", "10.0.0.1:7", "a", "r", 1)
    return [
        ("op/config", json.dumps(test_platform.CONFIG).encode()),
        server_record("i-1"),
        server_record("i-2", **{"warmup-left": "0ms"}),
        server_record("i-3", state="draining"),
        (fleet_view.VMS_PREFIX + "vm-1", msgspec.json.encode(vm)),
    ]


def build_status(items):
    return fleet_status.build(fleetmodel.Record(key, 1, value) for key, value in items)


def test_records_are_counted():
    """Guards against counts that omit a record or include the wrong ones."""
    status = build_status(store_items())
    assert (status.revision, status.routes, status.vms) == (7, 1, {"a": 1})
    pool = status.pools["orders"]
    assert (pool.active, pool.leaving, pool.warming_up, pool.slots) == (2, 1, 1, 12)


@pytest.mark.parametrize("key", ["op/config", "servers/i-9", fleet_view.VMS_PREFIX + "vm-9"])
def test_an_unreadable_record_is_listed(key):
    """Guards against one malformed record that makes the whole status fail."""
    status = build_status([*store_items()[1:], (key, b"\xff")])
    assert status.unreadable == [key]
    assert status.pools["orders"].active == 2


def test_a_pool_without_servers_is_shown():
    """Guards against hiding the outage of a whole pool."""
    lines = fleet_status.as_lines(build_status(store_items()[:1]))
    assert "pool orders: 0 servers, 0 slots, 0 leaving, 0 warming up" in lines


@pytest.fixture
def running_store():
    """Runs a stand-in store in a separate thread."""
    loop, started, stop = asyncio.new_event_loop(), threading.Event(), asyncio.Event()

    async def serve():
        store = platform_store.PlatformStore()
        for key, value in store_items():
            store.put(key, value)
        await store.serve(*STORE)
        started.set()
        await stop.wait()
        store.close()

    thread = threading.Thread(target=loop.run_until_complete, args=(serve(),))
    thread.start()
    started.wait(5.0)
    yield
    loop.call_soon_threadsafe(stop.set)
    thread.join()
    loop.close()


def run_status(*args):
    return typer.testing.CliRunner().invoke(cli.app, ["node", "status", *args])


@pytest.mark.usefixtures("running_store")
def test_the_command_shows_the_content_of_the_store():
    """Guards against a command whose text or JSON output differs from the records in the store."""
    result = run_status(f"{STORE[0]}:{STORE[1]}")
    assert result.exit_code == 0, result.output
    assert "configuration: 7, 1 routes" in result.output
    assert "VMs: 1 (a 1)" in result.output
    assert json.loads(run_status(f"{STORE[0]}:{STORE[1]}", "--json").output)["revision"] == 7
