"""Ejection permits, which keep the capacity of a pool above its floor.

One VM holds a pool's ejection right and grants the permits to eject servers. The module has three
pure state machines; ``now`` is the monotonic clock of the VM that runs them:

- ``EjectionRight``: a VM's view of who holds the ejection right of a pool.
- ``PermitRegistry``: on the holder, the permits it has granted and the floor check.
- ``ShardPermits``: on a shard owner, the permits it has been granted. The holder uses it too, for
  its own shards.

An exchange between a shard owner and the holder::

    permits.set_unhealthy({server: 0.9}, cold=(), now=10.0)
    req = permits.next_request(now=10.0)
    req       # ShardPermitRequest(seq=1, wanted={server: 0.9}, released={}, cold=())
    answer, ejected = registry.answer(shard_owner, req, may_grant=True, now=10.1)
    answer    # ShardPermitAnswer(seq=1, term=1, granted=(server,))
    permits.on_answer(answer, now=10.2)
    permits.valid_permits(now=10.2)           # {server: 16.0}

Messages may be lost, delayed, duplicated or reordered. The owner's validity period starts when it
sends the request. The holder's period is longer and starts later, so a permit never expires at the
holder while an owner still uses it.
"""

import collections
import enum
import math

import msgspec

from dotterelfront import models

OWNER_VALIDITY_S = 6.0
"""Validity of a permit at the shard owner, from the time it sent the request."""
HOLDER_VALIDITY_S = 8.0
"""Validity of a permit at the holder, from the time of the grant."""
NEW_TERM_WAIT_S = 8.0
"""Delay before the first grant of a new holder. It does not know its predecessor's permits and
waits until they have expired."""
STALL_THRESHOLD_S = 2.0
"""A longer gap between two calls counts as a stall of the process."""
TAKEOVER_DELAY_S = 10.0
"""The right may be taken over once the holder has been off the platform's list for this long."""
TAKEOVER_DELAY_UNSEEN_S = 30.0
"""Takeover delay if this VM has never seen the holder on the list. The list lags, so a new VM can
hold the right before this VM's list shows it."""
LIST_MAX_AGE_S = 5.0
"""Maximum age of the platform's list as evidence that the holder is absent."""
RENEW_INTERVAL_S = 1.0
CONFIRM_INTERVAL_S = 1.0
"""Interval at which the holder reads its record to confirm the right."""
CONFIRM_MAX_AGE_S = HOLDER_VALIDITY_S - OWNER_VALIDITY_S
STALL_RECOVERY_S = 40.0
"""After a stall, the platform's list may for some time not show the holder, and another VM may take
the right over. For this long, the holder grants permits only if it read its record in the last
``CONFIRM_MAX_AGE_S``, so that its last permits expire before its successor's first grant."""
SWAP_MARGIN = 0.25
"""A server replaces an ejected one only if its evidence is stronger by at least this much."""
NO_HOLDER = models.VmId("")


class RightRecord(msgspec.Struct, frozen=True):
    """Stored record of the ejection right of a pool; ``holder`` is empty after a release."""

    holder: models.VmId
    incarnation: models.Incarnation
    term: int


class RightState(enum.Enum):
    NONE = "none"
    HELD = "held"
    UNCONFIRMED = "unconfirmed"
    """Held before a stall; must be confirmed by a read of the store."""
    RELEASED = "released"


