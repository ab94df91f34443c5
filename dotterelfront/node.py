"""Main process of a VM: wires the components together and runs until SIGTERM.

::

    python -m dotterelfront.start     # the environment names the settings file
"""

import asyncio
import collections
import os
import random
import signal
import sys
import time

import msgspec

from dotterelfront import (
    catalog,
    clock,
    errors,
    first_copy,
    fleet_messages,
    fleet_view,
    fleetmodel,
    follow,
    gateway,
    listener,
    logs,
    mesh,
    models,
    node_metrics,
    propagation,
    read_budget,
    registration,
    relay,
    rollout,
    shutdown,
    slot_client,
    slot_owner,
    supervisor,
    upstream,
    watch_role,
)
from dotterelfront.platform import boot, records, store, wire

TICK_S = 0.05
"""Interval of deadline checks of queued requests, well below any latency objective."""
SWEEP_INTERVAL_S = 0.5
"""Interval of checks for idle connections and expired servers, whose limits are in seconds."""
LAG_SAMPLES = 20
"""Sweeps over which the greatest delay of the event loop is measured."""
SEED_PULL_INTERVAL_S = 1.0
"""Interval of pulls from seed VMs until this VM has a complete copy of the records. Listing the
records in the store takes less than this while the store is healthy."""
RECORD_TASK = "renew-record"
SETTINGS_CHECK_INTERVAL_S = 5.0
"""Interval of checks for a changed settings file. The file changes rarely, and a check costs one
system call."""
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
"""Scrape target that the deploy file declares; OpenTelemetry uses the same port."""
DEFAULT_MEMORY_MB = 200.0
"""Assumed memory of a VM whose settings state none; the smallest VMs have this much."""
BUFFER_SHARE = 0.125
"""Share of the memory that buffers responses of servers, and as much again requests of callers."""
RETRY_RATIO_SHARE = 0.85
RETRY_SLACK_SHARE = 0.8
"""Shares of the configured retry bounds that the shard owners of all zones grant together. The rest
covers a change of owner: the new owner does not know which retries the old one granted."""

FileVersion = tuple[int, int]
"""Modification time in nanoseconds and size of a file."""


