"""Troubleshooting steps of docs/OPERATIONS.md: the log lines of a request lead to the cause."""

import asyncio
import io

import pytest

from dotterelfront import explain, gateway, logs, relay
from tests import test_relay


def trace(steps, monkeypatch, grants=99, **config):
    """Runs a request; returns its answer and the steps that ``explain`` extracts from the logs."""
    out = io.StringIO()
    monkeypatch.setattr(logs.sys, "stderr", out)
    logs.configure(logs.LogFormat.JSON, "vm-1")
    servers = test_relay.Servers([test_relay.STEPS[step] for step in steps])

    async def scenario():
        slots = test_relay.Slots(grants)
        subject = relay.Relay(slots, relay.Fleet(test_relay.instance), servers)
        subject.configure(test_relay.configuration(**config))
        call = test_relay.make_call(arrived=asyncio.get_running_loop().time())
        return await gateway.call_handler(subject.handle, call)

    answer = asyncio.run(scenario())
    return answer, explain.steps(out.getvalue().splitlines(), "a")


@pytest.fixture(autouse=True)
def text_logs():
    yield
    logs.configure(logs.LogFormat.TEXT)


def test_an_order_refused_under_overload(monkeypatch):
    """Guards against logs of a refusal that do not show that no server ran the order."""
    answer, logged = trace(["not run", "not run"], monkeypatch)
    assert answer.status == 503
    assert [step.fields.get("verdict") for step in logged] == ["not-run", "not-run", None]
    assert logged[-1].fields["outcome"] == "not-run"
    assert logged[0].fields["server"] != logged[1].fields["server"]


def test_a_refund_whose_outcome_is_unknown(monkeypatch):
    """Guards against logs of an unknown outcome that do not name the server to query."""
    answer, logged = trace(["broken"], monkeypatch)
    assert answer.status == 502
    assert (logged[0].fields["verdict"], logged[0].fields["server"]) == ("lost", "i-1")
    assert logged[-1].fields["outcome"] == "unknown"


def test_a_look_up_delayed_by_a_gray_server(monkeypatch):
    """Guards against a delayed answer without a log line about the server that failed first."""
    answer, logged = trace(["failure", "answer"], monkeypatch, idempotent=True)
    assert answer.status == 200
    [step] = logged
    assert (step.fields["verdict"], step.fields["server"]) == ("failed", "i-1")


def test_an_answered_request_is_not_logged(monkeypatch):
    """Guards against log volume that grows with the load."""
    assert trace(["answer"], monkeypatch)[1] == []
