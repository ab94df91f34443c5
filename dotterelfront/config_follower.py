"""The configuration follower: keeps the tables of this VM up to date with the accepted revision.

A few VMs, the watchers, watch the store. The other VMs learn of a new revision from notices of
their neighbours and pull it from them. ``revisions`` decides whether a VM adopts a revision; this
module transfers the data::

    follower = ConfigFollower(me, client, channel, neighbours, is_watcher, on_change=print)
    follower.register()
    channel.start()
    follower.start()
    follower.tables     # None before the first configuration
"""

import collections
import concurrent.futures
import contextlib
import queue
import random
import threading
from collections.abc import Callable, Iterable

from loguru import logger

from dotterelfront import clock, errors, logs, messages, models, publish, revisions, store

WATCH_TIMEOUT_S = 5.0
"""Timeout of a watcher's long poll. It is well below ``WATCHER_LOST_S`` because only the end of a
poll shows the other VMs that a watcher reaches the store."""

UNCHANGED_WATCHES_BEFORE_READ = 12
"""Consecutive watches without a change after which a watcher reads the root unconditionally. A
store that was restored from a backup and then written can reach the version that the watch waits
on, so that the watch alone would miss the new content."""

WATCHER_LOST_S = 15.0
"""Time since any VM is known to have reached the store after which this VM polls the store."""

POLL_JITTER_S = 10.0
"""Largest random delay added before a poll, so that the VMs do not poll all at once."""

RETRY_DELAY_S = 0.5
MAX_JOIN_DELAY_S = 5.0
EXCHANGE_INTERVAL_S = 2.0
EXCHANGE_JITTER = 0.1
"""Largest random deviation from ``EXCHANGE_INTERVAL_S``, as a share of it."""

CALL_TIMEOUT_S = 1.0
CALL_WORKERS = 4
PULL_LIMIT_BYTES = messages.CONTROL_LIMIT_BYTES - 10_000
"""Total size of the chunks in one reply; the rest of the message limit is left for the encoding."""

ROLE_CHECK_INTERVAL_S = 1.0
"""Interval at which a VM that is not a watcher checks whether it has become one."""

Neighbours = Callable[[], tuple[models.Vm, ...]]
Call = Callable[[messages.Message], messages.Message]


class PollSchedule:
    """Decides when a VM that is not a watcher polls the store: ``WATCHER_LOST_S`` plus a jitter
    after the last time at which any VM is known to have reached the store. Performs no I/O."""

    def __init__(self, now: float, rng: random.Random):
        self._rng = rng
        self._jitter = rng.uniform(0, POLL_JITTER_S)
        self._not_before = now
        self.last_store_contact = now

    def record_store_contact(self, at: float) -> None:
        """Records that a VM received a reply from the store at time ``at``."""
        self.last_store_contact = max(self.last_store_contact, at)

    def due(self, now: float) -> bool:
        return now >= max(self.last_store_contact + WATCHER_LOST_S + self._jitter, self._not_before)

    def record_poll(self, now: float) -> None:
        """Records a poll, successful or not, and delays the next one."""
        self._jitter = self._rng.uniform(0, POLL_JITTER_S)
        self._not_before = now + RETRY_DELAY_S + self._rng.uniform(0, POLL_JITTER_S)


class Alarms:
    """Counts alarms by kind. Logs once when an alarm becomes active and once when it is cleared."""

    def __init__(self):
        self.counts: collections.Counter = collections.Counter()
        self._active: set[str] = set()

    def raise_alarm(self, kind: str, detail: str) -> None:
        self.counts[kind] += 1
        if kind not in self._active:
            self._active.add(kind)
            logs.event("configuration alarm raised", "ERROR", kind=kind, detail=detail)

    def clear_alarm(self, kind: str) -> None:
        if kind in self._active:
            self._active.discard(kind)
            logs.event("configuration alarm cleared", kind=kind)


