"""The adapter: each form of the platform is read once, and what is spoiled is refused."""

import json

import pytest

from dotterelfront import errors, exchange, models
from dotterelfront.platform import boot, formats, records, wire

SERVER = {
    "addr": "10.128.0.9:8080",
    "info": {"service": "orders", "version": "v1", "zone": "a", "slots": 6},
    "status": {"state": "ready", "seq": 4, "warmup-left": "1500ms"},
    "born": 1700000000000,
}
ROUTE = {
    "host": "Shop.example",
    "prefix": "/x/",
    "kind": "unsafe",
    "timeout": "4s",
    "goal": "2000ms",
    "priority": 1,
    "service": "orders",
    "attempts": 2,
}
CONFIG = {
    "version": "r7",
    "routes": {"r-1": ROUTE},
    "services": {"orders": {"health-path": "/h", "max-conns": 330, "proto": "h1", "tls": False}},
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout": "3000ms",
        "idle-timeout": "15000ms",
    },
}


def changed(table, path, value):
    copy = json.loads(json.dumps(table))
    *parents, last = path
    place = copy
    for parent in parents:
        place = place[parent]
    if value is None:
        del place[last]
    else:
        place[last] = value
    return json.dumps(copy).encode()


def test_a_server_is_read():
    found = records.server("servers/i-1", json.dumps(SERVER).encode())
    assert (found.id, found.pool, found.slots, found.sequence) == ("i-1", "orders", 6, 4)
    assert (found.warmup_left_s, found.started_ms) == (1.5, 1700000000000)
    assert found.state is models.ServerState.ACTIVE


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (["addr"], None),
        (["addr"], 7),
        (["addr"], "nowhere"),
        (["info"], "orders"),
        (["info", "slots"], "6"),
        (["info", "slots"], 0),
        (["info", "service"], None),
        (["status", "state"], "resting"),
        (["status", "seq"], 1.5),
        (["status", "warmup-left"], "soon"),
        (["born"], "yesterday"),
    ],
)
def test_a_spoiled_server_is_refused(path, value):
    """Guards against work for a server that another writer made up."""
    with pytest.raises(errors.RecordError):
        records.server("servers/i-1", changed(SERVER, path, value))


@pytest.mark.parametrize("raw", [b"", b"\xff\xfe", b"[]", b"null", b'{"addr": "a"'])
def test_bytes_that_are_no_record_are_refused(raw):
    """Guards against an exception of a decoder that ends the task that follows the store."""
    with pytest.raises(errors.RecordError):
        records.server("servers/i-1", raw)
    with pytest.raises(errors.RecordError):
        records.configuration(raw)


def test_a_configuration_is_read():
    found = records.configuration(json.dumps(CONFIG).encode())
    route = found.routes[0]
    assert (found.revision, route.host, route.idempotent) == (7, "shop.example", False)
    assert (route.timeout_s, route.objective_s, route.attempts) == (4.0, 2.0, 2)
    assert found.idle_timeout_s == 15.0


def test_a_split_route_is_read():
    split = changed(
        CONFIG,
        ["routes", "r-1", "weighted-backends"],
        [{"service": "orders", "weight": 90}, {"service": "refunds", "weight": 10}],
    )
    parts = records.configuration(split).routes[0].parts
    assert [(part.pool, part.weight) for part in parts] == [("orders", 90), ("refunds", 10)]


def test_an_unknown_kind_may_not_repeat():
    """Guards against a repeated order when a kind is added that this version does not know."""
    raw = changed(CONFIG, ["routes", "r-1", "kind"], "sometimes")
    assert not records.configuration(raw).routes[0].idempotent


@pytest.mark.parametrize("text", ["r", "12", "r-1", "R12", "r1.0", 12, None])
def test_a_malformed_version_is_refused(text):
    with pytest.raises(errors.RecordError):
        formats.revision(text)