class EjectionRight:
    """A VM's view of the ejection right of one pool.

    The right changes hands only by a write to the store: ``proposal`` returns the record that
    should replace the one read last, and ``on_read`` handles the result of a later read. A lost
    reply to a write, or a write that takes effect late, therefore needs no special handling.
    """

    def __init__(self, vm: models.VmId, incarnation: models.Incarnation, now: float):
        self._vm = vm
        self._incarnation = incarnation
        self._state = RightState.NONE
        self._record: RightRecord | None = None
        self._stored_record: RightRecord | None = None
        self._has_read = False
        self._last_activity_at = now
        self._last_stall_at = -math.inf
        self._confirmed_at = -math.inf
        self._first_grant_at = math.inf
        self._list_read_at = -math.inf
        self._holder_seen = False
        self._holder_absent_since: float | None = None
        self.counters: collections.Counter = collections.Counter()

    @property
    def state(self) -> RightState:
        return self._state

    @property
    def record(self) -> RightRecord | None:
        """The newest record known to this VM, from the store or from another VM."""
        return self._record

    def may_grant(self, now: float) -> bool:
        """Returns whether this VM may grant permits now."""
        self.advance(now)
        if self._state is not RightState.HELD or now < self._first_grant_at:
            return False
        recent_stall = now - self._last_stall_at < STALL_RECOVERY_S
        return not recent_stall or now - self._confirmed_at <= CONFIRM_MAX_AGE_S

    def advance(self, now: float) -> None:
        """Advances the clock and detects stalls; after one, the right must be confirmed."""
        if now - self._last_activity_at > STALL_THRESHOLD_S:
            self._last_stall_at = now
            self._holder_absent_since = None
            if self._state is RightState.HELD:
                self._state = RightState.UNCONFIRMED
                self.counters["stalls"] += 1
        self._last_activity_at = now

    def on_read(self, record: RightRecord | None, started: float, now: float) -> None:
        """Handles a record read from the store; the read began at ``started``."""
        self.advance(now)
        if started < self._last_stall_at:
            return
        self._has_read, self._stored_record = True, record
        known_term = self._record.term if self._record else 0
        if self._is_own_record(record) and record.term >= known_term:
            self._acquire(record, started, now)
        elif self._state in (RightState.HELD, RightState.UNCONFIRMED):
            if record is None or record.holder in (NO_HOLDER, self._vm):
                self.counters["record_regressed"] += 1
            else:
                self._lose(record)
        elif record is None or record.term < known_term:
            self.counters["record_regressed"] += bool(known_term)
        else:
            self._adopt_record(record)

    def on_peer_record(self, record: RightRecord, now: float) -> None:
        """Handles the record that another VM sent."""
        self.advance(now)
        if self._record and record.term <= self._record.term:
            return
        if self._state in (RightState.HELD, RightState.UNCONFIRMED):
            self._lose(record)
        elif not self._is_own_record(record):
            self._adopt_record(record)

    def on_list(self, listed: frozenset[models.VmId], newest_incarnation, now: float) -> None:
        """Handles a VM list just read from the platform.

        ``newest_incarnation(vm_id)`` returns the newest known incarnation of a VM, or None.
        """
        self.advance(now)
        if now - self._list_read_at > LIST_MAX_AGE_S:
            self._holder_absent_since = None
        self._list_read_at = now
        if self._record is None:
            return
        replaced = (newest_incarnation(self._record.holder) or 0) > self._record.incarnation
        if self._record.holder in listed:
            self._holder_seen = True
        if self._record.holder in listed and not replaced:
            self._holder_absent_since = None
        elif self._holder_absent_since is None:
            self._holder_absent_since = now
        self._holder_seen = self._holder_seen or replaced

    def on_peer_message(self, vm: models.VmId, incarnation: models.Incarnation) -> None:
        """Handles the arrival of a message; if the holder sent it, the holder counts as present."""
        if self._record and (vm, incarnation) == (self._record.holder, self._record.incarnation):
            self._holder_absent_since = None

    def proposal(self, now: float) -> RightRecord | None:
        """Returns the record that should replace the one read last, or None.

        The owner of shard 0 claims the right with it. A holder rewrites its record if the store was
        restored to an older state.
        """
        self.advance(now)
        if not self._has_read or self._state in (RightState.RELEASED, RightState.UNCONFIRMED):
            return None
        if self._state is RightState.HELD:
            return self._record if self._stored_record != self._record else None
        free = self._record is None or self._record.holder == NO_HOLDER
        restarted = (
            self._record is not None
            and self._record.holder == self._vm
            and self._record.incarnation < self._incarnation
        )
        if not (free or restarted or self._is_holder_absent(now)):
            return None
        term = self._record.term if self._record else 0
        return RightRecord(self._vm, self._incarnation, term + 1)

    def release(self, now: float) -> RightRecord | None:
        """Releases the right permanently; returns the record to write if this VM held it."""
        self.advance(now)
        was_holder = self._state in (RightState.HELD, RightState.UNCONFIRMED)
        self._state = RightState.RELEASED
        return (
            RightRecord(NO_HOLDER, models.Incarnation(0), self._record.term) if was_holder else None
        )

    def _is_holder_absent(self, now: float) -> bool:
        if self._holder_absent_since is None or now - self._list_read_at > LIST_MAX_AGE_S:
            return False
        return now - self._holder_absent_since >= (
            TAKEOVER_DELAY_S if self._holder_seen else TAKEOVER_DELAY_UNSEEN_S
        )

    def _is_own_record(self, record: RightRecord | None) -> bool:
        own_identity = (self._vm, self._incarnation)
        return record is not None and (record.holder, record.incarnation) == own_identity

    def _acquire(self, record: RightRecord, started: float, now: float) -> None:
        if self._state is RightState.RELEASED:
            return
        if self._record != record or self._state is RightState.NONE:
            self._first_grant_at = now + NEW_TERM_WAIT_S
            self.counters["acquired"] += 1
        self._adopt_record(record)
        self._state = RightState.HELD
        self._confirmed_at = max(self._confirmed_at, started)

    def _lose(self, record: RightRecord) -> None:
        self._state = RightState.NONE
        self.counters["lost"] += 1
        self._adopt_record(record)

    def _adopt_record(self, record: RightRecord) -> None:
        if record != self._record:
            self._record = record
            self._holder_seen = False
            self._holder_absent_since = None


