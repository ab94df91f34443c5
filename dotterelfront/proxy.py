"""The proxy process of one VM: creates its tasks and connects them.

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
    clock,
    config_follower,
    control,
    delivery,
    dispatch,
    entry,
    errors,
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
FORWARD_REFUSAL_S = 0.5
"""Time for which forwarded requests are refused before the sockets close. A request that is read
from its socket gets a reply; one that is unread when the socket closes has an unknown outcome."""
DATA_LIMIT_BYTES = 8_000_000
"""Maximum size of a message between VMs that carries a request or its reply."""
STATUS_TIMEOUT_S = 1.0
"""Time that the status page waits for the owner task."""


class Proxy:
    """Runs all tasks of one VM. ``run`` blocks until ``stop`` is called."""

    def __init__(self, cfg: settings.Settings):
        self._cfg = cfg
        self._tls = peers.TlsFiles(**cfg.tls.model_dump()) if cfg.tls else None
        self._vm = models.Vm(cfg.vm_id, cfg.address, cfg.zone, cfg.region)
        incarnation = models.Incarnation(int(time.time() * 1000))
        self._identity = dispatch.Identity(self._vm, incarnation)
        self._metrics = metrics.Metrics(cfg.vm_id)
        self._counters = burn.RouteCounters()
        self._stop_requests: queue.SimpleQueue = queue.SimpleQueue()
        self._calls_changed = threading.Condition()
        self._active_calls = 0
        self._refusing_forwards = False
        self._http_error: Exception | None = None
        self._control = control.ControlChannel(self._vm, cfg.control_port, self._tls)
        self._control.register(messages.BurnQuery, self._on_burn_query)
        self._caller = peers.Caller(DATA_LIMIT_BYTES, self._tls)
        self._owner = owner.OwnerTask()
        self._make_platform_tasks()
        self._make_data_path()
        self._make_http()
        self._add_gauges()

    def _make_platform_tasks(self) -> None:
        """Creates the tasks for membership, configuration and permits."""
        cfg = self._cfg
        self._membership = heartbeat.MembershipTask(
            self._vm,
            self._identity.incarnation,
            self._control,
            cfg.platform_url,
            on_change=self._on_vms_changed,
            on_list=self._on_vm_list,
            on_leaving_servers=self._owner.set_leaving,
        )
        self._follower = config_follower.ConfigFollower(
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
        """Creates the components that handle a request between the entry and the server."""
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
            on_call_failed=self._membership.report_call_failed,
        )
        claim_store = store.StoreClient(cfg.store_url, CLAIM_TIMEOUT_S)
        self._deliverer = delivery.Deliverer(
            self._identity,
            self._dispatcher,
            vms=self._membership.usable,
            caller=self._caller,
            data_port=cfg.data_port,
            key_claims=claims.Claims(claim_store, time.time, clock.now),
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
        page_by_path = admin.pages(self._ready, self._status, self._metrics.prometheus_text)
        self._admin = admin.make_server(cfg.address, cfg.admin_port, page_by_path)

    def run(self) -> None:
        """Serves until ``stop`` is called, then shuts down without interrupting a request."""
        self._follower.register()
        self._owner.start()
        self._deliverer.start()
        self._data.start()
        self._control.start()
        self._membership.start()
        self._follower.start()
        threading.Thread(target=self._admin.safe_start, name="admin", daemon=True).start()
        http = threading.Thread(target=self._serve_http, name="http", daemon=True)
        http.start()
        self._stop_requests.get()
        self._shut_down_http()
        http.join()
        self._finish_peer_calls()
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
        """Makes ``run`` shut down and return. Does not block, so that signal handlers may call it.

        cheroot's ``stop`` waits for the serving loop to end. A signal handler that called it on the
        thread of that loop would never return.
        """
        self._stop_requests.put(None)

    def _serve_http(self) -> None:
        try:
            self._http.start()
        except Exception as exc:
            self._http_error = exc
        self.stop()

    def _shut_down_http(self) -> None:
        """Stops the HTTP server without interrupting a request.

        Readiness fails first. New connections are accepted for another ``shutdown_accept_s``, until
        the load balancers have noticed; then the requests in flight finish.
        """
        self._entry.drain()
        self._membership.leave()
        time.sleep(self._cfg.shutdown_accept_s)
        self._http.stop()

    def _finish_peer_calls(self) -> None:
        """Refuses requests that other VMs still forward here and waits for those in progress."""
        with self._calls_changed:
            self._refusing_forwards = True
            self._calls_changed.wait_for(lambda: not self._active_calls)
        time.sleep(FORWARD_REFUSAL_S)

    def _on_data(self, msg: messages.Message) -> messages.Message:
        with self._calls_changed:
            if self._refusing_forwards and isinstance(msg, messages.Forward):
                return dispatch.reply_to(msg, _refuse_shutting_down)
            self._active_calls += 1
        try:
            return self._deliverer.handle(msg)
        finally:
            with self._calls_changed:
                self._active_calls -= 1
                self._calls_changed.notify_all()

    def _on_vms_changed(self, vms: tuple[models.Vm, ...]) -> None:
        self._caller.retain(f"{vm.address}:{self._cfg.data_port}" for vm in vms)
        self._owner.apply_ranks(self._rank)

    def _on_vm_list(self, vm_list: vmlist.VmList) -> None:
        self._permits.on_list(vm_list.vms)

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
        revision_help = "Revision of the configuration in force"
        self._metrics.add_gauge("revision", revision_help, self._revision)
        usable_help = "VMs that this VM can forward requests to"
        self._metrics.add_gauge("usable_vms", usable_help, lambda: len(self._membership.usable()))

    def _revision(self) -> int:
        tables = self._follower.tables
        return tables.revision if tables else 0

    def _on_burn_query(self, msg: messages.BurnQuery) -> messages.BurnReply:
        return messages.BurnReply(self._counters.totals(time.time()))


def _refuse_shutting_down(msg: messages.Forward) -> messages.Forwarded:
    raise errors.WrongOwnerError("the VM is shutting down")
