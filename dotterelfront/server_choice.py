"""Chooses the server of a shard for a request, by the evidence of all its servers.

Does no I/O, and the caller passes the time::

    choice = ServerChoice(suspicion, shedding, shard_health, guard, busy, rng)
    choice.refresh(active_servers, now=0.0)
    server = choice.select(ticket, now=0.1)           # None without a free slot
    choice.should_hold(ticket, server, now=0.1)       # wait for a better server
    choice.record_grant(server, now=0.1)
"""

import collections
import random
from collections.abc import Callable, Mapping

from dotterelfront import floor_guard, gray_server, health, load_shedding, models, queueing

EXPLORE_SHARE = 0.15
"""Share of the requests for which idle connections do not count. They keep the load of the servers
even, and give new servers their first requests."""
SAMPLE_SERVERS = 32
"""Number of servers of a larger shard that are compared for a request. The best one of so many is
rarely worse than the best one of all, and the processor time does not grow with the shard."""


class ServerChoice:
    """The servers of one shard that may be used, and how they rank.

    ``busy`` counts the slots in use by server; the shard updates it. ``slot_divisor`` is above 1 on
    a VM that is not the first owner.
    """

    def __init__(
        self,
        suspicion: gray_server.Suspicion,
        shedding: load_shedding.ShedLimits,
        shard_health: health.ShardHealth,
        guard: floor_guard.FloorGuard,
        busy: "collections.Counter[models.ServerId]",
        rng: random.Random,
        slot_divisor: int = 1,
    ):
        self._suspicion = suspicion
        self._shedding = shedding
        self._health = shard_health
        self._floor_guard = guard
        self._rng = rng
        self.busy = busy
        self.slot_divisor = slot_divisor
        self.active: dict[models.ServerId, models.Server] = {}
        """Servers that get new requests: all but the leaving ones."""
        self._names: list[models.ServerId] = []
        self._unproven: set[models.ServerId] = set()
        self.starved: set[models.ServerId] = set()
        """Servers that the floor needs to be used next."""
        self._last_freed: models.ServerId | None = None
        """The server of the attempt that ended last; in a full shard the only free one."""

    def refresh(self, active: dict[models.ServerId, models.Server], now: float) -> None:
        """Replaces the active servers and recomputes what follows from the evidence."""
        self.active = active
        self._names = list(active)
        self._unproven = self._suspicion.unproven(active, now)
        self.starved = self._floor_guard.starved(active, self._is_sound(now), now)

    def record_grant(self, server: models.ServerId, now: float) -> None:
        """Records that a server gets a request."""
        self._suspicion.record_use(server, now)
        self._floor_guard.record_grant(server, now)
        self.starved.discard(server)

    def record_freed(self, server: models.ServerId) -> None:
        """Records that a slot of a server became free."""
        self._last_freed = server

    def is_trial_due(self, now: float) -> bool:
        """Whether all servers are suspected and one of them should be tested by a request."""
        return self.all_suspect(now) and any(
            self._is_testable(address, now) for address in self.active
        )

    def select(self, ticket: queueing.Ticket, now: float) -> models.ServerId | None:
        """Returns the best server with a free slot, or None.

        In a large shard this is the best one of a random sample. If the sample has no server that
        should be used, all servers are compared.
        """
        if len(self.active) > SAMPLE_SERVERS:
            server = self._best_server(self._sample(ticket), ticket, now)
            if server is not None and self.is_good(server, ticket, now):
                return server
        return self._best_server(self.active, ticket, now)

    def _sample(self, ticket: queueing.Ticket) -> dict[models.ServerId, models.Server]:
        """Returns random servers, and those that are likely to rank first or to be free."""
        names = [*self._rng.sample(self._names, SAMPLE_SERVERS), self._last_freed]
        names += [*ticket.connected, *self.starved]
        return {name: self.active[name] for name in names if name in self.active}

    def is_good(self, server: models.ServerId, ticket: queueing.Ticket, now: float) -> bool:
        """Whether a server is no last resort for a ticket."""
        return server not in ticket.avoid and (
            server in self.starved or not self._suspicion.is_suspect(server, now)
        )

    def _best_server(
        self,
        servers: Mapping[models.ServerId, models.Server],
        ticket: queueing.Ticket,
        now: float,
    ) -> models.ServerId | None:
        """Returns the best one of ``servers`` with a free slot, or None.

        Servers are ranked by ``avoid``, the floor, suspicion, proof, penalty, an idle connection
        and load; ties are broken at random. An idle connection does not count for the last slot of
        a server.
        """
        idempotent = ticket.idempotent
        connected = ticket.connected
        if connected and self._rng.random() < EXPLORE_SHARE:
            connected = frozenset()
        is_test = ticket.healthy_only and self.all_suspect(now)
        best, best_rank, ties = None, None, 0
        for address, server in servers.items():
            busy = self.busy[address]
            if address in ticket.excluded:
                continue
            if busy >= server.slots or (is_test and not self._is_testable(address, now)):
                continue
            if self._shedding.is_paused(address, now) or self._is_withheld(ticket, address, now):
                continue
            usable = self.usable_slots(server, now)
            if busy >= usable or not self._health.eligible(address, idempotent, now):
                continue
            suspect = self._suspicion.is_suspect(address, now)
            rank = (
                address in ticket.avoid,
                address not in self.starved,
                self._suspicion.log_odds(address, now) if suspect else 0.0,
                address in self._unproven,
                self._health.penalty(address, now),
                not (address in connected and busy + 1 < usable),
                busy / usable,
            )
            if best_rank is None or rank < best_rank:
                best, best_rank, ties = address, rank, 1
            elif rank == best_rank:
                ties += 1
                if self._rng.random() * ties < 1:
                    best = address
        return best

    def has_candidates(self, ticket: queueing.Ticket) -> bool:
        """Whether any server may be used for a ticket, once it has a free slot."""
        return not ticket.excluded.issuperset(self.active)

    def _is_testable(self, address: models.ServerId, now: float) -> bool:
        """Whether a suspected server may get a request that could wait in another zone.

        It gets one at a time, with longer pauses the more of them fail.
        """
        return not self.busy[address] and not self._suspicion.is_paused(address, now)

    def _is_withheld(self, ticket: queueing.Ticket, address: models.ServerId, now: float) -> bool:
        """Whether a non-idempotent request must not use a server after consecutive failures."""
        if ticket.idempotent:
            return False
        probing = self._suspicion.is_probing(address) and self.busy[address] > 0
        return probing or self._suspicion.is_paused(address, now)

    def should_hold(self, ticket: queueing.Ticket, server: models.ServerId, now: float) -> bool:
        """Whether a ticket should wait for a server that is not suspected."""
        if server in self.starved or not self._suspicion.is_suspect(server, now):
            return False
        if self.all_suspect(now):
            return False
        first_attempt = not ticket.avoid
        if first_attempt and ticket.idempotent and self._suspicion.is_trial_due(server, now):
            return False
        share = gray_server.HOLD_SHARE if first_attempt else gray_server.RETRY_HOLD_SHARE
        return now < ticket.enqueued + share * (ticket.deadline - ticket.enqueued)

    def _is_sound(self, now: float) -> Callable[[models.ServerId], bool]:
        return lambda server: self._suspicion.since_failure_s(server, now) > gray_server.SOUND_S

    def sends_away(self, now: float) -> bool:
        """Whether tickets that can wait in another zone should leave this shard."""
        return self.all_suspect(now) and not self.is_trial_due(now)

    def all_suspect(self, now: float) -> bool:
        return all(self._suspicion.is_suspect(address, now) for address in self.active)

    def usable_slots(self, server: models.Server, now: float) -> int:
        address = server.address
        share = self._health.slot_share(address, now) * self._shedding.share(address, now)
        return max(1, int(server.slots * share / self.slot_divisor + 1e-9))

    def capacity(self, now: float) -> int:
        """Returns the usable slots of the servers that accept every request, at least one."""
        return max(
            1,
            sum(
                self.usable_slots(server, now)
                for address, server in self.active.items()
                if self._health.eligible(address, False, now)
            ),
        )

    def good_slots(self, capacity: int, now: float) -> int:
        """Returns the capacity without suspected servers, at least one slot.

        While all servers are suspected it is the whole capacity.
        """
        if self.all_suspect(now):
            return capacity
        suspected = sum(
            self.usable_slots(server, now)
            for address, server in self.active.items()
            if self._suspicion.is_suspect(address, now)
        )
        return max(1, capacity - suspected)
