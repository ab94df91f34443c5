"""The day files that hunts on the users' bench play."""

import pathlib
import tomllib

import pytest

DAYS = sorted((pathlib.Path(__file__).parent.parent / "deploy" / "days").glob("*.toml"))
TRAFFIC_S = 32.0
"""Length of the users' days; what comes later is never played."""


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_a_day_is_complete(path):
    """Guards against a day that is left out, or an entry that is never played, without a word."""
    day = tomllib.loads(path.read_text())
    assert day["name"] == path.stem
    assert {"slot", "seed", "plan", "faults"} <= day.keys()
    entries = day["plan"] + day["faults"]
    assert all("kind" in entry and 0 <= entry["at"] < TRAFFIC_S for entry in entries)
