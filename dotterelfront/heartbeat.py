"""The membership task: polls the platform's list of VMs and exchanges heartbeats with neighbours.

It owns a ``membership.Membership``. Other tasks report events to it and read immutable snapshots::

    task = MembershipTask(vm, incarnation, channel, platform_url)
    task.start()
    task.usable()                        # snapshot of the VMs that may be assigned work
    task.report_call_failed(vm_id)
"""

import concurrent.futures
import contextlib
import queue
import random
import threading
from collections.abc import Callable

from dotterelfront import (
    clock,
    control,
    errors,
    logs,
    membership,
    messages,
    models,
    placement,
    vmlist,
)

MAX_CONCURRENT_CALLS = 8
CALL_TIMEOUT_S = 0.8
MAX_PROBES = 4
"""Maximum number of suspects probed per interval. The limit keeps the loss of a zone from
multiplying the heartbeats."""
LIST_REQUESTS_PER_S = 320
"""Rate at which the whole fleet requests the platform's list; determines the poll interval of each
VM."""
MIN_LIST_POLL_INTERVAL_S = 1.0


def list_poll_interval_s(vm_count: int) -> float:
    """Returns the poll interval of the platform's list: 1 s for small fleets, 5 s for 1,600 VMs."""
    return max(MIN_LIST_POLL_INTERVAL_S, vm_count / LIST_REQUESTS_PER_S)


