"""Observations of a soak, and the safety rules that they must satisfy.

``violations`` is pure::

    observations = Observations()
    observations.runs["id-1"].append(Run(server="i-1", started_at=1.0, path="/orders/1"))
    observations.results["id-1"] = Result(kind="unsafe", path="/orders/1", sent_at=0.9, status=503)
    violations(observations)    # ["id-1: reported as not executed (503), ran on i-1"]
"""

import collections
import dataclasses

NOT_EXECUTED_STATUSES = frozenset([408, 421, 429, 503])
DRAIN_DEADLINE_S = 2.0
"""A server must not get requests later than this after its record says that it drains."""
LOSS_SLACK_S = 0.2
"""A request on an open connection that ends within this time may have crossed its close."""
PAUSE_SLACK_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
"""Requests of one VM that may reach a server from ``PAUSE_SLACK_S`` after it asked for a pause."""
APPLY_DEADLINE_S = 2.0
"""All VMs must use a configuration within this time after the store acknowledged it."""


@dataclasses.dataclass
class Run:
    """One request whose execution a server started."""

    server: str
    started_at: float
    path: str


@dataclasses.dataclass
class Arrival:
    """One request that reached a server; ``born`` identifies the start of the server."""

    server: str
    born: int
    at: float


@dataclasses.dataclass
class Pause:
    """A server's answer that turned a request away and asked its VM to send nothing for a time."""

    arrival: Arrival
    request_id: str
    duration_s: float


@dataclasses.dataclass
class Result:
    """Result of a caller's request; ``status`` 0 means a failed connection or a timeout."""

    kind: str
    path: str
    sent_at: float
    status: int = 0
    is_correct: bool = True
    """Whether a 2xx response had the complete body and the signature for this request."""
    was_cut: bool = False
    """Whether the connection ended after the request was sent, without a complete response."""
    ended_at: float = 0.0
    """Time at which the connection ended, if ``was_cut``."""
    vm: str = ""
    is_reused: bool = False
    """Whether the request was sent on a connection that was open before."""


