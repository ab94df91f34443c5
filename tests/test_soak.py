"""The soak's own checks, and a short run of it with real processes."""

import asyncio

import pytest

from soak import play, records


def seen(kind="unsafe", status=200, runs=1, own=True, path="/orders/1"):
    found = records.Seen()
    found.results["a"] = records.Result(kind, path, 10.0, status, own)
    for number in range(runs):
        found.runs["a"].append(records.Run(f"i-{number}", 10.0, path))
    return found


@pytest.mark.parametrize(
    ("fields", "words"),
    [
        ({"runs": 2}, "ran 2 times"),
        ({"status": 503}, "told not run"),
        ({"own": False}, "whole answer"),
        ({"runs": 0}, "without a run"),
    ],
)
def test_each_broken_rule_is_found(fields, words):
    """Guards against a soak that passes whatever happens."""
    [line] = records.violations(seen(**fields))
    assert words in line


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
def test_what_is_allowed_is_not_reported(fields):
    assert records.violations(seen(**fields)) == []


def test_a_run_that_nobody_asked_for_is_found():
    found = records.Seen()
    found.runs["b"].append(records.Run("i-1", 1.0, "/orders/1"))
    assert "no caller" in records.violations(found)[0]


@pytest.mark.parametrize(("at", "unwell", "broken"), [(11.0, [], 0), (12.5, [], 1), (12.5, 10, 0)])
def test_work_for_a_server_that_has_left_is_found(at, unwell, broken):
    found = seen()
    found.leaving["i-0"] = 10.0
    found.runs["a"][0].at = at
    found.unwell = [(unwell, 99.0)] if unwell else []
    assert len(records.violations(found)) == broken


def test_a_configured_route_that_is_denied_is_found():
    found = seen(kind="safe", status=404, runs=0, path="/extra/1")
    found.added["/extra/"] = 5.0
    assert "404" in records.violations(found)[0]
    found.added["/extra/"] = 9.0
    assert records.violations(found) == []


def test_a_short_soak_breaks_no_rule(tmp_path):
    """Guards against processes that fail together in ways that the unit tests do not join."""
    outcome = asyncio.run(play.play(7, 8.0, tmp_path))
    assert outcome.violations == []
    assert outcome.statuses[200] > 0