class Node:
    """One VM: its sockets, its tasks and their shared state, all on one event loop."""

    def __init__(self, cfg: boot.Settings, settings_path: str, settings_version: FileVersion):
        self._cfg = cfg
        self._settings_path = settings_path
        self._settings_version = settings_version
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(cfg.vm_id)
        incarnation = models.Incarnation(int(time.time() * 1000))
        now = self._loop.time()
        self._view = fleet_view.FleetView(cfg.vm, incarnation, now)
        self._client = store.Client(cfg.store_address)
        self._store_state = follow.StoreState(now)
        self._role = watch_role.WatchRole(cfg.vm.id, now)
        self._first_copy = first_copy.FirstCopy(self._role, cfg.first_start, now)
        self._follower = follow.StoreFollower(
            self._client,
            self._store_state,
            self._role,
            follow.Callbacks(
                self._on_changed,
                lambda after: self._propagation.request_push(after),
                lambda: self._registration.request_renewal(),
            ),
            self._first_copy.list_due,
            records.compact,
            follow.watch_wait_s(cfg.bounds.apply_s),
            seed=incarnation,
        )
        self._mesh = mesh.Mesh(cfg.vm.address, self._on_message)
        self._leaving = asyncio.Event()
        self._propagation = propagation.Propagation(
            self._view,
            propagation.Sources(self._follower, self._store_state, self._role, self._first_copy),
            self._mesh,
            self._leaving.is_set,
            self._rng,
        )
        self._registration = registration.Registration(
            self._client,
            self._store_state,
            self._role,
            registration.Callbacks(
                self._may_register, self._view.record, self._propagation.ping_zone
            ),
            self._rng,
        )
        self._owner = slot_owner.SlotOwner(
            self._retry_limits(), self._send, self._view.is_first_owner, seed=incarnation
        )
        topology = slot_client.Topology(self._usable_zones, self._view.owners, self._on_unreachable)
        self._slots = slot_client.SlotClient(cfg.vm, self._send_to_vm, topology, incarnation)
        buffer_bytes = int((cfg.memory_limit_mb or DEFAULT_MEMORY_MB) * 1e6 * BUFFER_SHARE)
        self._budget = read_budget.ReadBudget(buffer_bytes)
        self._upstream = upstream.Upstream(self._budget)
        fleet = relay.Fleet(
            self._view.catalog.get, self._view.catalog.instances, self._on_server_leaving
        )
        self._relay = relay.Relay(self._slots, fleet, self._upstream, seed=incarnation)
        self._metrics = node_metrics.NodeMetrics(cfg.vm_id, self._metric_sources())
        self._gateway = gateway.Gateway(
            self._relay.handle,
            self._connection_limits,
            observe=self._metrics.observe_request,
            buffer_bytes=buffer_bytes,
        )
        self._metrics_gateway = gateway.Gateway(self._answer_scrape)
        self._readiness_gateway = gateway.Gateway(self._answer_readiness)
        self._owner_busy = asyncio.Event()
        self._lags: collections.deque[float] = collections.deque([0.0], maxlen=LAG_SAMPLES)
        """Delays of the latest sweeps in seconds."""
        self._supervisor = supervisor.Supervisor(self._leaving.set)

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then finishes the open requests."""
        self._loop.add_signal_handler(signal.SIGTERM, self._leaving.set)
        self._loop.add_signal_handler(signal.SIGINT, self._leaving.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._mesh.listen()
        ready_listener = listener.Listener(
            self._cfg.ready_address, self._readiness_gateway.connection
        )
        http_listener = listener.Listener(self._cfg.http_address, self._gateway.connection)
        metrics_listener = self._listen_for_scrapes()
        for name, task_fn in (
            ("mesh", self._mesh.run),
            ("follower", self._follower.run),
            ("zone-push", self._propagation.zone_push.run),
            ("seeds", self._pull_from_seeds),
            ("tick", self._tick),
            ("sweep", self._sweep),
            ("announce-watch", self._propagation.announce_watch),
            ("ping-peers", self._propagation.ping_peers),
            (RECORD_TASK, self._registration.run),
            ("settings", self._check_settings),
        ):
            self._supervisor.start(name, task_fn)
        logs.event("started", address=self._cfg.http_address)
        await self._leaving.wait()
        await self._shut_down(http_listener)
        if metrics_listener is not None:
            await metrics_listener.close()
        await ready_listener.close()

    # Startup and shutdown

    def _retry_limits(self) -> slot_owner.RetryLimits:
        bounds, zones = self._cfg.bounds, max(1, len(self._cfg.zones))
        # Within a window a shard grants up to twice its burst, and a pool has one shard per zone.
        return slot_owner.RetryLimits(
            bounds.retry_ratio * RETRY_RATIO_SHARE,
            bounds.retry_slack * RETRY_SLACK_SHARE / 2 / zones,
            bounds.retry_window_s,
        )

    def _listen_for_scrapes(self) -> listener.Listener | None:
        """Serves the metrics; if the port is in use, the VM runs without them."""
        address = f"{self._cfg.address}:{METRICS_PORT}"
        try:
            return listener.Listener(address, self._metrics_gateway.connection)
        except OSError as exc:
            logs.event("metrics not served", level="WARNING", address=address, error=str(exc))
            return None

    async def _shut_down(self, http_listener: listener.Listener) -> None:
        """Answers everything that has arrived, and then stops.

        The load balancer may send new connections until the end, if few VMs of the zone are ready.
        """
        times = shutdown.times(self._loop.time(), self._cfg.bounds.grace_s)
        logs.event("shutting down")
        self._view.members.leaving = True
        self._gateway.drain()
        self._supervisor.start("delete-record", self._delete_record)
        self._slots.end_waits(times.send_until)
        await asyncio.sleep(times.accept_until - self._loop.time())
        self._gateway.refuse_new()
        await self._gateway.finish(times.close_listener_at)
        await http_listener.close()
        await self._gateway.finish(times.stop_at)
        self._gateway.close()
        self._upstream.close()
        self._mesh.close()
        logs.event("stopped")

    def _reload(self) -> None:
        """Reloads the settings file; an invalid file leaves the old settings in force."""
        try:
            self._cfg = boot.reload_settings(self._cfg, self._settings_path)
        except errors.ConfigurationError as exc:
            logs.event("settings rejected", level="WARNING", error=str(exc))
            return
        self._owner.set_limits(self._retry_limits())
        logs.event("settings reloaded")

    # Periodic tasks

    async def _pull_from_seeds(self) -> None:
        """Pulls all records from seed VMs until this VM has a complete copy."""
        while not self._follower.is_complete:
            await asyncio.sleep(SEED_PULL_INTERVAL_S)
            list_due = self._first_copy.list_due(self._loop.time())
            if list_due and not self._follower.is_complete and (seeds := self._cfg.seed_peers()):
                address = self._rng.choice(seeds)
                self._send(address, fleet_messages.Pull(self._cfg.vm.address, 0))

    async def _tick(self) -> None:
        """Advances the queued and granted slot requests of this VM's shards."""
        while True:
            await self._owner_busy.wait()
            await asyncio.sleep(TICK_S)
            self._owner.tick(self._loop.time())
            if not self._owner.busy:
                self._owner_busy.clear()

    async def _sweep(self) -> None:
        while True:
            due = self._loop.time() + SWEEP_INTERVAL_S
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self._loop.time()
            self._lags.append(now - due)
            self._gateway.sweep(now)
            available_since = self._store_state.available_since(now)
            report = self._view.catalog.drop_expired(available_since, now)
            self._set_servers(report.pools)

    async def _check_settings(self) -> None:
        """Reloads the settings when the file changes without a SIGHUP."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            current = _file_version(self._settings_path)
            if current != self._settings_version:
                self._settings_version = current
                self._reload()

    # Records

    def _may_register(self) -> bool:
        """Whether the VM's record may be written.

        The key of an earlier process of this VM is known only from the copy of the records.
        """
        return self._follower.is_complete or self._cfg.first_start

    async def _delete_record(self) -> None:
        await self._supervisor.stop(RECORD_TASK)
        await self._registration.withdraw()

    def _on_changed(self, keys: set[str]) -> None:
        local_copy, now = self._follower.local_copy, self._loop.time()
        trusted = self._store_state.removals_trusted(now, catalog.RECOVERY_S)
        urgent = records.CONFIG_KEY in keys and self._on_config(
            local_copy.get(records.CONFIG_KEY), now
        )
        servers = sorted(key for key in keys if key.startswith(records.SERVERS_PREFIX))
        if servers:
            changed = [fleetmodel.Record(key, 0, local_copy.get(key)) for key in servers]
            report = self._view.on_servers(changed, trusted, now)
            self._set_servers(report.pools)
            urgent |= report.withdrawn
        if any(key.startswith(fleet_view.VMS_PREFIX) for key in keys):
            self._view.on_vms(local_copy.items(fleet_view.VMS_PREFIX), trusted, now)
        if urgent and self._propagation.watches():
            self._propagation.notify_zones()

    def _on_config(self, raw: bytes | None, now: float) -> bool:
        newer = self._view.on_config(raw, now)
        if newer:
            self._relay.configure(self._view.config)
            logs.event("configuration in force", revision=self._view.config.revision)
        return newer

    def _set_servers(self, pools) -> None:
        now = self._loop.time()
        for pool in sorted(pools):
            self._owner.set_servers(pool, self._view.servers_by_zone(pool), now)

    def _usable_zones(self, pool: models.PoolName) -> list[models.ZoneName]:
        """Returns the zones in which a pool has servers that may get requests from this VM."""
        servers = self._view.catalog.instances(pool)
        blocked = self._relay.signals.blocked(servers, self._loop.time())
        return self._view.zones(pool, blocked)

    def _on_server_leaving(self, server: fleetmodel.Instance) -> None:
        """Tells the owners of a server that it leaves, so that they grant it no more."""
        hint = fleet_messages.ServerLeaving(server.id, server.started_ms, server.pool)
        self._on_leaving_hint(hint)
        for vm in self._view.owners(server.pool, server.zone)[: slot_client.MAX_OWNERS_ASKED]:
            if vm.id != self._cfg.vm_id:
                self._send(vm.address, hint)

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
        self._propagation.ping(vm)

    def _on_message(self, message: fleet_messages.AnyMessage) -> None:
        _HANDLERS[type(message)](self, message)

    def _on_slot_request(self, message: fleet_messages.SlotRequest) -> None:
        self._owner.request(message, self._loop.time())
        self._owner_busy.set()

    def _on_slot_release(self, message: fleet_messages.SlotRelease) -> None:
        self._owner.release(message, self._loop.time())

    def _on_slot_reply(self, message) -> None:
        self._slots.on_reply(message)

    def _on_leaving_hint(self, message: fleet_messages.ServerLeaving) -> None:
        self._owner.mark_leaving(message.server, message.started_ms, self._loop.time())

    def _on_record_message(self, message: fleet_messages.AnyMessage) -> None:
        self._propagation.on_message(message)

    # Callers

    def _connection_limits(self) -> gateway.ConnectionLimits:
        config = self._view.config
        if config is None:
            return gateway.ConnectionLimits()
        return gateway.ConnectionLimits(
            config.head_timeout_s, config.idle_timeout_s, config.max_body_bytes
        )

    async def _answer_readiness(self, call: relay.Call) -> relay.Answer:
        ready = (
            call.head.path == wire.READY_PATH
            and not self._leaving.is_set()
            and self._view.config is not None
            and self._follower.is_complete
        )
        return relay.Answer(200 if ready else 503, [])

    # Metrics

    async def _answer_scrape(self, call: relay.Call) -> relay.Answer:
        if call.head.path == rollout.PATH:
            return relay.Answer(
                200,
                [("Content-Type", "application/json")],
                msgspec.json.encode(self._rollout_state()),
            )
        if call.head.path != METRICS_PATH:
            raise errors.NoRouteError("this port serves only metrics and the configuration")
        return relay.Answer(
            200,
            [("Content-Type", "text/plain; version=0.0.4")],
            await self._metrics.render_text(),
        )

    def _rollout_state(self) -> rollout.VmState:
        config = self._view.config
        revision = config.revision if config else models.Revision(0)
        return rollout.VmState(revision, self._loop.time() - self._view.config_since)

    def _metric_sources(self) -> list[node_metrics.MetricSource]:
        source = node_metrics.MetricSource
        return [
            source("answers", "Answers to callers", "status", self._read_answers),
            source("mesh_messages", "Messages between VMs", "event", lambda: self._mesh.counters),
            source("messages_by_kind", "Messages between VMs", "kind", lambda: self._mesh.messages),
            source("message_bytes", "Bytes between VMs", "kind", lambda: self._mesh.bytes),
            source("store_calls", "Calls to the store", "call", lambda: self._client.calls),
            source("shard_events", "Decisions of this VM's shards", "event", self._read_decisions),
            source("shards", "Requests in this VM's shards", "state", self._read_shards, False),
            source(
                "server_signals",
                "Signals of servers, and withheld sends",
                "kind",
                self._read_signals,
            ),
            source("caller_events", "Connections ended", "event", lambda: self._gateway.events),
            source("task_failures", "Errors of tasks", "task", lambda: self._supervisor.failures),
            source("broken_exchanges", "Broken exchanges", "reason", lambda: self._upstream.broken),
            source("state", "What this VM has", "of", self._read_state, False),
        ]

    def _read_answers(self) -> dict[str, int]:
        return {str(status): count for status, count in self._gateway.counters.items()}

    def _read_signals(self) -> collections.Counter[str]:
        return self._relay.signals.counters

    def _read_decisions(self) -> collections.Counter[str]:
        totals: collections.Counter[str] = collections.Counter()
        for snapshot in self._owner.snapshots(self._loop.time()):
            totals.update(snapshot.counters)
        return totals

    def _read_shards(self) -> dict[str, int]:
        shards = self._owner.snapshots(self._loop.time())
        return {
            "queued": sum(sum(snapshot.queued.values()) for snapshot in shards),
            "in-flight": sum(snapshot.in_flight for snapshot in shards),
            "slots": sum(snapshot.slots for snapshot in shards),
        }

    def _read_state(self) -> dict[str, float]:
        config = self._view.config
        return {
            "configuration-revision": config.revision if config else 0,
            "configuration-age-seconds": self._rollout_state().age_s,
            "records-revision": self._follower.local_copy.revision,
            "watching": int(self._propagation.watches()),
            "store-well-seconds": self._store_state.own_available_s(self._loop.time()) or 0.0,
            "connections": len(self._gateway.connections),
            "buffered-response-bytes": self._budget.used_bytes,
            "loop-lag-seconds": max(self._lags),
        }


_HANDLERS = {
    fleet_messages.SlotRequest: Node._on_slot_request,
    fleet_messages.SlotRelease: Node._on_slot_release,
    fleet_messages.SlotWaiting: Node._on_slot_reply,
    fleet_messages.SlotGrant: Node._on_slot_reply,
    fleet_messages.SlotRefusal: Node._on_slot_reply,
    fleet_messages.ServerLeaving: Node._on_leaving_hint,
} | dict.fromkeys(propagation.MESSAGES, Node._on_record_message)


def _file_version(path: str) -> FileVersion:
    """Returns the modification time in nanoseconds and the size of a file, zeros if it is missing.

    A deleted file counts as a change; the reload then logs why the file cannot be read.
    """
    try:
        status = os.stat(path)
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size


async def _run(cfg: boot.Settings, path: str, version: FileVersion) -> None:
    await Node(cfg, path, version).run()


def run(path: str) -> None:
    """Runs a VM with the settings file at ``path``; raises ``errors.ConfigurationError``."""
    version = _file_version(path)
    cfg = boot.load(path)
    logs.configure(cfg.log_format, cfg.vm_id)
    with asyncio.Runner(loop_factory=clock.EventLoop) as runner:
        runner.run(_run(cfg, path, version))


def main() -> None:
    """Runs the VM with the settings file from the environment; exits with 1 if it is invalid."""
    logs.configure(logs.LogFormat.JSON)
    try:
        run(os.environ.get(boot.SETTINGS_VARIABLE, ""))
    except errors.ConfigurationError as exc:
        logs.event("settings rejected", level="ERROR", error=str(exc))
        sys.exit(1)


if __name__ == "__main__":
    main()
