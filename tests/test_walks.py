"""The walks of docs/OPERATIONS.md: the lines that the modules write lead to the cause."""

import asyncio
import io

import pytest

from dotterelfront import explain, gateway, logs, relay
from tests import test_relay


def walk(steps, monkeypatch, grants=99, **config):
    """Plays a request and returns the answer and the steps that ``explain`` shows for it."""
    out = io.StringIO()
    monkeypatch.setattr(logs.sys, "stderr", out)
    logs.configure(logs.LogFormat.JSON, "vm-1")
    servers = test_relay.Servers([test_relay.STEPS[step] for step in steps])

    async def play():
        slots = test_relay.Slots(grants)
        subject = relay.Relay(slots, test_relay.instance, servers)
        subject.configure(test_relay.configuration(**config))
        call = test_relay.make_call(arrived=asyncio.get_running_loop().time())
        return await gateway.answered(subject.handle, call)

    answer = asyncio.run(play())
    return answer, explain.steps(out.getvalue().splitlines(), "a")


@pytest.fixture(autouse=True)
def text_logs():
    yield
    logs.configure(logs.LogFormat.TEXT)


def test_an_order_refused_at_the_crest(monkeypatch):
    """Guards against a refusal whose log does not show that no server ran the order."""
    answer, found = walk(["not run", "not run"], monkeypatch)
    assert answer.status == 503
    assert [step.fields.get("verdict") for step in found] == ["not-run", "not-run", None]
    assert found[-1].fields["outcome"] == "not-run"
    assert found[0].fields["server"] != found[1].fields["server"]


def test_a_refund_whose_outcome_is_unknown(monkeypatch):
    """Guards against an unknown outcome whose log does not name the server to ask."""
    answer, found = walk(["broken"], monkeypatch)
    assert answer.status == 502
    assert (found[0].fields["verdict"], found[0].fields["server"]) == ("lost", "i-1")
    assert found[-1].fields["outcome"] == "unknown"


def test_a_look_up_that_came_late_through_a_gray_server(monkeypatch):
    """Guards against a late answer that leaves no trace of the server that failed first."""
    answer, found = walk(["failure", "answer"], monkeypatch, idempotent=True)
    assert answer.status == 200
    [step] = found
    assert (step.fields["verdict"], step.fields["server"]) == ("failed", "i-1")


def test_an_answered_request_writes_nothing(monkeypatch):
    """Guards against logs that grow with the load."""
    assert walk(["answer"], monkeypatch)[1] == []
