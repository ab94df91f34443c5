"""Decides how a starting VM gets its first copy of the store's records.

A VM lists the records in the store. When the whole fleet starts for the first time, that would be
all records for each VM in the same second. Only the VMs that are about to watch the store list it
then; the others write their own records, by which the watchers of their zone find them, and pull
the copy of a watcher that pings them::

    first = FirstCopy(role, first_start=True, now=0.0)
    first.list_due(now=0.5)      # False: a watcher may still offer its copy
    first.may_pull(now=1.3)      # True, and False until the pull is answered or lost

At any other start a VM lists at once: the copies of other VMs may be outdated. The module does no
I/O, and the caller passes the time.
"""

import math

from dotterelfront import watch_role

LIST_AFTER_S = watch_role.START_WAIT_S + watch_role.START_SPREAD_S + 0.5
"""Time after which a VM lists the records if no watcher has offered its copy. By then all VMs of a
zone without watchers would watch."""
PULL_TIMEOUT_S = 2.0
"""Time for the answer to a pull of a whole copy. A watcher sends it to all VMs of its zone, one
after the other on its link."""


class FirstCopy:
    """The wait of one VM for its first copy."""

    def __init__(self, role: watch_role.WatchRole, first_start: bool, now: float):
        self._role = role
        self._list_at = now + LIST_AFTER_S if first_start else now
        self._pulled_at = -math.inf

    def list_due(self, now: float) -> bool:
        """Whether the VM should list the records itself."""
        starting = now < self._list_at + PULL_TIMEOUT_S
        if starting and now - self._pulled_at < PULL_TIMEOUT_S:
            return False
        return now >= self._list_at or self._role.should_watch(now)

    def may_pull(self, now: float) -> bool:
        """Whether to pull a whole copy; False while the answer to an earlier pull may arrive."""
        if now - self._pulled_at < PULL_TIMEOUT_S:
            return False
        self._pulled_at = now
        return True
