"""Checks the schedules of load and faults ("days") that run on the users' test bench."""

import pathlib
import tomllib

import pytest

DAYS = sorted((pathlib.Path(__file__).parent.parent / "deploy" / "days").glob("*.toml"))
TRAFFIC_DURATION_S = 32.0
"""Duration of the traffic of a day; later entries never run."""


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_a_day_is_complete(path):
    """Guards against a day that is skipped, or an entry that never runs, without an error."""
    day = tomllib.loads(path.read_text())
    assert day["name"] == path.stem
    assert {"slot", "seed", "plan", "faults"} <= day.keys()
    entries = day["plan"] + day["faults"]
    assert all("kind" in entry and 0 <= entry["at"] < TRAFFIC_DURATION_S for entry in entries)
