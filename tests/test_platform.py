"""Platform adapter: decodes records, settings and headers, and rejects malformed input."""

import json

import hypothesis
import pytest
from hypothesis import strategies as st

from dotterelfront import catalog, errors, exchange, fleetmodel, models
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


def modified(table, path, value):
    copy = json.loads(json.dumps(table))
    *parents, last = path
    parent = copy
    for name in parents:
        parent = parent[name]
    if value is None:
        del parent[last]
    else:
        parent[last] = value
    return json.dumps(copy).encode()


def test_server_record_is_decoded():
    instance = records.server("servers/i-1", json.dumps(SERVER).encode())
    assert (instance.id, instance.pool, instance.slots, instance.sequence) == (
        "i-1",
        "orders",
        6,
        4,
    )
    assert (instance.warmup_left_s, instance.started_ms) == (1.5, 1700000000000)
    assert instance.state is models.ServerState.ACTIVE


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (["addr"], None),
        (["addr"], 7),
        (["addr"], "nowhere"),
        (["addr"], "10.128.0.9:65536"),
        (["addr"], "10.128.0.9:0"),
        (["addr"], "server-9:8080"),
        (["info"], "orders"),
        (["info", "slots"], "6"),
        (["info", "slots"], 0),
        pytest.param(["info", "slots"], 10**400, id="slots-1e400"),
        (["info", "service"], None),
        (["status", "state"], "resting"),
        (["status", "seq"], 1.5),
        (["status", "warmup-left"], "soon"),
        pytest.param(["status", "warmup-left"], "9" * 400 + "s", id="warmup-1e400"),
        (["born"], "yesterday"),
    ],
)
def test_malformed_server_record_is_rejected(path, value):
    """Guards against requests to a server whose record another writer corrupted."""
    with pytest.raises(errors.RecordError):
        records.server("servers/i-1", modified(SERVER, path, value))


@pytest.mark.parametrize("server_id", ["", "i 1", "i-1\r\nX: y", "i-\u00e9"])
def test_server_id_that_no_header_can_carry_is_rejected(server_id):
    """Guards against a server whose requests all fail because its id cannot be sent."""
    with pytest.raises(errors.RecordError):
        records.server(f"servers/{server_id}", json.dumps(SERVER).encode())


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from([10**400, -(10**30), "9" * 5_000, "1e999", "127.0.0.1:99999"]),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=5,
)
SERVER_PATHS = [["addr"], ["info"], ["status"], ["born"]]
SERVER_PATHS += [["info", name] for name in SERVER["info"]]
SERVER_PATHS += [["status", name] for name in SERVER["status"]]


@hypothesis.given(path=st.sampled_from(SERVER_PATHS), value=JSON_VALUES)
def test_odd_values_in_a_server_record_never_raise_another_error(path, value):
    """Guards against one odd record that ends the processes of all VMs that read it."""
    try:
        instance = records.server("servers/i-1", modified(SERVER, path, value))
    except errors.RecordError:
        return
    assert 1 <= instance.slots <= records.MAX_SLOTS
    assert 0.0 <= instance.warmup_left_s < float("inf")


@pytest.mark.parametrize(
    ("key", "raw"),
    [
        ("servers/i-1", bytes(range(256)) * 4_096),
        ("servers/i-1", modified(SERVER, ["info", "zone"], "z" * 100_000)),
        ("other/key", b"{}"),
        ("dotterelfront/vms/vm-1", b"x" * 100_000),
    ],
)
def test_records_that_no_vm_reads_are_not_replicated(key, raw):
    """Guards against changes that wait while watchers send one large odd record to their zone."""
    compacted = records.compact(fleetmodel.Record(key, 7, raw))
    assert compacted == fleetmodel.Record(key, 7, b"")


def test_unknown_fields_of_a_large_server_record_are_not_replicated():
    """Guards against a server that is lost because another writer added fields to its record."""
    raw = modified(SERVER, ["notes"], "x" * 100_000)
    compacted = records.compact(fleetmodel.Record("servers/i-1", 7, raw))
    assert len(compacted.value) < records.MAX_RECORD_BYTES
    assert records.server("servers/i-1", compacted.value) == records.server("servers/i-1", raw)


@pytest.mark.parametrize("key", ["op/config", "servers/i-1", "dotterelfront/vms/vm-1"])
def test_records_of_usual_size_are_replicated_as_they_are(key):
    record = fleetmodel.Record(key, 7, json.dumps(SERVER).encode())
    assert records.compact(record) is record
    removed = fleetmodel.Record(key, 8, None)
    assert records.compact(removed) is removed


def test_one_deeply_nested_record_leaves_the_others_in_force():
    """Guards against a VM without servers because one record cannot be decoded."""
    nested = b'{"note": ' + b"[" * 40_000 + b"]" * 40_000 + b"}"
    changed = [
        fleetmodel.Record("servers/i-1", 1, json.dumps(SERVER).encode()),
        fleetmodel.Record("servers/i-2", 1, nested),
        fleetmodel.Record("servers/i-3", 1, json.dumps(SERVER).encode()),
    ]
    servers = catalog.Catalog(records.server)
    report = servers.update(changed, trusted=True, now=0.0)
    assert [instance.id for instance in servers.instances("orders")] == ["i-1", "i-3"]
    assert report.unreadable == ("servers/i-2",)


