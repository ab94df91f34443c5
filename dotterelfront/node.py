"""The process of a VM on the users' platform: wires the parts together and runs until SIGTERM.

::

    python -m dotterelfront.node      # the platform names the settings file in the environment
"""

import asyncio
import collections
import os
import random
import signal
import sys
import time

from dotterelfront import (
    catalog,
    errors,
    fleet_messages,
    fleet_view,
    fleetmodel,
    follow,
    gateway,
    logs,
    mesh,
    models,
    node_metrics,
    notices,
    relay,
    slot_client,
    slot_owner,
    upstream,
    watch_role,
)
from dotterelfront.platform import boot, records, store, wire

TICK_S = 0.05
"""Interval at which requests that wait are checked against their ends, well below any objective."""
SWEEP_S = 0.5
"""Interval of checks for idle connections, whose limits are seconds."""
SEED_ASK_S = 1.0
"""A listing takes less than this while the store is well."""
PING_S = 1.0
"""Interval at which silent VMs are asked again and other zones told of changes."""
PING_PEERS = 2
"""VMs of other zones that a watcher tells of its revision each second."""
LEASE_S = 15.0
KEEP_S = 5.0
"""The VM's record lives for three renewals; calls to a VM that has ended show it sooner."""
WATCHER_KEEP_S = 0.7
"""A watch that waits does not show that the store is in trouble; the watchers' renewals do."""
WATCHER_KEEP_TIMEOUT_S = 0.8
"""A watcher that the store does not answer hands over within two seconds; a renewal takes 4 ms,
and 0.4 s on a store that is a hundred times slower."""
ACCEPT_AFTER_TERM_S = 3.0
"""The balancer takes a VM out after two checks, one a second, that fail."""
EXIT_MARGIN_S = 0.4
"""Time between the last answer and the platform's SIGKILL."""
SETTINGS_CHECK_S = 5.0
"""Interval of checks whether the settings file has changed; it changes rarely, and a check is one
system call."""
PUSH_BITS_PER_S = 8e6
"""Rate of a watcher's pushes: the smallest links carry 10 Mbit/s. While a push is under way, later
changes are collected, so that a storm of changes cannot fill the link with outdated ones."""
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
"""Where the deploy file says that metrics are read; the port that OpenTelemetry uses for it."""
BACKLOG = 512
"""Connections that wait to be accepted; a burst after a restart brings a zone's callers at once."""
RETRY_RATIO_SHARE = 0.85
RETRY_SLACK_SHARE = 0.8
"""Parts of the users' bounds on repeated sends that the owners of all zones give out together. The
rest covers owners that change: the new one does not know what the old one gave out."""