class ConfigFollower:
    """Keeps the configuration of one VM up to date.

    ``neighbours`` returns the VMs to exchange revisions with. ``is_watcher`` returns whether this
    VM watches the store. The results of both may change at any time. ``on_change`` receives the
    tables of each adopted revision.
    """

    def __init__(
        self,
        vm: models.Vm,
        client: store.StoreClient,
        channel,
        neighbours: Neighbours,
        is_watcher: Callable[[], bool],
        on_change: Callable[[models.Tables], None],
        ready: Callable[[], bool] = lambda: True,
        rng: random.Random | None = None,
        now: Callable[[], float] = clock.now,
    ):
        self._vm = vm
        self._client = client
        self._channel = channel
        self._neighbours = neighbours
        self._is_watcher = is_watcher
        self._on_change = on_change
        self._ready = ready
        self._rng = rng or random.Random()
        self._now = now
        self._replica = revisions.Replica()
        self._adopted_at = 0.0
        self._poll = PollSchedule(now(), self._rng)
        self._peer_revisions: dict[models.VmId, models.Revision] = {}
        self._store_version = 0
        self._retry_entry: store.Entry | None = None
        self._mailbox: queue.SimpleQueue = queue.SimpleQueue()
        self._stop = threading.Event()
        self._calls = concurrent.futures.ThreadPoolExecutor(CALL_WORKERS, "config-call")
        self._threads = [
            threading.Thread(target=self._run, name="follower", daemon=True),
            threading.Thread(target=self._watch, name="config-watch", daemon=True),
        ]
        self.alarms = Alarms()

    @property
    def tables(self) -> models.Tables | None:
        """The tables in force, None before the first configuration."""
        return self._replica.tables

    def register(self) -> None:
        """Registers the control channel handlers. They only read memory and post to the mailbox."""
        self._channel.register(messages.ConfigNotice, self._on_notice)
        self._channel.register(messages.ConfigRootPull, self._on_root_pull)
        self._channel.register(messages.ConfigChunkPull, self._on_chunk_pull)
        self._channel.register(messages.ConfigStatusPull, self._on_status_pull)

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops the follower and closes the store client.

        Waits at most ``CALL_TIMEOUT_S`` for the main loop. Does not wait for a pending watch, whose
        thread ends on its own.
        """
        self._stop.set()
        self._mailbox.put(None)
        if self._threads[0].is_alive():
            self._threads[0].join(CALL_TIMEOUT_S)
        self._calls.shutdown(wait=False, cancel_futures=True)
        self._client.close()

    # Handlers; they run on the threads of the control channel.

    def _on_notice(self, msg: messages.ConfigNotice) -> messages.Message:
        self._mailbox.put(msg)
        return self._notice()

    def _on_root_pull(self, msg: messages.ConfigRootPull) -> messages.Message:
        root = self._replica.root
        return messages.ConfigRoot(revisions.encode_root(root) if root else b"")

    def _on_chunk_pull(self, msg: messages.ConfigChunkPull) -> messages.Message:
        raws: list[bytes] = []
        size = 0
        for name in msg.chunks:
            raw = self._replica.chunk(name)
            if raw is None:
                continue
            size += len(raw) + 5  # A MessagePack bin header has at most 5 bytes.
            if raws and size > PULL_LIMIT_BYTES:
                break
            raws.append(raw)
        return messages.ConfigChunks(tuple(raws))

    def _on_status_pull(self, msg: messages.ConfigStatusPull) -> messages.Message:
        root, now = self._replica.root, self._now()
        return messages.ConfigStatus(
            sender=self._vm.id,
            revision=root.revision if root else models.Revision(0),
            digest=root.digest if root else "",
            age_s=now - self._adopted_at if root else 0.0,
            watcher=self._is_watcher(),
            watcher_age_s=now - self._poll.last_store_contact,
            ready=self._replica.tables is not None and self._ready(),
            alarms=self.alarms.counts.total(),
        )

    def _notice(self) -> messages.ConfigNotice:
        root = self._replica.root
        return messages.ConfigNotice(
            sender=self._vm.id,
            address=self._vm.address,
            revision=root.revision if root else models.Revision(0),
            digest=root.digest if root else "",
            watcher_age_s=self._now() - self._poll.last_store_contact,
        )

    # The main loop; it runs on the thread "follower".

    def _run(self) -> None:
        next_exchange = next_join = self._now()
        join_delay_s = RETRY_DELAY_S
        round_number = 0
        while not self._stop.is_set():
            now = self._now()
            if self._replica.root is None and now >= next_join:
                self.join()
                next_join = now + join_delay_s * self._rng.uniform(0.5, 1.0)
                join_delay_s = min(2 * join_delay_s, MAX_JOIN_DELAY_S)
            if now >= next_exchange:
                next_exchange = now + EXCHANGE_INTERVAL_S * self._rng.uniform(
                    1 - EXCHANGE_JITTER, 1 + EXCHANGE_JITTER
                )
                round_number += 1
                self.run_round(round_number)
            next_wake = (
                min(next_exchange, next_join) if self._replica.root is None else next_exchange
            )
            try:
                event = self._mailbox.get(timeout=max(0.0, next_wake - self._now()))
            except queue.Empty:
                continue
            self.handle(event)

    def handle(self, event: messages.ConfigNotice | store.Entry | None) -> None:
        """Handles a notice from another VM or a root read from the store. Ignores None."""
        if isinstance(event, messages.ConfigNotice):
            self._on_peer_notice(event)
        elif isinstance(event, store.Entry):
            self._on_stored_root(event)

    def run_round(self, round_number: int) -> None:
        """Exchanges revisions with the next neighbour in turn; polls the store if that is due."""
        neighbours = self._neighbours()
        if neighbours:
            self._start_exchange(neighbours[round_number % len(neighbours)])
        if self._retry_entry:
            self._on_stored_root(self._retry_entry)
        if not self._is_watcher() and self._poll.due(self._now()):
            self._poll_store()

    def join(self) -> None:
        """Adopts the newest configuration that the store or a neighbour has."""
        replies = [self._calls.submit(self._request_notice, vm) for vm in self._neighbours()]
        try:
            entry = self._client.get(publish.ROOT_KEY)
            self._poll.record_store_contact(self._now())
        except errors.StoreError:
            entry = None
        notices = [reply.result() for reply in replies]
        offers = [notice for notice in notices if notice and notice.revision]
        for notice in sorted(offers, key=lambda notice: notice.revision, reverse=True):
            self._on_peer_notice(notice)
        if entry:
            self._on_stored_root(entry)

    def _watch(self) -> None:
        version, unchanged_watches = -1, 0
        while not self._stop.is_set():
            if not self._is_watcher():
                version = -1
                self._stop.wait(ROLE_CHECK_INTERVAL_S)
                continue
            try:
                entry = self._client.watch(publish.ROOT_KEY, version, WATCH_TIMEOUT_S)
            except errors.StoreError:
                self._stop.wait(RETRY_DELAY_S * self._rng.uniform(1, 2))
                continue
            self._poll.record_store_contact(self._now())
            unchanged_watches = 0 if entry else unchanged_watches + 1
            if entry:
                version = entry.version
                self._mailbox.put(entry)
            elif unchanged_watches % UNCHANGED_WATCHES_BEFORE_READ == 0:
                version = -1

    def _poll_store(self) -> None:
        try:
            entry = self._client.watch(publish.ROOT_KEY, self._store_version, 0.0)
        except errors.StoreError:
            self._poll.record_poll(self._now())
            return
        self._poll.record_poll(self._now())
        self._poll.record_store_contact(self._now())
        if entry:
            self._on_stored_root(entry)

    def _request_notice(self, vm: models.Vm) -> messages.ConfigNotice | None:
        try:
            reply = self._channel.call(vm, self._notice(), CALL_TIMEOUT_S)
        except errors.DotterelfrontError:
            return None
        return reply if isinstance(reply, messages.ConfigNotice) else None

    def _start_exchange(self, vm: models.Vm) -> None:
        """Starts an exchange of revisions with a VM; its reply is posted to the mailbox."""
        with contextlib.suppress(RuntimeError):  # The thread pool is shut down.
            self._calls.submit(self._exchange, vm)

    def _exchange(self, vm: models.Vm) -> None:
        reply = self._request_notice(vm)
        if reply:
            self._mailbox.put(reply)

    def _on_peer_notice(self, notice: messages.ConfigNotice) -> None:
        self._poll.record_store_contact(self._now() - max(0.0, notice.watcher_age_s))
        self._peer_revisions[notice.sender] = notice.revision
        root = self._replica.root
        if root and notice.revision == root.revision and notice.digest != root.digest:
            self.alarms.raise_alarm(
                "SAME_REVISION", f"{notice.sender} has another digest for revision {root.revision}"
            )
        if notice.revision <= (root.revision if root else 0):
            return
        # A notice has no zone and region, and a call needs only the address.
        peer = models.Vm(notice.sender, notice.address, self._vm.zone, self._vm.region)

        def call(msg: messages.Message) -> messages.Message:
            return self._channel.call(peer, msg, CALL_TIMEOUT_S)

        try:
            self._adopt(pull_root(call), lambda names: self._fetch_chunks(call, names))
        except errors.DotterelfrontError as exc:
            self.alarms.counts["PULL_FAILED"] += 1
            logger.debug("configuration pull from {} failed: {}", notice.sender, exc)

    def _on_stored_root(self, entry: store.Entry) -> None:
        """Handles a root read from the store.

        If it is older than the root in force, reads the store again before raising an alarm: this
        VM may have adopted a newer revision after the first read.
        """
        decision = self._adopt_stored(entry)
        if decision is revisions.AdoptionDecision.OLDER:
            try:
                entry = self._client.get(publish.ROOT_KEY) or store.Entry(b"", 0)
            except errors.StoreError:
                return
            decision = self._adopt_stored(entry)
            if decision is revisions.AdoptionDecision.OLDER:
                self.alarms.raise_alarm("STORE_OLDER", f"store version {entry.version}")
        if decision in (revisions.AdoptionDecision.ADOPT, revisions.AdoptionDecision.SAME):
            self.alarms.clear_alarm("STORE_OLDER")
            self.alarms.clear_alarm("STORE_BROKEN")

    def _adopt_stored(self, entry: store.Entry) -> revisions.AdoptionDecision | None:
        self._retry_entry = None
        if not entry.version:
            return revisions.AdoptionDecision.OLDER if self._replica.root else None
        try:
            decision = self._adopt(
                revisions.decode_root(entry.value),
                lambda names: publish.read_chunks(self._client, names),
            )
        except errors.StoreError as exc:
            self._retry_entry = entry
            logger.debug("cannot read the chunks of a root from the store: {}", exc)
            return None
        except errors.CorruptConfigurationError as exc:
            self._retry_entry = entry
            self.alarms.raise_alarm("STORE_BROKEN", str(exc))
            return None
        if decision is revisions.AdoptionDecision.CONFLICT:
            self.alarms.raise_alarm("SAME_REVISION", f"store version {entry.version}")
        self._store_version = entry.version
        return decision

    def _fetch_chunks(self, call: Call, names: tuple[str, ...]) -> dict[str, bytes]:
        """Pulls chunks from a peer; reads those that the peer does not have from the store."""
        chunks = pull_chunks(call, names)
        missing = tuple(name for name in names if name not in chunks)
        return chunks | publish.read_chunks(self._client, missing) if missing else chunks

    def _adopt(
        self, root: revisions.Root, fetch: Callable[[tuple[str, ...]], dict[str, bytes]]
    ) -> revisions.AdoptionDecision:
        decision = revisions.decide_adoption(self._replica.root, root)
        if decision is not revisions.AdoptionDecision.ADOPT:
            return decision
        missing = self._replica.missing(root)
        decision = self._replica.adopt(root, fetch(missing) if missing else {})
        self._adopted_at = self._now()
        self.alarms.clear_alarm("SAME_REVISION")
        logs.event("configuration in force", revision=root.revision)
        self._on_change(self._replica.tables)
        for vm in self._neighbours():
            if self._peer_revisions.get(vm.id, 0) < root.revision:
                self._start_exchange(vm)
        return decision


def pull_root(call: Call) -> revisions.Root:
    """Pulls the root of a VM; raises ``errors.DotterelfrontError``."""
    reply = call(messages.ConfigRootPull())
    if not isinstance(reply, messages.ConfigRoot):
        raise errors.MessageError(f"unexpected reply {type(reply).__name__}")
    return revisions.decode_root(reply.root)


def pull_chunks(call: Call, names: Iterable[str]) -> dict[str, bytes]:
    """Pulls chunks from a VM, in several calls if they exceed the size of one reply.

    Returns the chunks that the VM holds.
    """
    remaining = dict.fromkeys(names)
    chunks: dict[str, bytes] = {}
    while remaining:
        reply = call(messages.ConfigChunkPull(tuple(remaining)))
        raws = reply.chunks if isinstance(reply, messages.ConfigChunks) else ()
        received = {revisions.chunk_id(raw): raw for raw in raws}
        received = {name: raw for name, raw in received.items() if name in remaining}
        if not received:
            break
        chunks |= received
        for name in received:
            del remaining[name]
    return chunks