@pytest.mark.parametrize("raw", [b"", b"\xff\xfe", b"[]", b"null", b'{"addr": "a"'])
def test_bytes_that_are_not_a_record_are_rejected(raw):
    """Guards against a decoder exception that ends the task that follows the store."""
    with pytest.raises(errors.RecordError):
        records.server("servers/i-1", raw)
    with pytest.raises(errors.RecordError):
        records.configuration(raw)


def test_configuration_is_decoded():
    config = records.configuration(json.dumps(CONFIG).encode())
    route = config.routes[0]
    assert (config.revision, route.host, route.idempotent) == (7, "shop.example", False)
    assert (route.timeout_s, route.objective_s, route.attempts) == (4.0, 2.0, 2)
    assert config.idle_timeout_s == 15.0


def test_weighted_backends_of_a_route_are_decoded():
    raw = modified(
        CONFIG,
        ["routes", "r-1", "weighted-backends"],
        [{"service": "orders", "weight": 90}, {"service": "refunds", "weight": 10}],
    )
    weighted_pools = records.configuration(raw).routes[0].weighted_pools
    assert [(weighted_pool.pool, weighted_pool.weight) for weighted_pool in weighted_pools] == [
        ("orders", 90),
        ("refunds", 10),
    ]


@pytest.mark.parametrize("kind", ["safe", "download"])
def test_idempotent_kinds(kind):
    """Guards against downloads that fail because they are not repeated."""
    config = records.configuration(modified(CONFIG, ["routes", "r-1", "kind"], kind))
    assert config.routes[0].idempotent


def test_unknown_kind_of_request_is_not_idempotent():
    """Guards against retries of a non-idempotent request when the platform adds a kind."""
    raw = modified(CONFIG, ["routes", "r-1", "kind"], "sometimes")
    assert not records.configuration(raw).routes[0].idempotent


@pytest.mark.parametrize("text", ["r", "12", "r-1", "R12", "r1.0", 12, None])
def test_malformed_version_is_rejected(text):
    with pytest.raises(errors.RecordError):
        formats.revision(text)


def test_settings_error_lists_every_problem_with_the_file(tmp_path):
    """Guards against an operator who has to fix one problem per start."""
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
def test_file_that_is_not_an_object_is_rejected(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(errors.ConfigurationError):
        boot.load(str(path))


def test_seed_addresses_have_the_peer_port_and_leave_out_this_vm(tmp_path):
    """Guards against a VM that pulls from itself, or the wrong port, in a store outage."""
    path = tmp_path / "settings.json"
    fields = dict.fromkeys(("vm_id", "zone", "region", "http_address", "ready_address"), "x")
    seeds = ["10.0.0.1:99", "10.0.0.2:99"]
    addresses = {"address": "10.0.0.1", "peer_port": 7, "store_address": "s:1", "seeds": seeds}
    path.write_text(json.dumps(fields | addresses))
    assert boot.load(str(path)).seed_peers() == ["10.0.0.2:7"]


def test_limits_are_parsed_and_unknown_ones_ignored():
    limits = boot.parse_limits(
        {"drain": "2500ms", "apply": "3s", "retry-ratio": "0.2", "retry-slack": 58, "new": True}
    )
    assert (limits.drain_s, limits.apply_s) == (2.5, 3.0)
    assert (limits.retry_ratio, limits.retry_slack) == (0.2, 58.0)
    with pytest.raises(errors.RecordError):
        boot.parse_limits({"retry-ratio": "half"})


def test_request_to_a_server_has_its_id_and_the_remaining_time():
    """Guards against a server that works past the deadline, or on a request to another server."""
    pairs = [("Host", "x"), ("request-DEADLINE", "4000"), ("Target-Instance", "i-0")]
    sent = wire.server_request_headers(pairs, "i-1", 1.9304)
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
def test_only_explicit_responses_count_as_not_run(status, fields, expected):
    """Guards against a retry of a non-idempotent request that may have run."""
    assert wire.not_run(status, fields) is expected


def test_response_is_matched_by_request_id():
    """Guards against a caller that gets the response to another request."""
    res = exchange.Response(200, (), {wire.REQUEST_ID: "a"}, b"")
    assert wire.matches_request_id(res.fields, "a")
    assert not wire.matches_request_id(res.fields, "b")


def test_reload_adopts_limits_and_keeps_addresses(tmp_path):
    """Guards against a reload that changes a VM's identity or keeps the old limits."""
    path = tmp_path / "settings.json"
    fields = dict.fromkeys(("vm_id", "zone", "region", "http_address", "ready_address"), "x")
    fields |= {"address": "10.0.0.1", "peer_port": 7, "store_address": "s:1"}
    path.write_text(json.dumps(fields | {"limits": {"retry-ratio": 0.2}}))
    cfg = boot.load(str(path))
    path.write_text(json.dumps(fields | {"address": "10.0.0.2", "limits": {"retry-ratio": 0.1}}))
    reloaded_cfg = boot.reload_settings(cfg, str(path))
    assert (reloaded_cfg.address, reloaded_cfg.bounds.retry_ratio) == ("10.0.0.1", 0.1)
    path.write_text("{")
    with pytest.raises(errors.ConfigurationError):
        boot.reload_settings(reloaded_cfg, str(path))