class ShardOwner(msgspec.Struct, frozen=True):
    """A VM in its role as owner of one shard."""

    vm: models.VmId
    incarnation: models.Incarnation
    shard: int


class ShardPermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """A shard owner's request for new or renewed permits, with the permits it has released.

    ``wanted`` maps servers to the strength of the evidence. ``released`` maps a server that the
    owner no longer ejects to a ``seq``; the owner ignores answers up to it. ``cold`` servers are
    warming up.
    """

    seq: int
    wanted: dict[models.ServerId, float]
    released: dict[models.ServerId, int]
    cold: tuple[models.ServerId, ...] = ()


class ShardPermitAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The holder's answer to the request with the same ``seq``."""

    seq: int
    term: int
    granted: tuple[models.ServerId, ...]


class _Permit:
    __slots__ = ("seq", "expires_at", "evidence")

    def __init__(self, seq: int, expires_at: float, evidence: float):
        self.seq, self.expires_at, self.evidence = seq, expires_at, evidence


class PermitRegistry:
    """The permits that a holder has granted in one term."""

    def __init__(self, term: int):
        self._term = term
        self._permits: dict[tuple[ShardOwner, models.ServerId], _Permit] = {}
        self._last_seq: dict[ShardOwner, tuple[int, float]] = {}
        self._revoking: set[models.ServerId] = set()
        self._cold_until: dict[models.ServerId, float] = {}
        self._servers: dict[models.ServerId, models.Server] = {}
        self._floor = 0
        self.counters: collections.Counter = collections.Counter()
        """``floor_binds`` counts requests refused because of the floor."""

    def set_pool(self, pool: models.Pool, now: float) -> None:
        """Applies the pool's servers, their states and the floor; added servers are cold."""
        servers = {server.address: server for server in pool.servers}
        if self._servers:
            for address in servers.keys() - self._servers.keys():
                self._cold_until[address] = now + pool.warmup_s
        self._servers = servers
        self._floor = pool.floor
        self._revoke(now)

    def ejected(self, now: float) -> set[models.ServerId]:
        """Returns the servers with an unexpired permit."""
        return {server for (_, server), permit in self._permits.items() if permit.expires_at > now}

    def healthy_slots(self, excluded: set[models.ServerId], now: float) -> int:
        """Returns the total slots of active servers that are neither cold nor in ``excluded``."""
        return sum(
            server.slots
            for address, server in self._servers.items()
            if address not in excluded
            and server.state is models.ServerState.ACTIVE
            and self._cold_until.get(address, 0.0) <= now
        )

    def answer(
        self, owner: ShardOwner, req: ShardPermitRequest, may_grant: bool, now: float
    ) -> tuple[ShardPermitAnswer | None, set[models.ServerId]]:
        """Returns the answer, None for a stale request, and the newly ejected servers."""
        self._remove_expired(now)
        if req.seq <= self._last_seq.get(owner, (0, 0.0))[0]:
            return None, set()
        self._last_seq[owner] = (req.seq, now)
        for server, seq in req.released.items():
            permit = self._permits.get((owner, server))
            if permit and permit.seq <= seq:
                del self._permits[owner, server]
        self._revoking &= self.ejected(now)
        for server in req.cold:
            self._cold_until[server] = max(
                self._cold_until.get(server, 0.0), now + HOLDER_VALIDITY_S
            )
        self._revoke(now)
        before, granted = self.ejected(now), []
        for server in sorted(req.wanted, key=req.wanted.get, reverse=True) if may_grant else ():
            if self._grant(server, req.wanted[server], now):
                permit = _Permit(req.seq, now + HOLDER_VALIDITY_S, req.wanted[server])
                self._permits[owner, server] = permit
                granted.append(server)
        return ShardPermitAnswer(req.seq, self._term, tuple(granted)), set(granted) - before

    def _grant(self, server: models.ServerId, evidence: float, now: float) -> bool:
        if server not in self._servers or server in self._revoking:
            return False
        ejected = self.ejected(now)
        if server in ejected:
            return True
        if self.healthy_slots(ejected | {server}, now) >= self._floor:
            return True
        self.counters["floor_binds"] += 1
        self._revoke_weakest_for(server, evidence, now)
        return False

    def _revoke_weakest_for(self, server: models.ServerId, evidence: float, now: float) -> None:
        """Revokes the permit with the weakest evidence if ``server`` is clearly worse."""
        weakest = self._weakest_first(now)
        if not weakest or self._revoking or weakest[0][0] + SWAP_MARGIN > evidence:
            return
        ejected_after = (self.ejected(now) - {weakest[0][1]}) | {server}
        if self.healthy_slots(ejected_after, now) >= self._floor:
            self._revoking.add(weakest[0][1])
            self.counters["revoked"] += 1

    def _revoke(self, now: float) -> None:
        """Revokes permits, weakest evidence first, until the remaining ones respect the floor.

        This includes leaving and cold servers: once a drain is undone or a warm-up ends, the server
        counts again, before its owner learns of a revocation.
        """
        for _, server in self._weakest_first(now):
            if self.healthy_slots(self.ejected(now) - self._revoking, now) >= self._floor:
                return
            self._revoking.add(server)
            self.counters["revoked"] += 1

    def _weakest_first(self, now: float) -> list[tuple[float, models.ServerId]]:
        """Returns (evidence, server) of ejected servers whose permits are not being revoked."""
        evidence: dict[models.ServerId, float] = {}
        for (_, server), permit in self._permits.items():
            if permit.expires_at > now and server not in self._revoking:
                evidence[server] = max(permit.evidence, evidence.get(server, 0.0))
        return sorted((value, server) for server, value in evidence.items())

    def _remove_expired(self, now: float) -> None:
        for key in [key for key, permit in self._permits.items() if permit.expires_at <= now]:
            del self._permits[key]
        self._revoking &= self.ejected(now)
        for owner, (_, received_at) in list(self._last_seq.items()):
            if now - received_at > 10 * HOLDER_VALIDITY_S:
                del self._last_seq[owner]
        self._cold_until = {key: until for key, until in self._cold_until.items() if until > now}


