"""Parsing and validation of the operators' files."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import errors, models, revisions, tables

NAMES = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=12)


@st.composite
def valid_tables(draw) -> models.Tables:
    """Generates arbitrary valid tables."""

    def draw_from(values):
        return draw(st.sampled_from(values))

    def server(address):
        state = draw_from(models.ServerState)
        return models.Server(address, draw(NAMES), draw(st.integers(1, 9)), state=state)

    pool_names = draw(st.lists(NAMES, min_size=1, max_size=4, unique=True))
    pools = []
    for index, name in enumerate(pool_names):
        addresses = [f"10.0.{index}.{number + 1}:8080" for number in range(draw_from([1, 2, 3]))]
        servers = tuple(map(server, addresses))
        warmup_s = draw(st.floats(0, 100))
        pools.append(
            models.Pool(name, servers, draw_from([0, 1]), draw_from(models.Sensitivity), warmup_s)
        )
    route_names = draw(st.lists(NAMES, max_size=5, unique=True))
    routes = [
        models.Route(
            name,
            f"/{index}",
            draw_from(pool_names),
            methods=draw_from([(), ("GET",), ("GET", "POST")]),
            idempotent=draw(st.booleans()),
            priority=draw_from(models.Priority),
            deadline_ms=draw(st.integers(1, 10_000)),
            objective=draw(st.floats(0, 1)),
        )
        for index, name in enumerate(route_names)
    ]
    rated = st.sampled_from(route_names) if route_names else st.nothing()
    rates = st.dictionaries(rated, st.floats(0, 1_000))
    customer_names = draw(st.lists(NAMES, max_size=5, unique=True))
    customers = [models.Customer(name, draw(rates)) for name in customer_names]
    return tables.from_entries(models.Revision(0), routes, pools, customers)


@given(valid_tables())
def test_rendered_files_parse_to_the_same_tables(content):
    """Guards against tables that change when they are written to the operators' files and parsed
    again."""
    assert tables.parse(*tables.render(content)) == content


@given(valid_tables())
def test_canonical_form_is_reversible(content):
    """Guards against a VM that decodes other tables than the operator published."""
    chunks = revisions.split(content)
    root = revisions.decode_root(revisions.encode_root(revisions.make_root(1, chunks)))
    assert revisions.assemble(root, chunks) == msgspec.structs.replace(content, revision=1)


def test_all_problems_are_reported_at_once_with_their_lines():
    """Guards against reporting only the first problem, or a problem with the wrong line."""
    routes = """{ // comment with a "quote"
  "routes": [
    {"name": "a", "path_prefix": "/x", "pool": "nowhere"},
    {"name": "a", "path_prefix": "/y", "pool": "bins"},
    {"name": "c", "path_prefix": "/x",
     "methods": ["GET"], "pool": "bins",
     "colour": 1,
     "deadline_ms": "soon"},
    {"name": "d", "path_prefix": "/x", "methods": ["GET"], "pool": "bins"},
    {"name": "e", "path_prefix": "no", "pool": "bins", "pool": "bins"}
  ],
  "customers": [{"name": "acme", "rates": {"z": 1}}, 7],
  /* two
     lines */ "extra": []
}"""
    pools = """{"pools": [
  {"name": "bins", "floor": 9, "servers": [
    {"address": "10.0.0.1:80", "zone": "a", "slots": 3},
    {"address": "shop.example:80", "zone": "a", "slots": 1},
    {"address": "10.0.0.1:80", "zone": "a", "slots": 1}]},
  {"name": "late", "floor": 0, "servers": [
    {"address": "10.0.0.2:80", "slots": 0}]},
  {"name": "none", "floor": true, "servers": []}
]}"""
    with pytest.raises(errors.InvalidTablesError) as caught:
        tables.parse(routes, pools)
    reported = [
        f"{problem.file}:{problem.line} {problem.code}" for problem in caught.value.problems
    ]
    assert reported == [
        *("pools.json:2 FLOOR_ABOVE_CAPACITY", "pools.json:4 BAD_ADDRESS"),
        *("pools.json:5 DUPLICATE_SERVER", "pools.json:7 MISSING_KEY", "pools.json:7 ZERO_SLOTS"),
        *("pools.json:8 WRONG_TYPE", "routes.json:3 UNKNOWN_POOL", "routes.json:4 DUPLICATE_NAME"),
        *("routes.json:7 UNKNOWN_KEY", "routes.json:8 WRONG_TYPE"),
        *("routes.json:9 OVERLAPPING_ROUTES", "routes.json:10 BAD_VALUE"),
        *("routes.json:10 DUPLICATE_KEY", "routes.json:12 UNKNOWN_ROUTE"),
        *("routes.json:12 WRONG_TYPE", "routes.json:14 UNKNOWN_KEY"),
    ]


@given(st.text(max_size=40) | st.text("{}[]:,\"'1a \n", max_size=20))
def test_malformed_text_is_reported_as_problems(text):
    """Guards against an unexpected exception for a malformed file."""
    with pytest.raises(errors.InvalidTablesError) as caught:
        tables.parse(text, text)
    assert all(problem.line >= 1 and problem.code for problem in caught.value.problems)


@pytest.mark.parametrize(
    "address", ["10.0.0.256:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:99999", "[::1]", ":80", "a:b"]
)
def test_server_address_must_be_an_ip_address_and_port(address):
    """Guards against host names, which a VM would have to resolve, and ports out of range."""
    pool = models.Pool("p", (models.Server(address, "a", 1),), 0)
    problems = tables.check_tables(models.Tables(0, (), (pool,)))
    assert [problem.code for problem in problems] == ["BAD_ADDRESS"]
