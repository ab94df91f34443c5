"""Times of a VM's shutdown, from SIGTERM to the exit of its process.

::

    times = shutdown.times(now=7.0, grace_s=6.0)
    times.accept_until    # 9.8: later requests are answered with "not run"
    times.send_until      # 11.2: requests without a slot by then are answered with "not run"
    times.stop_at         # 12.6: the remaining connections are closed

The module does no I/O.
"""

import msgspec

ACCEPT_S = 2.8
"""Time for which requests are accepted. The load balancer removes a VM after two failed health
checks, one per second."""
EXIT_MARGIN_S = 0.4
"""Time between the last response and the platform's SIGKILL."""
LAST_ANSWERS_S = 0.15
"""Time to answer the connections that are accepted while the listening socket closes."""
SEND_SHARE = 0.5
"""Share of the time after ``accept_until`` in which accepted requests may still wait for a slot. In
the rest of it, servers finish the requests that they have."""


class Times(msgspec.Struct, frozen=True):
    """Times of the event loop's clock, in the order in which they come."""

    accept_until: float
    send_until: float
    close_listener_at: float
    stop_at: float


def times(now: float, grace_s: float) -> Times:
    """Returns the times of a shutdown that begins at ``now`` and ends within ``grace_s``."""
    stop_at = now + grace_s - EXIT_MARGIN_S
    close_listener_at = stop_at - LAST_ANSWERS_S
    accept_until = min(now + ACCEPT_S, close_listener_at)
    send_until = accept_until + SEND_SHARE * (close_listener_at - accept_until)
    return Times(accept_until, send_until, close_listener_at, stop_at)
