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
APPLY_DEADLINE_S = 2.0
"""All VMs must use a configuration within this time after the store acknowledged it."""


@dataclasses.dataclass
class Run:
    """One request whose execution a server started."""

    server: str
    started_at: float
    path: str


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


@dataclasses.dataclass
class Observations:
    """Everything that callers, servers and the operator observed. All times are of one clock."""

    runs: dict[str, list[Run]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    results: dict[str, Result] = dataclasses.field(default_factory=dict)
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
        if result.was_cut and _is_in_planned_stop(observations, result):
            lines.append(f"{request_id}: cut off in a planned stop")
        if _is_wrong_404(observations, result):
            lines.append(f"{request_id}: 404 on {result.path}, although its route is configured")
    for request_id in sorted(observations.runs.keys() - observations.results.keys()):
        lines.append(f"{request_id}: ran, but no caller sent it")
    lines += [f"{exit_}: process ended by itself" for exit_ in observations.own_exits]
    lines += _runs_after_drain(observations)
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


def _is_wrong_404(observations: Observations, result: Result) -> bool:
    added_at = observations.routes_added_at.get(result.path.rpartition("/")[0] + "/")
    if result.status != 404 or added_at is None or result.sent_at < added_at + APPLY_DEADLINE_S:
        return False
    return _is_undisturbed(observations, added_at, result.sent_at)


def _is_in_planned_stop(observations: Observations, result: Result) -> bool:
    return _is_undisturbed(observations, result.sent_at, result.ended_at) and any(
        start <= result.sent_at <= end for start, end in observations.stop_windows
    )


def _is_undisturbed(observations: Observations, start: float, end: float) -> bool:
    return not any(
        window_start <= end and window_end > start
        for window_start, window_end in observations.fault_windows
    )
