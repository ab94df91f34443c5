"""Tests of the burn report."""

from dotterelfront import burn, errors, messages, models, reports

STOCK = models.RouteName("stock")
VMS = [
    models.Vm(models.VmId(name), "10.0.0.1", models.ZoneName("z"), "r") for name in ("a", "b", "c")
]


def _report() -> reports.BurnReport:
    tally = burn.Tally(good=97, late=1, refused=1, unknown=1)
    totals = {STOCK: dict.fromkeys(burn.WINDOWS_S, tally)}

    def call(vm, message, timeout_s):
        if vm.id == "b":
            raise errors.PeerReplyLostError("b")
        return messages.BurnReply(totals)

    return reports.gather(VMS, call, {models.RouteName("orders"): 0.999, STOCK: 0.99})


def test_unresponsive_vm_is_listed_as_missing_and_not_counted():
    """Guards against a report that looks complete although a VM did not respond."""
    report = _report()
    assert report.missing_vms == ("b",)
    assert report.routes[0].route == STOCK
    assert report.routes[0].tallies[0].total == 200
    assert report.routes[0].burn_rates[0] > 2.9
    assert "missing: b" in reports.as_text(report)


def test_html_page_has_every_route_and_a_plot():
    """Guards against a page that omits routes without requests."""
    page = reports.as_html(_report())
    assert "orders" in page
    assert "data:image/png;base64," in page