class Node:
    """One VM: its sockets, its tasks and their shared state, all on one event loop."""

    def __init__(self, cfg: boot.Settings, settings_path: str):
        self._cfg = cfg
        self._settings_path = settings_path
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(cfg.vm_id)
        incarnation = models.Incarnation(int(time.time() * 1000))
        now = self._loop.time()
        self._view = fleet_view.FleetView(cfg.vm, incarnation, now)
        self._client = store.Client(cfg.store_address)
        self._store_state = follow.StoreState(now)
        self._role = watch_role.WatchRole(cfg.vm.id, now)
        self._follower = follow.Follower(
            self._client,
            self._store_state,
            self._role,
            follow.Callbacks(self._on_changed, self._tell_changes, self._tell_zone),
            seed=incarnation,
        )
        self._mesh = mesh.Mesh(cfg.vm.address, self._on_message)
        self._owner = slot_owner.SlotOwner(
            self._limits(), self._send, self._view.is_first_owner, seed=incarnation
        )
        topology = slot_client.Topology(self._view.zones, self._view.owners, self._on_unreachable)
        self._slots = slot_client.SlotClient(cfg.vm, self._send_to_vm, topology, incarnation)
        self._upstream = upstream.Upstream()
        self._relay = relay.Relay(
            self._slots, self._view.catalog.get, self._upstream, seed=incarnation
        )
        self._metrics = node_metrics.NodeMetrics(cfg.vm_id, self._metric_sources())
        self._gateway = gateway.Gateway(
            self._relay.handle, self._timeouts, observe=self._metrics.observe
        )
        self._scrapes = gateway.Gateway(self._answer_scrape)
        self._ready = gateway.Gateway(self._answer_ready)
        self._leaving = asyncio.Event()
        self._owner_busy = asyncio.Event()
        self._lease: int | None = None
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Runs until SIGTERM and the end of the last request."""
        self._loop.add_signal_handler(signal.SIGTERM, self._leaving.set)
        self._loop.add_signal_handler(signal.SIGINT, self._leaving.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._mesh.listen()
        ready = await self._listen(self._ready, self._cfg.ready_address)
        front = await self._listen(self._gateway, self._cfg.http_address)
        scrapes = await self._listen_for_scrapes()
        for job in (
            self._mesh.run,
            self._follower.run,
            self._ask_seeds,
            self._tick,
            self._sweep,
            self._beat,
            self._ping,
            self._keep_record,
            self._check_settings,
        ):
            self._start(job())
        logs.event("started", address=self._cfg.http_address)
        await self._leaving.wait()
        await self._leave(front)
        if scrapes is not None:
            scrapes.close()
        ready.close()

    # Start and end

    def _limits(self) -> slot_owner.Limits:
        bounds, zones = self._cfg.bounds, max(1, len(self._cfg.zones))
        return slot_owner.Limits(
            bounds.retry_ratio * RETRY_RATIO_SHARE,
            bounds.retry_slack * RETRY_SLACK_SHARE / 2 / zones,
            bounds.retry_window_s,
        )

    async def _listen(self, target: gateway.Gateway, address: str) -> asyncio.Server:
        host, _, port = address.rpartition(":")
        return await self._loop.create_server(
            target.connection, host, int(port), backlog=BACKLOG, reuse_address=True
        )

    async def _listen_for_scrapes(self) -> asyncio.Server | None:
        """Serves the metrics; a VM whose port for them is taken serves its callers without."""
        address = f"{self._cfg.address}:{METRICS_PORT}"
        try:
            return await self._listen(self._scrapes, address)
        except OSError as exc:
            logs.event("metrics not served", level="WARNING", address=address, error=str(exc))
            return None

    def _start(self, job) -> None:
        task = self._loop.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.event("task failed", level="ERROR", error=repr(task.exception()))
            self._leaving.set()

    async def _leave(self, front: asyncio.Server) -> None:
        started = self._loop.time()
        logs.event("leaving")
        self._view.members.leaving = True
        self._gateway.leave()
        self._start(self._end_record())
        await asyncio.sleep(ACCEPT_AFTER_TERM_S)
        front.close()
        self._gateway.end_idle()
        await self._gateway.finish(started + self._cfg.bounds.grace_s - EXIT_MARGIN_S)
        self._upstream.close()
        self._mesh.close()
        logs.event("stopped")

    def _reload(self) -> None:
        """Adopts the changed settings file; a faulty one leaves the old settings in force."""
        try:
            self._cfg = boot.reloaded(self._cfg, self._settings_path)
        except errors.ConfigurationError as exc:
            logs.event("settings rejected", level="WARNING", error=str(exc))
            return
        self._owner.set_limits(self._limits())
        logs.event("settings read again")

    # Periodic work

    async def _ask_seeds(self) -> None:
        """Pulls all records from other VMs while a VM that starts cannot list them."""
        while not self._follower.listed:
            await asyncio.sleep(SEED_ASK_S)
            if not self._follower.listed and (seeds := self._cfg.seed_peers()):
                address = self._rng.choice(seeds)
                self._send(address, fleet_messages.Pull(self._cfg.vm.address, 0))

    async def _tick(self) -> None:
        """Lets the requests that wait or hold slots of this VM's shards advance."""
        while True:
            await self._owner_busy.wait()
            await asyncio.sleep(TICK_S)
            self._owner.tick(self._loop.time())
            if not self._owner.busy:
                self._owner_busy.clear()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            now = self._loop.time()
            self._gateway.sweep(now)
            well_since = self._store_state.well_since(now)
            report = self._view.catalog.expire_lapsed(well_since, now)
            self._set_servers(report.pools)

    async def _check_settings(self) -> None:
        """Reads the settings again when their file changes without a signal."""
        seen = _version_of(self._settings_path)
        while True:
            await asyncio.sleep(SETTINGS_CHECK_S)
            found = _version_of(self._settings_path)
            if found != seen:
                seen = found
                self._reload()

    async def _beat(self) -> None:
        """Tells the VMs of the zone that this one watches the store for them, and when it ends."""
        told = False
        while True:
            await asyncio.sleep(watch_role.BEAT_S)
            watches = self._watches()
            if watches or told:
                self._tell_zone()
            told = watches

    def _tell_zone(self) -> None:
        message = self._ping_message(answer=False)
        for vm in self._zone_peers():
            self._send(vm.address, message)

    async def _ping(self) -> None:
        """Asks VMs that did not answer, and tells other zones what this VM has."""
        while True:
            await asyncio.sleep(PING_S * self._rng.uniform(0.8, 1.2))
            now = self._loop.time()
            self._view.members.tick(now)
            for vm in self._view.members.suspects(now):
                self._send(vm.address, self._ping_message(answer=True))
            if self._watches():
                self._tell_other_zones()

    def _watches(self) -> bool:
        """Whether this VM watches the store and the store serves it."""
        return (
            self._follower.listed
            and self._store_state.reachable
            and self._role.should_watch(self._loop.time())
        )

    def _zone_peers(self) -> list[models.Vm]:
        own = self._cfg.vm
        return [vm for vm in self._view.members.listed() if vm.zone == own.zone and vm.id != own.id]

    def _tell_other_zones(self) -> None:
        others = [vm for vm in self._view.members.listed() if vm.zone != self._cfg.zone]
        for vm in self._rng.sample(others, min(PING_PEERS, len(others))):
            self._send(vm.address, self._ping_message(answer=False))

    async def _keep_record(self) -> None:
        """Keeps the VM's record under its lease; shows a watcher whether the store is well."""
        while not self._follower.listed:
            await asyncio.sleep(TICK_S)
        key, value = self._view.record()
        while True:
            started = self._loop.time()
            watches = self._role.should_watch(started)
            timeout_s = WATCHER_KEEP_TIMEOUT_S if watches else store.CALL_TIMEOUT_S
            try:
                if self._lease is None:
                    lease = await self._client.lease(LEASE_S)
                    await self._client.put(key, value, lease)
                    self._lease = lease
                elif not await self._client.keep(self._lease, timeout_s):
                    self._lease = None
                    continue
                if watches:
                    self._store_state.succeeded(self._loop.time())
            except errors.StoreError as exc:
                if watches:
                    self._store_state.failed(self._loop.time(), since=started)
                logs.event("record not kept", level="DEBUG", error=str(exc))
            interval_s = WATCHER_KEEP_S if watches else KEEP_S
            await asyncio.sleep(interval_s * self._rng.uniform(0.9, 1.1))

    async def _end_record(self) -> None:
        lease, self._lease = self._lease, None
        try:
            if lease is not None:
                await self._client.end_lease(lease)
        except errors.StoreError as exc:
            logs.event("record not ended", level="WARNING", error=str(exc))

    # Changes of records

    def _on_changed(self, keys: set[str]) -> None:
        copy, now = self._follower.copy, self._loop.time()
        trusted = self._store_state.trusted(now, catalog.RETURN_S)
        urgent = records.CONFIG_KEY in keys and self._on_config(copy.get(records.CONFIG_KEY))
        servers = sorted(key for key in keys if key.startswith(records.SERVERS_PREFIX))
        if servers:
            found = [fleetmodel.Record(key, 0, copy.get(key)) for key in servers]
            report = self._view.on_servers(found, trusted, now)
            self._set_servers(report.pools)
            urgent |= report.withdrawn
        if any(key.startswith(fleet_view.VMS_PREFIX) for key in keys):
            self._view.on_vms(copy.items(fleet_view.VMS_PREFIX), trusted, now)
        if urgent and self._watches():
            self._notify_zones()

    def _on_config(self, raw: bytes | None) -> bool:
        newer = self._view.on_config(raw)
        if newer:
            self._relay.configure(self._view.config)
            logs.event("configuration in force", revision=self._view.config.revision)
        return newer

    def _notify_zones(self) -> None:
        """Tells other zones of a change, in case the store turns all their watchers away."""
        notice = fleet_messages.Notice(self._cfg.vm.address, self._follower.copy.revision)
        for vm in notices.receivers(self._view.members.listed(), self._cfg.vm.zone, self._rng):
            self._send(vm.address, notice)

    def _tell_changes(self, after: int, changes: fleetmodel.Changes) -> float:
        """Passes on to the zone what this VM has learned from outside.

        Returns the time in seconds that this takes on a small VM's link.
        """
        raw = fleet_messages.encode(fleet_messages.Push(after, changes))
        peers = self._zone_peers()
        for vm in peers:
            self._mesh.send_encoded(vm.address, raw)
        return len(raw) * len(peers) * 8 / PUSH_BITS_PER_S

    def _set_servers(self, pools) -> None:
        now = self._loop.time()
        for pool in sorted(pools):
            self._owner.set_servers(pool, self._view.by_zone(pool), now)

    # Messages

    def _send(self, address: str, message: fleet_messages.Message) -> bool:
        if address == self._cfg.vm.address:
            self._loop.call_soon(self._on_message, message)
            return True
        return self._mesh.send(address, message)

    def _send_to_vm(self, vm: models.Vm, message: fleet_messages.Message) -> bool:
        return self._send(vm.address, message)

    def _on_unreachable(self, vm: models.Vm) -> None:
        if vm.id == self._cfg.vm_id:
            return
        self._view.members.on_call_failed(vm.id, self._loop.time(), not_sent=True)
        self._mesh.reset(vm.address)
        self._send(vm.address, self._ping_message(answer=True))

    def _on_message(self, message: fleet_messages.AnyMessage) -> None:
        _HANDLERS[type(message)](self, message)

    def _on_slot_request(self, message: fleet_messages.SlotRequest) -> None:
        self._owner.request(message, self._loop.time())
        self._owner_busy.set()

    def _on_slot_release(self, message: fleet_messages.SlotRelease) -> None:
        self._owner.release(message, self._loop.time())

    def _on_slot_reply(self, message) -> None:
        self._slots.on_reply(message)

    def _on_ping(self, message: fleet_messages.Ping) -> None:
        now = self._loop.time()
        self._view.members.on_reached(message.sender, message.incarnation, message.leaving, now)
        if message.answer:
            self._send(message.reply_to, self._ping_message(answer=False))
        if message.zone == self._cfg.zone:
            self._on_zone_ping(message, now)
        if self._follower.should_pull(message.revision, message.zone == self._cfg.zone):
            pull = fleet_messages.Pull(self._cfg.vm.address, self._follower.copy.revision)
            self._send(message.reply_to, pull)

    def _on_zone_ping(self, message: fleet_messages.Ping, now: float) -> None:
        if message.well_s is None:
            self._role.lost(message.sender)
            return
        self._role.heard(message.sender, now)
        watches = self._role.should_watch(now)
        self._store_state.reported(message.sender, message.well_s, watches, now)

    def _on_notice(self, message: fleet_messages.Notice) -> None:
        if message.revision > self._follower.copy.revision:
            self._loop.call_later(notices.wait_s(self._rng), self._pull_if_behind, message)

    def _pull_if_behind(self, notice: fleet_messages.Notice) -> None:
        revision = self._follower.copy.revision
        if notice.revision > revision:
            logs.event("pulling from another zone", revision=revision, wanted=notice.revision)
            pull = fleet_messages.Pull(self._cfg.vm.address, revision, pass_on=True)
            self._send(notice.reply_to, pull)

    def _on_pull(self, message: fleet_messages.Pull) -> None:
        changes = self._follower.copy.since(message.after)
        if changes is not None:
            push = fleet_messages.Push(message.after, changes, message.pass_on)
            self._send(message.reply_to, push)

    def _on_push(self, message: fleet_messages.Push) -> None:
        if not self._follower.take(message.after, message.changes):
            logs.event("changes out of order", level="DEBUG", after=message.after)
        elif message.pass_on:
            self._tell_changes(message.after, message.changes)

    def _ping_message(self, answer: bool) -> fleet_messages.Ping:
        now = self._loop.time()
        return fleet_messages.Ping(
            sender=self._cfg.vm.id,
            reply_to=self._cfg.vm.address,
            zone=self._cfg.vm.zone,
            incarnation=self._view.incarnation,
            leaving=self._leaving.is_set(),
            revision=self._follower.copy.revision,
            well_s=self._store_state.own_well_s(now) if self._watches() else None,
            answer=answer,
        )

    # Callers

    def _timeouts(self) -> gateway.Timeouts:
        config = self._view.config
        if config is None:
            return gateway.Timeouts()
        return gateway.Timeouts(config.head_timeout_s, config.idle_timeout_s, config.max_body_bytes)

    async def _answer_ready(self, call: relay.Call) -> relay.Answer:
        ready = (
            call.head.path == wire.READY_PATH
            and not self._leaving.is_set()
            and self._view.config is not None
            and self._follower.listed
        )
        return relay.Answer(200 if ready else 503, [])

    # Metrics

    async def _answer_scrape(self, call: relay.Call) -> relay.Answer:
        if call.head.path != METRICS_PATH:
            raise errors.NoRouteError("only metrics are served here")
        return relay.Answer(
            200, [("Content-Type", "text/plain; version=0.0.4")], await self._metrics.text()
        )

    def _metric_sources(self) -> list[node_metrics.Source]:
        source = node_metrics.Source
        return [
            source("answers", "Answers to callers", "status", self._read_answers),
            source("mesh_messages", "Messages between VMs", "event", lambda: self._mesh.counters),
            source("shard_events", "Decisions of this VM's shards", "event", self._read_decisions),
            source("shards", "Requests in this VM's shards", "state", self._read_shards, False),
            source("state", "What this VM has", "of", self._read_state, False),
        ]

    def _read_answers(self) -> dict[str, int]:
        return {str(status): count for status, count in self._gateway.counters.items()}

    def _read_decisions(self) -> collections.Counter[str]:
        found: collections.Counter[str] = collections.Counter()
        for snapshot in self._owner.snapshots(self._loop.time()):
            found.update(snapshot.counters)
        return found

    def _read_shards(self) -> dict[str, int]:
        found = self._owner.snapshots(self._loop.time())
        return {
            "queued": sum(sum(snapshot.queued.values()) for snapshot in found),
            "in-flight": sum(snapshot.in_flight for snapshot in found),
            "slots": sum(snapshot.slots for snapshot in found),
        }

    def _read_state(self) -> dict[str, float]:
        config = self._view.config
        return {
            "configuration-revision": config.revision if config else 0,
            "records-revision": self._follower.copy.revision,
            "watching": int(self._watches()),
            "store-well-seconds": self._store_state.own_well_s(self._loop.time()) or 0.0,
            "connections": len(self._gateway.connections),
        }


