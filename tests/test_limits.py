"""Rate limit per customer."""

from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import limits


@given(
    st.floats(0.2, 50.0),
    st.lists(st.tuples(st.sampled_from("ab"), st.floats(0.0, 0.5)), max_size=80),
)
def test_rate_holds_over_every_interval(rate, steps):
    """Guards against allowing more than burst plus rate, and against refusing less than that."""
    limiter = limits.CustomerRateLimiter(burst_s=1.0)
    burst = max(1.0, rate)
    now, tokens, last = 0.0, {"a": burst, "b": burst}, {"a": 0.0, "b": 0.0}
    for customer, gap in steps:
        now += gap
        tokens[customer] = min(burst, tokens[customer] + rate * (now - last[customer]))
        last[customer] = now
        allowed = limiter.allow("r", customer, rate, now)
        if abs(tokens[customer] - 1) > 1e-6:
            assert allowed == (tokens[customer] > 1)
        tokens[customer] -= allowed


def test_state_is_kept_only_for_customers_below_their_full_burst():
    """Guards against memory use that grows with every customer seen, up to 42,000."""
    limiter = limits.CustomerRateLimiter()
    for index in range(5_000):
        assert limiter.allow("r", f"c{index}", 10.0, now=index * 0.01)
    assert len(limiter) <= 11
    assert limiter.allow("r", "unlimited", 0.0, now=50.0)