def test_settings_name_every_fault_with_the_file(tmp_path):
    """Guards against an operator who mends one fault at each start."""
    path = tmp_path / "settings.json"
    path.write_text('{"vm_id": "vm-1", "peer_port": "x", "limits": {"drain": "soon"}} // no more')
    with pytest.raises(errors.ConfigurationError) as caught:
        boot.load(str(path))
    lines = str(caught.value).splitlines()
    assert all(line.startswith(str(path)) for line in lines)
    assert {"address: missing", "zone: missing"} <= {line.split(": ", 1)[1] for line in lines}
    assert any("peer_port: Expected `int`" in line for line in lines)
    assert any("limits: 'soon'" in line for line in lines)


@pytest.mark.parametrize("text", ["{", "[]", "\xff"])
def test_a_file_that_is_no_table_is_refused(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(errors.ConfigurationError):
        boot.load(str(path))


def test_seeds_are_reached_at_the_port_between_vms(tmp_path):
    """Guards against a VM that asks itself, or the wrong port, while the store is away."""
    path = tmp_path / "settings.json"
    fields = dict.fromkeys(("vm_id", "zone", "region", "http_address", "ready_address"), "x")
    seeds = ["10.0.0.1:99", "10.0.0.2:99"]
    more = {"address": "10.0.0.1", "peer_port": 7, "store_address": "s:1", "seeds": seeds}
    path.write_text(json.dumps(fields | more))
    assert boot.load(str(path)).seed_peers() == ["10.0.0.2:7"]


def test_limits_are_read_and_unknown_ones_ignored():
    found = boot.bounds({"drain": "2500ms", "retry-ratio": "0.2", "retry-slack": 58, "new": True})
    assert (found.drain_s, found.retry_ratio, found.retry_slack) == (2.5, 0.2, 58.0)
    with pytest.raises(errors.RecordError):
        boot.bounds({"retry-ratio": "half"})


def test_a_server_gets_the_time_that_is_left_and_its_own_name():
    """Guards against a server that works on after its caller's time, or for another one's name."""
    pairs = [("Host", "x"), ("request-DEADLINE", "4000"), ("Target-Instance", "i-0")]
    sent = wire.to_server(pairs, "i-1", 1.9304)
    assert sent == [("Host", "x"), ("Request-Deadline", "1930"), ("Target-Instance", "i-1")]


@pytest.mark.parametrize(
    ("status", "fields", "expected"),
    [
        (503, {"not-executed": "1"}, True),
        (421, {}, True),
        (503, {}, False),
        (429, {}, False),
        (500, {"response-sig": "x"}, False),
    ],
)
def test_only_a_server_says_that_it_did_not_run_a_request(status, fields, expected):
    """Guards against an order that is sent again although it may have run."""
    assert wire.not_run(status, fields) is expected


def test_fields_of_the_request_id_are_lower_case():
    res = exchange.Response(200, (), {wire.REQUEST_ID: "a"}, b"")
    assert wire.belongs_to(res.fields, "a")
    assert not wire.belongs_to(res.fields, "b")


def test_a_reload_adopts_limits_and_keeps_addresses(tmp_path):
    """Guards against a VM that loses its identity, or keeps old limits, at a change."""
    path = tmp_path / "settings.json"
    fields = dict.fromkeys(("vm_id", "zone", "region", "http_address", "ready_address"), "x")
    fields |= {"address": "10.0.0.1", "peer_port": 7, "store_address": "s:1"}
    path.write_text(json.dumps(fields | {"limits": {"retry-ratio": 0.2}}))
    cfg = boot.load(str(path))
    path.write_text(json.dumps(fields | {"address": "10.0.0.2", "limits": {"retry-ratio": 0.1}}))
    found = boot.reloaded(cfg, str(path))
    assert (found.address, found.bounds.retry_ratio) == ("10.0.0.1", 0.1)
    path.write_text("{")
    with pytest.raises(errors.ConfigurationError):
        boot.reloaded(found, str(path))
