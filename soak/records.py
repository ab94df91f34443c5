"""What a soak saw, and the safety rules that it must satisfy.

``violations`` is pure::

    seen = Seen()
    seen.runs["id-1"].append(Run(server="i-1", at=1.0))
    seen.results["id-1"] = Result(kind="unsafe", status=503)
    violations(seen)    # ["id-1: told not run, ran on i-1"]
"""

import collections
import dataclasses

NOT_RUN = frozenset([408, 421, 429, 503])
DRAIN_S = 2.0
"""A server gets nothing more this long after its record says that it leaves."""
APPLY_S = 2.0
"""A configuration is in force everywhere this long after the store took it."""


@dataclasses.dataclass
class Run:
    """One request that a server began to work on."""

    server: str
    at: float
    path: str


@dataclasses.dataclass
class Result:
    """How a caller's attempt ended; ``status`` 0 means that the connection ended."""

    kind: str
    path: str
    sent: float
    status: int = 0
    own: bool = True
    """Whether a success was the whole body for this request, with a signature."""


@dataclasses.dataclass
class Seen:
    """Everything that clients, servers and the operator saw. Times are of one clock."""

    runs: dict[str, list[Run]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    results: dict[str, Result] = dataclasses.field(default_factory=dict)
    leaving: dict[str, float] = dataclasses.field(default_factory=dict)
    """When the store took the news that a server leaves, while the store and all VMs were well."""
    added: dict[str, float] = dataclasses.field(default_factory=dict)
    """When the store took a route by prefix, while the store and all VMs were well."""
    unwell: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    """Spans in which time bounds do not hold: from a fault to a few seconds after its end."""


def violations(seen: Seen) -> list[str]:
    """Returns one line for each broken rule."""
    found = []
    for request, result in sorted(seen.results.items()):
        runs = seen.runs.get(request, [])
        servers = ", ".join(run.server for run in runs)
        if result.kind == "unsafe" and len(runs) > 1:
            found.append(f"{request}: ran {len(runs)} times, on {servers}")
        if result.kind == "unsafe" and result.status in NOT_RUN and runs:
            found.append(f"{request}: told not run ({result.status}), ran on {servers}")
        if not result.own:
            found.append(f"{request}: success that is not the server's whole answer")
        if 200 <= result.status < 300 and not runs:
            found.append(f"{request}: success without a run")
        if _denied(seen, result):
            found.append(f"{request}: 404 on {result.path}, which is configured")
    for request in sorted(seen.runs.keys() - seen.results.keys()):
        found.append(f"{request}: ran, no caller sent it")
    found += _late_runs(seen)
    return found


def _late_runs(seen: Seen) -> list[str]:
    found = []
    for request, runs in sorted(seen.runs.items()):
        for run in runs:
            since = seen.leaving.get(run.server)
            if since is not None and run.at > since + DRAIN_S and _well(seen, since, run.at):
                found.append(f"{request}: ran on {run.server} {run.at - since:.1f} s after it left")
    return found


def _denied(seen: Seen, result: Result) -> bool:
    added = seen.added.get(result.path.rpartition("/")[0] + "/")
    if result.status != 404 or added is None or result.sent < added + APPLY_S:
        return False
    return _well(seen, added, result.sent)


def _well(seen: Seen, start: float, end: float) -> bool:
    return not any(since < end and until > start for since, until in seen.unwell)