class MembershipTask:
    """Runs the view of the fleet on one thread.

    Calls run on a small thread pool and pass their results to that thread through a queue.
    """

    def __init__(
        self,
        vm: models.Vm,
        incarnation: models.Incarnation,
        channel: control.ControlChannel,
        platform_url: str,
        on_change: Callable[[tuple[models.Vm, ...]], None] = lambda vms: None,
        on_list: Callable[[vmlist.VmList], None] = lambda vm_list: None,
        on_leaving_servers: Callable[[tuple[models.ServerId, ...]], None] = lambda servers: None,
        now: Callable[[], float] = clock.now,
        rng: random.Random | None = None,
    ):
        self._now = now
        self._rng = rng or random.Random()
        self._channel = channel
        self._platform = vmlist.PlatformClient(platform_url)
        self._view = membership.Membership(vm, incarnation, now())
        self._on_change = on_change
        self._on_list = on_list
        self._on_leaving_servers = on_leaving_servers
        self._last_list = vmlist.VmList(())
        self._leaving_servers: tuple[models.ServerId, ...] = ()
        self._mailbox: queue.SimpleQueue = queue.SimpleQueue()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            MAX_CONCURRENT_CALLS, thread_name_prefix="heartbeat"
        )
        self._usable = self._view.usable()
        self._listed = self._view.listed()
        self._neighbours: tuple[models.Vm, ...] = ()
        self._published_version = -1
        self._thread = threading.Thread(target=self._run, name="membership", daemon=True)
        channel.register(messages.Heartbeat, self._on_heartbeat)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._mailbox.put(None)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def usable(self) -> tuple[models.Vm, ...]:
        """Returns a snapshot of the VMs that may be assigned work, this one included."""
        return self._usable

    def neighbours(self) -> tuple[models.Vm, ...]:
        """Returns a snapshot of the neighbours in the current view."""
        return self._neighbours

    def listed(self) -> tuple[models.Vm, ...]:
        """Returns all VMs of the platform's list, including unreachable ones."""
        return self._listed

    def incarnation_of(self, vm_id: models.VmId) -> models.Incarnation:
        """Returns the newest known incarnation of a VM, 0 when none is known."""
        return self._view.incarnation_of(vm_id)

    def unlisted_s(self, vm_id: models.VmId) -> float:
        """Returns for how many seconds a VM has been missing from the platform's list."""
        self._mailbox.put(lambda now: self._view.track_absence(vm_id, now))
        return self._view.unlisted_s(vm_id, self._now())

    def leave(self) -> None:
        """Marks this VM as leaving and notifies the neighbours at once."""

        def action(now: float) -> None:
            self._view.leaving = True
            self._view.tick(now)
            self._send_heartbeats(now)

        self._mailbox.put(action)

    def report_call_failed(self, vm_id: models.VmId) -> None:
        """Records that a call to a VM was not sent or got no reply, and probes the VM at once."""

        def action(now: float) -> None:
            self._view.on_call_failed(vm_id, now)
            for vm in self._view.listed():
                if vm.id == vm_id:
                    self._start_heartbeat(vm)

        self._mailbox.put(action)

    def report_leaving(self, vm_id: models.VmId, incarnation: models.Incarnation) -> None:
        """Records that a VM announced in a reply that it is leaving."""
        self._mailbox.put(lambda now: self._view.on_reached(vm_id, incarnation, True, now))

    def _run(self) -> None:
        next_heartbeat = next_list_poll = self._now()
        while True:
            timeout_s = max(0.0, min(next_heartbeat, next_list_poll) - self._now())
            with contextlib.suppress(queue.Empty):
                action = self._mailbox.get(timeout=timeout_s)
                if action is None:
                    return
                action(self._now())
            now = self._now()
            if now >= next_list_poll:
                next_list_poll = now + self._jittered(
                    list_poll_interval_s(len(self._view.listed()))
                )
                self._submit(self._fetch_list)
            if now >= next_heartbeat:
                next_heartbeat = now + self._jittered(membership.HEARTBEAT_INTERVAL_S)
                self._view.tick(now)
                self._send_heartbeats(now)
            self._publish()

    def _publish(self) -> None:
        if self._view.version == self._published_version:
            return
        self._published_version = self._view.version
        previous, self._usable = self._usable, self._view.usable()
        self._neighbours = placement.neighbours(self._view.self_vm, self._usable)
        if len(previous) != len(self._usable):
            usable, listed = len(self._usable), len(self._view.listed())
            logs.event("usable VMs changed", usable=usable, listed=listed)
        self._on_change(self._usable)

    def _jittered(self, interval_s: float) -> float:
        return interval_s * self._rng.uniform(0.8, 1.2)

    def _send_heartbeats(self, now: float) -> None:
        suspects = list(self._view.suspects(now))
        probes = self._rng.sample(suspects, min(MAX_PROBES, len(suspects)))
        targets = {vm.id: vm for vm in (*self._neighbours, *probes)}
        for vm in targets.values():
            self._start_heartbeat(vm)

    def _start_heartbeat(self, vm: models.Vm) -> None:
        message = self._make_heartbeat(self._now())
        self._submit(lambda: self._call_and_record(vm, message))

    def _submit(self, job: Callable[[], None]) -> None:
        with contextlib.suppress(RuntimeError):  # the executor is shut down
            self._executor.submit(job)

    def _make_heartbeat(self, now: float) -> messages.Heartbeat:
        return messages.Heartbeat(
            self._view.self_vm.id,
            self._view.incarnation,
            self._view.leaving,
            self._view.unreachable(now),
        )

    def _call_and_record(self, vm: models.Vm, message: messages.Heartbeat) -> None:
        try:
            reply = self._channel.call(vm, message, CALL_TIMEOUT_S)
        except errors.PeerLimitError:
            return
        except errors.DotterelfrontError as exc:
            not_sent = isinstance(exc, errors.PeerNotSentError)
            self._mailbox.put(lambda now: self._view.on_call_failed(vm.id, now, not_sent))
            return
        if isinstance(reply, messages.HeartbeatReply) and reply.sender == vm.id:
            self._mailbox.put(
                lambda now: self._view.on_reached(vm.id, reply.incarnation, reply.leaving, now)
            )

    def _on_heartbeat(self, msg: messages.Heartbeat) -> messages.HeartbeatReply:
        self._mailbox.put(
            lambda now: self._view.on_heartbeat(
                msg.sender, msg.incarnation, msg.leaving, msg.unreachable, now
            )
        )
        view = self._view
        return messages.HeartbeatReply(view.self_vm.id, view.incarnation, view.leaving)

    def _fetch_list(self) -> None:
        """Fetches the lists of VMs and of leaving servers.

        An unchanged list of VMs is passed on as well, because that resets the age of the list.
        """
        with contextlib.suppress(errors.StoreError):
            self._last_list = vm_list = self._platform.fetch() or self._last_list
            self._mailbox.put(lambda now: self._apply_list(vm_list, now))
            self._on_list(vm_list)
        with contextlib.suppress(errors.StoreError):
            leaving = self._platform.fetch_leaving_servers()
            if leaving != self._leaving_servers:
                self._leaving_servers = leaving
                self._on_leaving_servers(leaving)

    def _apply_list(self, vm_list: vmlist.VmList, now: float) -> None:
        self._view.on_list(vm_list.vms, now)
        self._listed = self._view.listed()