_HANDLERS = {
    fleet_messages.SlotRequest: Node._on_slot_request,
    fleet_messages.SlotRelease: Node._on_slot_release,
    fleet_messages.SlotWaiting: Node._on_slot_reply,
    fleet_messages.SlotGrant: Node._on_slot_reply,
    fleet_messages.SlotRefusal: Node._on_slot_reply,
    fleet_messages.Ping: Node._on_ping,
    fleet_messages.Notice: Node._on_notice,
    fleet_messages.Pull: Node._on_pull,
    fleet_messages.Push: Node._on_push,
}


def _version_of(path: str) -> tuple[int, int]:
    """Returns what tells versions of a file apart; zeros while there is no file.

    A file that has gone is a change, and reading it again logs why it cannot be read.
    """
    try:
        found = os.stat(path)
    except OSError:
        return 0, 0
    return found.st_mtime_ns, found.st_size


async def _run(cfg: boot.Settings, path: str) -> None:
    await Node(cfg, path).run()


def run(path: str) -> None:
    """Runs the VM of a settings file; raises ``errors.ConfigurationError``."""
    cfg = boot.load(path)
    logs.configure(cfg.log_format, cfg.vm_id)
    asyncio.run(_run(cfg, path))


def main() -> None:
    """Runs the VM that the platform starts; exits with status 1 when its settings are faulty."""
    logs.configure(logs.LogFormat.JSON)
    try:
        run(os.environ.get(boot.SETTINGS_VARIABLE, ""))
    except errors.ConfigurationError as exc:
        logs.event("settings rejected", level="ERROR", error=str(exc))
        sys.exit(1)


if __name__ == "__main__":
    main()
