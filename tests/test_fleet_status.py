"""Status of a fleet from the store's records, and the command that shows it."""

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


def server(name, **changes):
    status = test_platform.SERVER["status"] | changes
    return f"servers/{name}", json.dumps(test_platform.SERVER | {"status": status}).encode()


def items():
    vm = fleet_view.VmRecord("vm-1", "10.0.0.1:7", "a", "r", 1)
    return [
        ("op/config", json.dumps(test_platform.CONFIG).encode()),
        server("i-1"),
        server("i-2", **{"warmup-left": "0ms"}),
        server("i-3", state="draining"),
        (fleet_view.VMS_PREFIX + "vm-1", msgspec.json.encode(vm)),
    ]


def build(found):
    return fleet_status.build(fleetmodel.Record(key, 1, value) for key, value in found)


def test_records_are_counted():
    found = build(items())
    assert (found.revision, found.routes, found.vms) == (7, 1, {"a": 1})
    pool = found.pools["orders"]
    assert (pool.active, pool.leaving, pool.warming_up, pool.slots) == (2, 1, 1, 12)


@pytest.mark.parametrize("key", ["op/config", "servers/i-9", fleet_view.VMS_PREFIX + "vm-9"])
def test_a_record_that_cannot_be_read_is_named(key):
    """Guards against a status that fails as a whole because of one spoiled record."""
    found = build([*items()[1:], (key, b"\xff")])
    assert found.unreadable == [key]
    assert found.pools["orders"].active == 2


def test_a_pool_without_servers_is_shown():
    """Guards against an outage of a whole pool that the status does not show."""
    lines = fleet_status.as_lines(build(items()[:1]))
    assert "pool orders: 0 servers, 0 slots, 0 leaving, 0 warming up" in lines


@pytest.fixture
def serving():
    """Runs a stand-in of the store in a thread of its own."""
    loop, started, stop = asyncio.new_event_loop(), threading.Event(), asyncio.Event()

    async def serve():
        store = platform_store.PlatformStore()
        for key, value in items():
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


def run(*args):
    return typer.testing.CliRunner().invoke(cli.app, ["node", "status", *args])


@pytest.mark.usefixtures("serving")
def test_the_command_shows_what_the_store_has():
    done = run(f"{STORE[0]}:{STORE[1]}")
    assert done.exit_code == 0, done.output
    assert "configuration: 7, 1 routes" in done.output
    assert "VMs: 1 (a 1)" in done.output
    assert json.loads(run(f"{STORE[0]}:{STORE[1]}", "--json").output)["revision"] == 7
