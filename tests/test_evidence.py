"""Sums over peers and latency baselines, against their definitions."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import evidence

counts = st.tuples(st.integers(1, 50), st.integers(0, 50))


@given(st.lists(counts, max_size=12))
def test_sums_are_those_of_the_best_two_thirds_of_the_peers(rows):
    """Guards against rates of a shard that differ from those of each server's own peers."""
    rows = sorted(rows, key=lambda row: row[1] / row[0])
    sums = evidence.PeerSums(rows)
    for position in [None, *range(len(rows))]:
        peers = [(row[1] / row[0], row) for at, row in enumerate(rows) if at != position]
        best = [row for _, row in evidence.drop_worst_third(peers)]
        expected = [sum(column) for column in zip(*best, strict=True)] or [0.0] * bool(rows) * 2
        assert [*sums.without(position)] == pytest.approx(expected)


@given(st.lists(st.tuples(st.sampled_from("abcde"), st.integers(1, 9)), max_size=60))
def test_baseline_is_the_lower_median_of_the_medians_of_the_peers(samples):
    latencies = evidence.RouteLatencies()
    by_server = {}
    for server, seconds in samples:
        latencies.add(server, seconds)
        by_server.setdefault(server, []).append(seconds)
    medians = {
        server: sorted(values)[len(values) // 2]
        for server, values in by_server.items()
        if len(values) >= evidence.MIN_PEER_LATENCIES
    }
    expected = {}
    for server in "abcdef":
        peers = sorted(median for other, median in medians.items() if other != server)
        if peers:
            expected[server] = peers[(len(peers) - 1) // 2]
    assert latencies.baselines("abcdef") == expected
