"""Tests of the soak's safety checks, and a short soak with VM processes."""

import asyncio
import sys

import pytest

from soak import fleet, play, records


def observe(kind="unsafe", status=200, runs=1, is_correct=True, path="/orders/1"):
    observations = records.Observations()
    observations.results["a"] = records.Result(kind, path, 10.0, status, is_correct)
    for number in range(runs):
        observations.runs["a"].append(records.Run(f"i-{number}", 10.0, path))
    return observations


@pytest.mark.parametrize(
    ("fields", "message"),
    [
        ({"runs": 2}, "ran 2 times"),
        ({"status": 503}, "reported as not executed"),
        ({"is_correct": False}, "wrong or incomplete response"),
        ({"runs": 0}, "without an execution"),
    ],
)
def test_each_violation_is_reported(fields, message):
    """Guards against a soak that passes although a rule is violated."""
    [line] = records.violations(observe(**fields))
    assert message in line


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"kind": "safe", "runs": 2},
        {"kind": "safe", "status": 503},
        {"status": 502},
        {"status": 503, "runs": 0},
        {"status": 0},
    ],
)
def test_allowed_results_are_not_reported(fields):
    """Guards against a soak that fails although no rule is violated."""
    assert records.violations(observe(**fields)) == []


def test_execution_without_a_request_is_reported():
    """Guards against executions of requests that no caller sent."""
    observations = records.Observations()
    observations.runs["b"].append(records.Run("i-1", 1.0, "/orders/1"))
    assert "no caller" in records.violations(observations)[0]


@pytest.mark.parametrize(
    ("started_at", "fault_start", "expected"), [(11.0, [], 0), (12.5, [], 1), (12.5, 10, 0)]
)
def test_request_to_a_drained_server_is_reported(started_at, fault_start, expected):
    """Guards against requests after the drain deadline, except in fault windows."""
    observations = observe()
    observations.leaving_since["i-0"] = 10.0
    observations.runs["a"][0].started_at = started_at
    observations.fault_windows = [(fault_start, 99.0)] if fault_start else []
    assert len(records.violations(observations)) == expected


def test_404_on_a_configured_route_is_reported():
    """Guards against a route that is not in use within the apply deadline."""
    observations = observe(kind="safe", status=404, runs=0, path="/extra/1")
    observations.routes_added_at["/extra/"] = 5.0
    assert "404" in records.violations(observations)[0]
    observations.routes_added_at["/extra/"] = 9.0
    assert records.violations(observations) == []


@pytest.mark.parametrize(
    ("sent_at", "ended_at", "expected"),
    [(11.0, 11.2, 1), (11.0, None, 0), (13.0, 13.1, 0), (10.5, 10.6, 0), (10.3, 10.4, 0)],
)
def test_request_cut_off_in_a_planned_stop_is_reported(sent_at, ended_at, expected):
    """Guards against requests that are lost in a stop, except while a fault acts too."""
    observations = observe(status=0)
    result = observations.results["a"]
    result.sent_at, result.was_cut, result.ended_at = sent_at, ended_at is not None, ended_at or 0.0
    observations.stop_windows = [(10.0, 12.0)]
    observations.fault_windows = [(10.4, 10.8)]
    assert len(records.violations(observations)) == expected


@pytest.mark.parametrize(
    ("ended_at", "reused", "arrived", "expected"),
    [
        (11.1, True, False, 0),
        (11.3, True, False, 1),
        (11.1, True, True, 1),
        (11.1, False, False, 1),
    ],
)
def test_only_a_request_that_crosses_a_close_may_be_cut(ended_at, reused, arrived, expected):
    """Guards against lost requests that pass for ones that met a closing connection."""
    observations = observe(status=0, runs=0)
    result = observations.results["a"]
    result.sent_at, result.was_cut, result.ended_at = 11.0, True, ended_at
    result.is_reused = reused
    if arrived:
        observations.arrivals["a"].append(records.Arrival("i-0", 0, 11.05))
    observations.stop_windows = [(10.0, 12.0)]
    assert len(records.violations(observations)) == expected


def observe_arrivals(*sent_at, vm="vm-1", born=0):
    """Returns observations of requests that reached server i-0 when they were sent."""
    observations = records.Observations()
    for number, at in enumerate(sent_at):
        observations.results[f"a{number}"] = records.Result("safe", "/stock/1", at, vm=vm)
        observations.arrivals[f"a{number}"].append(records.Arrival("i-0", born, at))
    return observations