class ShardPermits:
    """The permits of one shard at its owner.

    An unhealthy server without a permit is only deprioritised.
    """

    def __init__(self, now: float):
        self._seq = 0
        self._pending: dict[int, tuple[float, ShardPermitRequest]] = {}
        self._wanted: dict[models.ServerId, float] = {}
        self._cold: tuple[models.ServerId, ...] = ()
        self._valid_until: dict[models.ServerId, float] = {}
        self._released: dict[models.ServerId, tuple[int, float]] = {}
        self._ignored_seq = 0
        self._term = 0
        self._last_activity_at = now
        self._last_sent_at = -math.inf
        self._request_due = False
        self.counters: collections.Counter = collections.Counter()

    def set_unhealthy(
        self,
        unhealthy: dict[models.ServerId, float],
        cold: tuple[models.ServerId, ...],
        now: float,
    ) -> None:
        """Sets the servers to eject; permits of other servers are released."""
        self.advance(now)
        for server in self._wanted.keys() - unhealthy.keys():
            self._release(server, now)
        self._request_due |= unhealthy.keys() != self._wanted.keys() or cold != self._cold
        self._wanted, self._cold = dict(unhealthy), cold

    def next_request(self, now: float) -> ShardPermitRequest | None:
        """Returns the request to send now, or None if none is due."""
        self.advance(now)
        active = self._wanted or self._cold or self._released
        if not self._request_due and not (active and now - self._last_sent_at >= RENEW_INTERVAL_S):
            return None
        self._seq += 1
        self._request_due, self._last_sent_at = False, now
        released = {server: seq for server, (seq, _) in self._released.items()}
        req = ShardPermitRequest(self._seq, dict(self._wanted), released, self._cold)
        self._pending[self._seq] = (now, req)
        return req

    def on_answer(self, answer: ShardPermitAnswer, now: float) -> None:
        """Handles an answer; one of an old term, or to an abandoned request, is ignored."""
        self.advance(now)
        sent_at, req = self._pending.pop(answer.seq, (0.0, None))
        if req is None or answer.seq <= self._ignored_seq or answer.term < self._term:
            return
        self._term = answer.term
        self._ignored_seq = answer.seq
        for server in req.wanted:
            if server not in answer.granted:
                if server in self._valid_until:
                    self.counters["withdrawn"] += 1
                    self._release(server, now)
            elif answer.seq > self._released.get(server, (0, 0.0))[0] and server in self._wanted:
                self._valid_until[server] = sent_at + OWNER_VALIDITY_S
        for server, seq in req.released.items():
            last_release = self._released.get(server)
            if last_release and last_release[0] == seq and server not in self._wanted:
                del self._released[server]

    def valid_permits(self, now: float) -> dict[models.ServerId, float]:
        """Returns the servers that may be ejected now, with the expiry time of each permit."""
        self.advance(now)
        return {server: until for server, until in self._valid_until.items() if until > now}

    def advance(self, now: float) -> None:
        """Advances the clock; releases expired permits, and all permits after a stall."""
        if now - self._last_activity_at > STALL_THRESHOLD_S:
            self.release_all(now)
            self.counters["stalls"] += 1
        self._last_activity_at = now
        for server in [server for server, until in self._valid_until.items() if until <= now]:
            self._release(server, now)
            self.counters["expired"] += 1
        for server, (_, released_at) in list(self._released.items()):
            if now - released_at > HOLDER_VALIDITY_S + OWNER_VALIDITY_S:
                del self._released[server]
        for seq in [
            seq for seq, (sent_at, _) in self._pending.items() if now - sent_at > OWNER_VALIDITY_S
        ]:
            del self._pending[seq]

    def release_all(self, now: float) -> None:
        """Releases all permits; answers to earlier requests are ignored."""
        self._ignored_seq = self._seq
        for server in list(self._valid_until):
            self._release(server, now)

    def _release(self, server: models.ServerId, now: float) -> None:
        self._valid_until.pop(server, None)
        self._released[server] = (self._seq, now)
        self._request_due = True
