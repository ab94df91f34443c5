"""Tests of the service-level counters, burn rates and metrics."""

import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import burn, metrics, models

ROUTES = [models.RouteName("stock"), models.RouteName("orders")]
NOW = 1_000_000 * 60.0
RECORDS = st.lists(
    st.tuples(
        st.sampled_from(ROUTES), st.sampled_from(list(burn.Verdict)), st.integers(0, 500)
    ).map(lambda record: (record[0], record[1], NOW - record[2] * 60)),
    max_size=60,
).map(lambda records: sorted(records, key=lambda record: record[2]))


def _counters(records) -> burn.RouteCounters:
    counters = burn.RouteCounters()
    for route, verdict, now in records:
        counters.record(route, verdict, now)
    return counters


@given(RECORDS)
def test_windows_count_exactly_their_minutes(records):
    """Guards against expired requests in a window and missing requests at its edges."""
    totals = _counters(records).totals(NOW)
    for route, windows in totals.items():
        for window, tally in windows.items():
            expected = [r for r in records if r[0] == route and NOW - r[2] < window]
            assert tally.total == len(expected)
            assert tally.good == sum(r[1] is burn.Verdict.GOOD for r in expected)


@given(RECORDS, st.integers(0, 60))
def test_merged_totals_equal_those_of_a_single_vm(records, cut):
    """Guards against a fleet-wide report that omits a VM or counts it twice."""
    parts = [_counters(records[:cut]).totals(NOW), _counters(records[cut:]).totals(NOW)]
    expected = _counters(records).totals(NOW)
    merged = burn.merge(parts)
    for route in expected:
        assert [merged[route][w] for w in burn.WINDOWS_S] == [
            expected[route][w] for w in burn.WINDOWS_S
        ]


@pytest.mark.parametrize(
    ("outcome", "status", "elapsed_s", "expected"),
    [
        (models.Outcome.ANSWERED, 200, 0.1, burn.Verdict.GOOD),
        (models.Outcome.ANSWERED, 200, 3.0, burn.Verdict.LATE),
        (models.Outcome.ANSWERED, 404, 0.1, burn.Verdict.GOOD),
        (models.Outcome.ANSWERED, 500, 0.1, burn.Verdict.FAILED),
        (models.Outcome.NOT_RUN, 503, 0.1, burn.Verdict.REFUSED),
        (models.Outcome.NOT_RUN, 428, 0.1, None),
        (models.Outcome.UNKNOWN, 502, 0.1, burn.Verdict.UNKNOWN),
    ],
)
def test_requests_are_classified_from_the_callers_view(outcome, status, elapsed_s, expected):
    """Guards against a late or refused request counted as good."""
    assert burn.classify_request(outcome, status, elapsed_s, deadline_s=2.0) is expected


def test_burn_rate_of_one_exhausts_the_budget():
    """Guards against a burn rate that is not relative to the objective."""
    tally = burn.Tally(good=990, refused=10)
    assert burn.burn_rate(tally, objective=0.99) == pytest.approx(1.0)
    assert burn.budget_left(tally, objective=0.95) == pytest.approx(0.8)
    assert burn.burn_rate(burn.Tally(), objective=0.99) == 0.0


def test_counters_and_durations_are_exported():
    """Guards against values that remain in the buffers."""
    vm_metrics = metrics.Metrics("vm-1")
    vm_metrics.count("requests", outcome="answered", code="")
    vm_metrics.count("requests", amount=2, outcome="not-run", code="OVERLOADED")
    vm_metrics.observe_request("stock", "GET", 200, 0.012)
    vm_metrics.add_gauge("revision", "Revision in force", lambda: 7)
    text = vm_metrics.prometheus_text().decode()
    assert 'code="OVERLOADED"' in text
    assert re.search(r"^dotterelfront_revision\{.*\} 7\.0$", text, re.MULTILINE)
    assert "http_server_request_duration_seconds_count{" in text
