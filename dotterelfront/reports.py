"""The service-level burn report: collected from all VMs, shown as a table, JSON or HTML.

A VM that did not respond is listed as missing, and the report does not include its requests.
"""

import base64
import html
import io
from collections.abc import Callable, Iterable

import msgspec

from dotterelfront import burn, errors, messages, models

CALL_TIMEOUT_S = 2.0
MAX_PLOTTED_ROUTES = 20
"""Keeps the bars readable. The table has all routes."""


class RouteReport(msgspec.Struct, frozen=True):
    """Report on one route.

    The tuples have one entry per window of ``burn.WINDOWS_S``, in that order.
    """

    route: models.RouteName
    objective: float
    tallies: tuple[burn.Tally, ...]
    burn_rates: tuple[float, ...]
    budget_left: float
    """Remaining share of the error budget of the longest window."""


class BurnReport(msgspec.Struct, frozen=True):
    """Report on the fleet; the route with the highest burn rate in the shortest window is first."""

    routes: tuple[RouteReport, ...]
    answered_vms: tuple[models.VmId, ...]
    missing_vms: tuple[models.VmId, ...]


Call = Callable[[models.Vm, messages.Message, float], messages.Message]


def gather(vms: Iterable[models.Vm], call: Call, objectives: dict[models.RouteName, float]):
    """Queries the totals of every VM and returns the ``BurnReport``."""
    vm_totals, answered, missing = [], [], []
    for vm in vms:
        try:
            reply = call(vm, messages.BurnQuery(), CALL_TIMEOUT_S)
        except errors.DotterelfrontError:
            reply = None
        if isinstance(reply, messages.BurnReply):
            answered.append(vm.id)
            vm_totals.append(reply.totals)
        else:
            missing.append(vm.id)
    return build(burn.merge(vm_totals), objectives, tuple(answered), tuple(missing))


def build(
    totals: burn.Totals,
    objectives: dict[models.RouteName, float],
    answered: tuple[models.VmId, ...],
    missing: tuple[models.VmId, ...],
) -> BurnReport:
    """Computes the report. It includes routes with an objective that have no requests."""
    routes = []
    for route, objective in objectives.items():
        windows = totals.get(route, {})
        tallies = tuple(windows.get(window, burn.Tally()) for window in burn.WINDOWS_S)
        rates = tuple(burn.burn_rate(tally, objective) for tally in tallies)
        remaining = burn.budget_left(tallies[-1], objective)
        routes.append(RouteReport(route, objective, tallies, rates, remaining))
    routes.sort(key=lambda row: (-row.burn_rates[0], row.route))
    return BurnReport(tuple(routes), answered, missing)


def _window_name(window_s: int) -> str:
    return f"{window_s // 60} min" if window_s < 3600 else f"{window_s // 3600} h"


HEADINGS = (
    "route",
    "objective",
    *(f"burn {_window_name(window)}" for window in burn.WINDOWS_S),
    "budget left",
    *(verdict.value for verdict in burn.Verdict),
)


def rows(report: BurnReport) -> list[tuple[str, ...]]:
    """Returns the table rows for ``HEADINGS``; the tallies are those of the longest window."""
    return [
        (
            row.route,
            f"{row.objective:.2%}",
            *(f"{rate:.2f}" for rate in row.burn_rates),
            f"{row.budget_left:.0%}",
            *(str(getattr(row.tallies[-1], verdict.value)) for verdict in burn.Verdict),
        )
        for row in report.routes
    ]


def as_text(report: BurnReport) -> str:
    """Returns the report as a table for a terminal."""
    table = [HEADINGS, *rows(report)]
    widths = [max(len(line[column]) for line in table) for column in range(len(HEADINGS))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in table
    ]
    return "\n".join([*lines, _coverage(report)])


def _coverage(report: BurnReport) -> str:
    text = f"{len(report.answered_vms)} VMs answered"
    if report.missing_vms:
        text += f", {len(report.missing_vms)} missing: {', '.join(report.missing_vms)}"
    return text


def as_html(report: BurnReport) -> str:
    """Returns the report as a self-contained HTML page with a plot."""
    head = "".join(f"<th>{html.escape(name)}</th>" for name in HEADINGS)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in line) + "</tr>"
        for line in rows(report)
    )
    image = base64.b64encode(plot_png(report)).decode()
    return (
        "<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'><title>Burn report</title>"
        "<style>body{font-family:sans-serif;margin:2em}td,th{padding:.3em .8em;text-align:right}"
        "td:first-child,th:first-child{text-align:left}tr:nth-child(even){background:#f2f2f2}"
        "</style></head><body><h1>Service-level burn report</h1>"
        f"<p>{html.escape(_coverage(report))}</p>"
        f"<img alt='Burn rates and outcomes per route' src='data:image/png;base64,{image}'>"
        f"<table><thead><tr>{head}</tr></thead><tbody>{body}</tbody></table></body></html>"
    )


def plot_png(report: BurnReport) -> bytes:
    """Returns a PNG plot of burn rates by window and shares by verdict; needs matplotlib."""
    import matplotlib.figure

    plotted = report.routes[:MAX_PLOTTED_ROUTES][::-1]
    fig = matplotlib.figure.Figure(
        figsize=(12, 1.8 + 0.5 * max(1, len(plotted))), layout="constrained"
    )
    rates_axes, shares_axes = fig.subplots(1, 2, sharey=True)
    _plot_rates(rates_axes, plotted)
    _plot_shares(shares_axes, plotted)
    buffer = io.BytesIO()
    fig.savefig(buffer, format="png", dpi=100)
    return buffer.getvalue()


def _plot_rates(axes, plotted: tuple[RouteReport, ...]) -> None:
    height = 0.8 / len(burn.WINDOWS_S)
    for index, window in enumerate(burn.WINDOWS_S):
        positions = [y + 0.4 - height * (index + 0.5) for y in range(len(plotted))]
        values = [row.burn_rates[index] for row in plotted]
        axes.barh(positions, values, height, label=_window_name(window))
    axes.axvline(1.0, color="black", linewidth=1, linestyle="--")
    axes.set_yticks(range(len(plotted)), [row.route for row in plotted])
    axes.set_xlabel("burn rate (1 exhausts the budget)")
    axes.legend(title="window")


_COLOURS = {
    burn.Verdict.GOOD: "#4c9f70",
    burn.Verdict.LATE: "#f0c808",
    burn.Verdict.REFUSED: "#f28e2b",
    burn.Verdict.FAILED: "#d1495b",
    burn.Verdict.UNKNOWN: "#5b2a86",
}


def _plot_shares(axes, plotted: tuple[RouteReport, ...]) -> None:
    bar_starts = [0.0] * len(plotted)
    for verdict in burn.Verdict:
        values = [
            100 * getattr(row.tallies[-1], verdict.value) / max(1, row.tallies[-1].total)
            for row in plotted
        ]
        axes.barh(
            range(len(plotted)),
            values,
            0.7,
            bar_starts,
            label=verdict.value,
            color=_COLOURS[verdict],
        )
        bar_starts = [start + value for start, value in zip(bar_starts, values, strict=True)]
    axes.set_xlabel(f"share of requests over {_window_name(burn.WINDOWS_S[-1])} (%)")
    axes.set_xlim(0, 100)
    axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0))
