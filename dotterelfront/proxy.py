"""The proxy process: wires the tasks of one VM together.

::

    process = Proxy(settings.load(path))
    signal.signal(signal.SIGTERM, lambda *_: process.stop())
    process.run()
"""

import queue
import threading
import time

from dotterelfront import (
    admin,
    burn,
    claims,
    control,
    delivery,
    dispatch,
    entry,
    errors,
    follower,
    heartbeat,
    messages,
    metrics,
    models,
    observation,
    owner,
    peers,
    permits,
    placement,
    settings,
    store,
    vmlist,
)

CLAIM_TIMEOUT_S = 0.5
REFUSE_S = 0.5
"""How long forwarded requests are refused before the sockets close: a request that is read from a
socket is answered, one that is lost with it has an unknown outcome."""
DATA_LIMIT_BYTES = 8_000_000
STATUS_TIMEOUT_S = 1.0


class Proxy:
    """All tasks of one VM. ``run`` blocks until ``stop`` is called."""

    def __init__(self, cfg: settings.Settings):
        self._cfg = cfg
        self._tls = peers.TlsFiles(**cfg.tls.model_dump()) if cfg.tls else None
        self._vm = models.Vm(cfg.vm_id, cfg.address, cfg.zone, cfg.region)
        incarnation = models.Incarnation(int(time.time() * 1000))
        self._identity = dispatch.Identity(self._vm, incarnation)
        self._metrics = metrics.Metrics(cfg.vm_id)
        self._counters = burn.RouteCounters()
        self._stop_requests: queue.SimpleQueue = queue.SimpleQueue()
        self._forwarded = threading.Condition()
        self._forwarded_now = 0
        self._refusing = False
        self._http_error: Exception | None = None
        self._control = control.ControlChannel(self._vm, cfg.control_port, self._tls)
        self._control.register(messages.BurnQuery, self._on_burn_query)
        self._caller = peers.Caller(DATA_LIMIT_BYTES, self._tls)
        self._owner = owner.OwnerTask()
        self._make_followers()
        self._make_data_path()
        self._make_http()
        self._add_gauges()

    def _make_followers(self) -> None:
        """Makes the tasks that follow the platform: membership, configuration and permits."""
        cfg = self._cfg
        self._membership = heartbeat.MembershipTask(
            self._vm,
            self._identity.incarnation,
            self._control,
            cfg.platform_url,
            on_change=self._on_vms,
            on_list=self._on_list,
            on_leaving_servers=self._owner.set_leaving,
        )
        self._follower = follower.Follower(
            self._vm,
            store.StoreClient(cfg.store_url),
            self._control,
            neighbours=self._membership.neighbours,
            is_watcher=self._is_watcher,
            on_change=lambda tables: self._owner.apply_tables(tables, self._rank),
            ready=lambda: self._ready(),
        )
        self._permits = permits.Permits(
            self._vm,
            self._identity.incarnation,
            store.StoreClient(cfg.store_url),
            self._control,
            self._owner.post,
            tables=lambda: self._follower.tables,
            vms=self._membership.usable,
            incarnation_of=lambda vm_id: self._membership.incarnation_of(vm_id) or None,
        )
        self._owner.set_after_tick(self._permits.on_tick)

    def _make_data_path(self) -> None:
        """Makes the parts that a request passes from the entry to the server."""
        cfg = self._cfg
        call_ids = dispatch.CallIds()
        self._dispatcher = dispatch.Dispatcher(
            self._identity,
            tables=lambda: self._follower.tables,
            vms=self._membership.usable,
            owner_task=self._owner,
            caller=self._caller,
            data_port=cfg.data_port,
            call_ids=call_ids,
            on_call_failed=self._membership.report_failed,
        )
        claim_store = store.StoreClient(cfg.store_url, CLAIM_TIMEOUT_S)
        self._deliverer = delivery.Deliverer(
            self._identity,
            self._dispatcher,
            vms=self._membership.usable,
            caller=self._caller,
            data_port=cfg.data_port,
            own_keys=claims.Claims(claim_store, time.time, time.monotonic),
            peer_slots=max(1, cfg.data_workers // 2),
            call_ids=call_ids,
        )
        self._data = peers.Listener(
            f"{cfg.address}:{cfg.data_port}",
            self._on_data,
            cfg.data_workers,
            DATA_LIMIT_BYTES,
            self._tls,
        )

    def _make_http(self) -> None:
        cfg = self._cfg
        self._entry = entry.Entry(
            self._deliverer,
            lambda: self._follower.tables,
            cfg.customer_header,
            cfg.http_workers,
            observation.Observer(self._metrics, self._counters).record,
        )
        self._http = entry.Server(cfg.address, cfg.http_port, cfg.http_workers, self._entry)
        by_path = admin.pages(self._ready, self._status, self._metrics.prometheus_text)
        self._admin = admin.make_server(cfg.address, cfg.admin_port, by_path)

    def run(self) -> None:
        """Serves until ``stop`` is called, then shuts down without cutting off a request."""
        self._follower.register()
        self._owner.start()
        self._deliverer.start()
        self._data.start()
        self._control.start()
        self._membership.start()
        self._follower.start()
        self._deliverer.start()
        threading.Thread(target=self._admin.safe_start, name="admin", daemon=True).start()
        http = threading.Thread(target=self._serve_http, name="http", daemon=True)
        http.start()
        self._stop_requests.get()
        self._shut_down_http()
        http.join()
        self._finish_forwarded()
        self._permits.release()
        self._owner.stop()
        self._admin.stop()
        self._follower.stop()
        self._membership.stop()
        self._caller.close()
        self._data.close()
        self._control.close()
        if self._http_error:
            raise self._http_error

    def stop(self) -> None:
        """Asks ``run`` to shut down and return. Safe in a signal handler, which must not wait.

        cheroot's ``stop`` waits for the serving loop to end, so that a handler which calls it on
        the thread of that loop never returns.
        """
        self._stop_requests.put(None)

    def _serve_http(self) -> None:
        try:
            self._http.start()
        except Exception as exc:
            self._http_error = exc
        self.stop()

    def _shut_down_http(self) -> None:
        """Fails readiness, accepts until the load balancers know, then finishes what runs."""
        self._entry.drain()
        self._membership.leave()
        time.sleep(self._cfg.shutdown_accept_s)
        self._http.stop()

    def _finish_forwarded(self) -> None:
        """Refuses requests that other VMs still forward here and finishes those that run."""
        with self._forwarded:
            self._refusing = True
            self._forwarded.wait_for(lambda: not self._forwarded_now)
        time.sleep(REFUSE_S)

    def _on_data(self, msg: messages.Message) -> messages.Message:
        with self._forwarded:
            if self._refusing and isinstance(msg, messages.Forward):
                return dispatch.reply_to(msg, _refuse_leaving)
            self._forwarded_now += 1
        try:
            return self._deliverer.handle(msg)
        finally:
            with self._forwarded:
                self._forwarded_now -= 1
                self._forwarded.notify_all()

    def _on_vms(self, vms: tuple[models.Vm, ...]) -> None:
        self._caller.retain(f"{vm.address}:{self._cfg.data_port}" for vm in vms)
        self._owner.apply_ranks(self._rank)

    def _on_list(self, found: vmlist.VmList) -> None:
        self._permits.on_list(found.vms)

    def _rank(self, key: owner.ShardKey) -> int | None:
        return self._dispatcher.rank(key.pool, key.shard)

    def _is_watcher(self) -> bool:
        watchers = placement.watchers(self._vm.region, self._membership.usable())
        return any(vm.id == self._vm.id for vm in watchers)

    def _ready(self) -> bool:
        return self._follower.tables is not None and not self._entry.draining

    def _status(self) -> dict:
        tables = self._follower.tables
        return {
            "vm": self._vm.id,
            "ready": self._ready(),
            "revision": tables.revision if tables else 0,
            "usable_vms": [vm.id for vm in self._membership.usable()],
            "neighbours": [vm.id for vm in self._membership.neighbours()],
            "owner": self._owner.status().result(STATUS_TIMEOUT_S),
        }

    def _add_gauges(self) -> None:
        revision = "Revision of the configuration in force"
        self._metrics.add_gauge("revision", revision, self._revision)
        usable = "VMs that this VM can give work to"
        self._metrics.add_gauge("usable_vms", usable, lambda: len(self._membership.usable()))

    def _revision(self) -> int:
        tables = self._follower.tables
        return tables.revision if tables else 0

    def _on_burn_query(self, msg: messages.BurnQuery) -> messages.BurnReply:
        return messages.BurnReply(self._counters.totals(time.time()))


def _refuse_leaving(msg: messages.Forward) -> messages.Forwarded:
    raise errors.WrongOwnerError("the VM is shutting down")