@dataclasses.dataclass
class Observations:
    """Everything that callers, servers and the operator observed. All times are of one clock."""

    runs: dict[str, list[Run]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    results: dict[str, Result] = dataclasses.field(default_factory=dict)
    arrivals: dict[str, list[Arrival]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    pauses: list[Pause] = dataclasses.field(default_factory=list)
    leaving_answers: dict[tuple[str, str, int], float] = dataclasses.field(default_factory=dict)
    """Time at which a VM first passed on that a server leaves, by VM, server and start."""
    vm_faults: list[tuple[str, float, float]] = dataclasses.field(default_factory=list)
    """VM, start and end of each fault after which a VM need not know what servers told it."""
    leaving_since: dict[str, float] = dataclasses.field(default_factory=dict)
    """Time at which the store acknowledged that a server drains, by server."""
    routes_added_at: dict[str, float] = dataclasses.field(default_factory=dict)
    """Time at which the store acknowledged a new route, by path prefix."""
    fault_windows: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    """Spans in which time bounds are not checked: from a fault to a few seconds after its end."""
    stop_windows: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    """Spans of planned stops of VMs, in which no request may be cut off."""
    own_exits: list[str] = dataclasses.field(default_factory=list)
    """VMs whose process ended by itself, with its exit code."""


def violations(observations: Observations) -> list[str]:
    """Returns one line for each violation of a rule."""
    lines = []
    for request_id, result in sorted(observations.results.items()):
        runs = observations.runs.get(request_id, [])
        servers = ", ".join(run.server for run in runs)
        if result.kind == "unsafe" and len(runs) > 1:
            lines.append(f"{request_id}: ran {len(runs)} times, on {servers}")
        if result.kind == "unsafe" and result.status in NOT_EXECUTED_STATUSES and runs:
            lines.append(
                f"{request_id}: reported as not executed ({result.status}), ran on {servers}"
            )
        if not result.is_correct:
            lines.append(f"{request_id}: success with a wrong or incomplete response")
        if 200 <= result.status < 300 and not runs:
            lines.append(f"{request_id}: success without an execution")
        if (
            result.was_cut
            and _is_in_planned_stop(observations, result)
            and not _crossed_close(observations, request_id, result)
        ):
            lines.append(f"{request_id}: cut off in a planned stop")
        if _is_wrong_404(observations, result):
            lines.append(f"{request_id}: 404 on {result.path}, although its route is configured")
    for request_id in sorted(observations.runs.keys() - observations.results.keys()):
        lines.append(f"{request_id}: ran, but no caller sent it")
    lines += [f"{exit_}: process ended by itself" for exit_ in observations.own_exits]
    lines += _runs_after_drain(observations)
    lines += _arrivals_after_leaving_answer(observations)
    lines += _arrivals_in_pauses(observations)
    return lines


def _runs_after_drain(observations: Observations) -> list[str]:
    lines = []
    for request_id, runs in sorted(observations.runs.items()):
        for run in runs:
            since = observations.leaving_since.get(run.server)
            if (
                since is not None
                and run.started_at > since + DRAIN_DEADLINE_S
                and _is_undisturbed(observations, since, run.started_at)
            ):
                lines.append(
                    f"{request_id}: ran on {run.server} {run.started_at - since:.1f} s into drain"
                )
    return lines


def _arrivals_after_leaving_answer(observations: Observations) -> list[str]:
    lines = []
    for request_id, arrivals in sorted(observations.arrivals.items()):
        result = observations.results.get(request_id)
        for arrival in arrivals if result else ():
            key = (result.vm, arrival.server, arrival.born)
            since = observations.leaving_answers.get(key)
            if (
                since is not None
                and result.sent_at > since + DRAIN_DEADLINE_S
                and not _has_vm_fault(observations, result.vm, since, arrival.at)
            ):
                lines.append(
                    f"{request_id}: reached {arrival.server} from {result.vm}, sent "
                    f"{result.sent_at - since:.1f} s after its leaving answer"
                )
    return lines


def _arrivals_in_pauses(observations: Observations) -> list[str]:
    lines = []
    for pause in observations.pauses:
        vm, start = _vm_of(observations, pause.request_id), pause.arrival.at
        end = start + pause.duration_s
        reached = [
            request_id
            for request_id, arrivals in sorted(observations.arrivals.items())
            for arrival in arrivals
            if (arrival.server, arrival.born) == (pause.arrival.server, pause.arrival.born)
            and start + PAUSE_SLACK_S < arrival.at < end
            and _vm_of(observations, request_id) == vm
        ]
        if len(reached) > MAX_REQUESTS_IN_PAUSE and not _has_vm_fault(observations, vm, start, end):
            lines.append(
                f"{pause.arrival.server}: {len(reached)} requests from {vm} in a pause: {reached}"
            )
    return lines


def _vm_of(observations: Observations, request_id: str) -> str | None:
    result = observations.results.get(request_id)
    return result.vm if result else None


def _has_vm_fault(observations: Observations, vm: str | None, start: float, end: float) -> bool:
    return any(
        name == vm and fault_start <= end and fault_end >= start
        for name, fault_start, fault_end in observations.vm_faults
    )


def _is_wrong_404(observations: Observations, result: Result) -> bool:
    added_at = observations.routes_added_at.get(result.path.rpartition("/")[0] + "/")
    if result.status != 404 or added_at is None or result.sent_at < added_at + APPLY_DEADLINE_S:
        return False
    return _is_undisturbed(observations, added_at, result.sent_at)


def _is_in_planned_stop(observations: Observations, result: Result) -> bool:
    return _is_undisturbed(observations, result.sent_at, result.ended_at) and any(
        start <= result.sent_at <= end for start, end in observations.stop_windows
    )


def _crossed_close(observations: Observations, request_id: str, result: Result) -> bool:
    """Whether a VM closed an open connection while the request was on its way to it."""
    is_prompt = result.ended_at - result.sent_at <= LOSS_SLACK_S
    return result.is_reused and is_prompt and request_id not in observations.arrivals


def _is_undisturbed(observations: Observations, start: float, end: float) -> bool:
    return not any(
        window_start <= end and window_end > start
        for window_start, window_end in observations.fault_windows
    )
