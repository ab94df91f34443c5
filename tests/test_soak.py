"""Tests of the soak's safety checks, and a short soak with VM processes."""

import asyncio

import pytest

from soak import play, records


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


def test_short_soak_violates_no_rule(tmp_path):
    """Guards against failures that only several VM processes show together, beyond unit tests."""
    outcome = asyncio.run(play.run_seed(7, 8.0, tmp_path))
    assert outcome.violations == []
    assert outcome.statuses[200] > 0