@pytest.mark.parametrize(
    ("vm", "born", "faults", "expected"),
    [
        ("vm-1", 0, [], 1),
        ("vm-2", 0, [], 0),
        ("vm-1", 5, [], 0),
        ("vm-1", 0, [("vm-1", 11.0, 11.5)], 0),
        ("vm-1", 0, [("vm-2", 11.0, 11.5)], 1),
    ],
)
def test_request_to_a_server_that_said_it_leaves_is_reported(vm, born, faults, expected):
    """Guards against requests after a leaving answer, except from a VM that has forgotten it."""
    observations = observe_arrivals(11.9, 12.1, vm=vm, born=born)
    observations.leaving_answers["vm-1", "i-0", 0] = 10.0
    observations.vm_faults = faults
    assert len(records.violations(observations)) == expected


@pytest.mark.parametrize(("late", "expected"), [((10.6, 11.9), 0), ((10.6, 11.0, 11.9), 1)])
def test_requests_in_a_pause_are_reported(late, expected):
    """Guards against more than two requests to a server that asked for a pause."""
    observations = observe_arrivals(10.0, 10.4, *late, 12.1)
    arrival = observations.arrivals["a0"][0]
    observations.pauses = [records.Pause(arrival, "a0", 2.0)]
    assert len(records.violations(observations)) == expected
    observations.vm_faults = [("vm-1", 10.0, 10.1)]
    assert records.violations(observations) == []


def test_process_that_ends_by_itself_is_reported():
    """Guards against a soak that passes although one message takes a whole process down."""
    observations = records.Observations(own_exits=["vm-1 (exit code 1)"])
    assert records.violations(observations) == ["vm-1 (exit code 1): process ended by itself"]


@pytest.mark.parametrize(("settings", "expected"), [("{", 0), ("not read", 1)])
def test_only_a_start_with_invalid_settings_may_end_a_process(
    tmp_path, monkeypatch, settings, expected
):
    """Guards against a crash that passes for a refusal of settings, and the other way round."""
    vm = fleet.FleetVm(1, "127.59.0", "a", tmp_path)
    vm.write_settings(settings)
    if expected:
        monkeypatch.setattr(fleet, "COMMAND", (sys.executable, "-c", "raise SystemExit(1)"))

    async def scenario():
        task = asyncio.ensure_future(vm.supervise())
        await asyncio.sleep(1.0)
        vm.keep_running = False
        await task

    asyncio.run(scenario())
    assert bool(vm.own_exits) == bool(expected)


def test_odd_messages_end_no_process(tmp_path):
    """Guards against a message of a faulty sender that stops a VM, or all work on it."""

    async def scenario(env):
        load = asyncio.ensure_future(env.load.run(60.0))
        try:
            for _ in range(6):
                await play.FAULTS["odd messages"](env)
            sent_before = set(env.observations.results)
            await asyncio.sleep(2.0)
        finally:
            load.cancel()
        later = [r for i, r in env.observations.results.items() if i not in sent_before]
        return env.observations, [vm.own_exits for vm in env.vms], later

    observations, own_exits, later = asyncio.run(play.run_with_fleet(12, tmp_path, scenario))
    assert records.violations(observations) == []
    assert not any(own_exits)
    assert sum(result.status == 200 for result in later) > 0.9 * len(later) > 50


def test_stops_in_series_cut_off_no_request(tmp_path):
    """Guards against requests that are accepted and then lost while VMs stop under load."""

    async def scenario(env):
        load = asyncio.ensure_future(env.load.run(100.0))
        try:
            await play.stop_in_series(env)
        finally:
            load.cancel()
        return env.observations

    observations = asyncio.run(play.run_with_fleet(11, tmp_path, scenario))
    assert records.violations(observations) == []
    assert sum(result.status == 200 for result in observations.results.values()) > 100


def test_short_soak_violates_no_rule(tmp_path):
    """Guards against failures that only several VM processes show together, beyond unit tests."""
    outcome = asyncio.run(play.run_seed(7, 8.0, tmp_path))
    assert outcome.violations == []
    assert outcome.statuses[200] > 0
