"""Parses and validates the operators' files.

The routes file has ``routes`` and, optionally, ``customers``; the pools file has ``pools``. Both
are JSON with comments. The fields of an entry are those of its struct in ``models``::

    {"routes": [{"name": "stock", "path_prefix": "/stock", "pool": "bins", "priority": "high"}],
     "customers": [{"name": "acme", "rates": {"stock": 5}}]}

    {"pools": [{"name": "bins", "floor": 6,
                "servers": [{"address": "10.0.0.7:8080", "zone": "a", "slots": 6}]}]}

``parse`` reports all problems of both files in one ``errors.InvalidTablesError``.
"""

import functools
import ipaddress
import math
import re
from collections.abc import Callable, Iterable, Iterator, Set
from typing import Any

import msgspec
import pyjson5

from dotterelfront import errors, models

ROUTES_FILE = "routes.json"
POOLS_FILE = "pools.json"

Path = tuple[str | int, ...]
Finding = tuple[Path, str, str]
"""A problem without its line: path in the file, code and text."""

_NAME = re.compile(r"[!-~]{1,128}")
_PATTERNS = {
    "name": _NAME,
    "pool": _NAME,
    "zone": _NAME,
    "path_prefix": re.compile(r"/[!-\"$->@-~]{0,2047}"),
    "host": re.compile(r"[!-@\[-~]{0,255}"),
}
_METHOD = re.compile(r"[A-Z][A-Z-]{0,31}")
_RANGES = {
    "slots": (1, 100_000),
    "connections": (1, 100_000),
    "floor": (0, 1_000_000_000),
    "warmup_s": (0, 86_400),
    "deadline_ms": (1, 86_400_000),
    "max_request_bytes": (0, 1_000_000_000),
    "max_response_bytes": (0, 1_000_000_000),
    "objective": (0, 1),
    "customer_rate": (0, 1_000_000),
}
_TOKEN = re.compile(
    r"""//[^\n]*|/\*.*?\*/|"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*'|[{}\[\]:,]|[^\s{}\[\]:,"'/]+""",
    re.DOTALL,
)


class Problem(msgspec.Struct, frozen=True):
    """One problem in an operators' file; lines count from 1."""

    file: str
    line: int
    code: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.code}: {self.text}"


def parse(
    routes_text: str,
    pools_text: str,
    routes_file: str = ROUTES_FILE,
    pools_file: str = POOLS_FILE,
) -> models.Tables:
    """Returns the tables with revision 0; raises ``errors.InvalidTablesError``.

    The file names appear only in the reported problems.
    """
    routes = _ParsedFile(routes_file, routes_text, {"routes": True, "customers": False})
    pools = _ParsedFile(pools_file, pools_text, {"pools": True})
    built_routes = routes.build("routes", models.Route)
    built_customers = routes.build("customers", models.Customer)
    built_pools = pools.build("pools", models.Pool)
    route_names, pool_names = routes.names("routes"), pools.names("pools")
    for finding in check_routes(built_routes, pool_names):
        routes.report(*finding)
    for finding in check_customers(built_customers, route_names):
        routes.report(*finding)
    for finding in check_pools(built_pools):
        pools.report(*finding)
    problems = sorted(
        routes.problems + pools.problems,
        key=lambda problem: (problem.file, problem.line, problem.code),
    )
    if problems:
        raise errors.InvalidTablesError(problems)
    return from_entries(
        models.Revision(0),
        (route for _, route in built_routes),
        (pool for _, pool in built_pools),
        (customer for _, customer in built_customers),
    )


def from_entries(
    revision: models.Revision,
    routes: Iterable[models.Route],
    pools: Iterable[models.Pool],
    customers: Iterable[models.Customer],
) -> models.Tables:
    """Returns tables with their entries sorted by name."""

    def by_name(entries):
        return tuple(sorted(entries, key=lambda entry: entry.name))

    return models.Tables(revision, by_name(routes), by_name(pools), by_name(customers))


def check_tables(tables: models.Tables) -> list[Problem]:
    """Returns the problems of tables that do not come from files, such as a merge of two edits.

    The line of each problem is 0 and its file is the name of the table.
    """
    findings = [
        *check_routes(enumerate(tables.routes), {pool.name for pool in tables.pools}),
        *check_customers(enumerate(tables.customers), {route.name for route in tables.routes}),
        *check_pools(enumerate(tables.pools)),
    ]
    return [Problem(str(path[0]), 0, code, text) for path, code, text in findings]


def render(tables: models.Tables) -> tuple[str, str]:
    """Returns the texts of the routes file and the pools file, the input of ``parse``."""
    routes: dict[str, Any] = {"routes": [_file_entry(route) for route in tables.routes]}
    if tables.customers:
        routes["customers"] = [_file_entry(customer) for customer in tables.customers]
    pools = {"pools": [_file_entry(pool) for pool in tables.pools]}
    return _format_json(routes), _format_json(pools)


def check_routes(
    routes: Iterable[tuple[int, models.Route]], pool_names: Set[str]
) -> Iterator[Finding]:
    """Yields duplicate names, unknown pools, invalid methods and overlapping routes."""
    names: set[str] = set()
    by_prefix: dict[tuple[str, str], list[models.Route]] = {}
    for index, route in routes:
        path: Path = ("routes", index)
        if route.name in names:
            yield (*path, "name"), "DUPLICATE_NAME", f"route {route.name!r} is defined twice"
        names.add(route.name)
        if route.pool not in pool_names:
            yield (*path, "pool"), "UNKNOWN_POOL", f"no pool is named {route.pool!r}"
        for method in route.methods:
            if not _METHOD.fullmatch(method):
                yield (*path, "methods"), "BAD_VALUE", f"{method!r} is not an HTTP method"
        same_prefix = by_prefix.setdefault((route.host, route.path_prefix), [])
        for other in same_prefix:
            if not (route.methods and other.methods) or set(route.methods) & set(other.methods):
                text = f"route {route.name!r} matches the same requests as {other.name!r}"
                yield path, "OVERLAPPING_ROUTES", text
        same_prefix.append(route)


def check_customers(
    customers: Iterable[tuple[int, models.Customer]], route_names: Set[str]
) -> Iterator[Finding]:
    """Yields duplicate names, unknown routes and rates out of range."""
    names: set[str] = set()
    for index, customer in customers:
        path: Path = ("customers", index)
        if customer.name in names:
            yield (*path, "name"), "DUPLICATE_NAME", f"customer {customer.name!r} is defined twice"
        names.add(customer.name)
        for route, rate in customer.rates.items():
            if route not in route_names:
                yield (*path, "rates", route), "UNKNOWN_ROUTE", f"no route is named {route!r}"
            if not 0 <= rate <= _RANGES["customer_rate"][1]:
                yield (*path, "rates", route), "BAD_VALUE", f"rate {rate} is out of range"


def check_pools(pools: Iterable[tuple[int, models.Pool]]) -> Iterator[Finding]:
    """Yields duplicate names, empty pools, invalid or duplicate servers, and floors above capacity.

    Leaving servers count as capacity here, so that a drain is never refused. While the remaining
    capacity is below the floor, no server of the pool is ejected.
    """
    names: set[str] = set()
    pool_of: dict[str, str] = {}
    for index, pool in pools:
        path: Path = ("pools", index)
        if pool.name in names:
            yield (*path, "name"), "DUPLICATE_NAME", f"pool {pool.name!r} is defined twice"
        names.add(pool.name)
        if not pool.servers:
            yield (*path, "servers"), "EMPTY_POOL", f"pool {pool.name!r} has no server"
        for number, server in enumerate(pool.servers):
            address_path = (*path, "servers", number, "address")
            if not _is_address(server.address):
                text = f"{server.address!r} is not an IP address and port, such as 10.0.0.7:8080"
                yield address_path, "BAD_ADDRESS", text
            elif server.address in pool_of:
                text = f"server {server.address} is already in pool {pool_of[server.address]!r}"
                yield address_path, "DUPLICATE_SERVER", text
            pool_of[server.address] = pool.name
        capacity = sum(server.slots for server in pool.servers)
        if pool.servers and pool.floor > capacity:
            text = f"floor {pool.floor} is above the capacity of {capacity} slots"
            yield (*path, "floor"), "FLOOR_ABOVE_CAPACITY", text


@functools.lru_cache(maxsize=32_768)
def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdecimal() and 0 < int(port) < 65_536 and port[0] != "0"):
        return False
    try:
        if host.startswith("[") and host.endswith("]"):
            return str(ipaddress.IPv6Address(host[1:-1])) == host[1:-1]
        return bool(ipaddress.IPv4Address(host))
    except ValueError:
        return False


class _ParsedFile:
    """One operators' file during parsing: its data, the lines of its values, and its problems."""

    def __init__(self, name: str, text: str, sections: dict[str, bool]):
        self.problems: list[Problem] = []
        self._name = name
        self._lines: dict[Path, int] = {(): 1}
        self._data: dict[str, list] = {}
        try:
            data = pyjson5.decode(text)
        except pyjson5.Json5Exception as exc:
            self._report_syntax(text, exc)
            return
        self._lines, duplicates = _scan_lines(text)
        for path, line in duplicates:
            self.problems.append(
                Problem(name, line, "DUPLICATE_KEY", f"key {path[-1]!r} is set twice")
            )
        if not isinstance(data, dict):
            self.report((), "WRONG_TYPE", "the file must be an object")
            return
        for key, value in data.items():
            if key not in sections:
                self.report((key,), "UNKNOWN_KEY", f"unknown key {key!r}")
            elif not isinstance(value, list):
                self.report((key,), "WRONG_TYPE", f"{key!r} must be a list")
            else:
                self._data[key] = value
        for key, required in sections.items():
            if required and key not in data:
                self.report((), "MISSING_KEY", f"key {key!r} is missing")

    def build(self, section: str, struct_type: type) -> list[tuple[int, Any]]:
        """Returns the entries without problems as structs, each with its index in the section."""
        built = []
        for index, raw in enumerate(self._data.get(section, ())):
            entry = _build_entry(struct_type, raw, (section, index), self.report)
            if entry is not None:
                built.append((index, entry))
        return built

    def names(self, section: str) -> set[str]:
        """Returns the names of all entries, including those with problems."""
        return {
            raw["name"]
            for raw in self._data.get(section, ())
            if isinstance(raw, dict) and isinstance(raw.get("name"), str)
        }

    def report(self, path: Path, code: str, text: str) -> None:
        """Records a problem at the line of ``path``, or of its nearest parent with a line."""
        known_path = path
        while known_path not in self._lines:
            known_path = known_path[:-1]
        self.problems.append(Problem(self._name, self._lines[known_path], code, text))

    def _report_syntax(self, text: str, exc: Exception) -> None:
        message = str(exc.args[0])
        position = re.search(r"near (\d+)", message)
        line = text.count("\n", 0, int(position[1])) + 1 if position else 1
        self.problems.append(Problem(self._name, line, "SYNTAX", message))


def _build_entry(
    struct_type: type, raw: Any, path: Path, report: Callable[[Path, str, str], None]
) -> Any:
    """Returns a struct of ``struct_type``, or None after reporting all problems of its fields."""
    if not isinstance(raw, dict):
        report(path, "WRONG_TYPE", f"a {struct_type.__name__.lower()} must be an object")
        return None
    fields = _fields(struct_type)
    valid = True
    values = {}
    for key in raw.keys() - fields.keys():
        report(
            (*path, key), "UNKNOWN_KEY", f"unknown key {key!r} of a {struct_type.__name__.lower()}"
        )
        valid = False
    for name, field in fields.items():
        if name not in raw:
            if field.required:
                report(path, "MISSING_KEY", f"key {name!r} is missing")
                valid = False
            continue
        problem, values[name] = _convert(field, raw[name], (*path, name), report)
        if problem:
            report((*path, name), *problem)
        valid = valid and problem is None and values[name] is not None
    return struct_type(**values) if valid else None


def _convert(field, raw: Any, path: Path, report) -> tuple[tuple[str, str] | None, Any]:
    """Converts the value of a field; returns a problem or None, and the value.

    The value is None if there is a problem, or if problems of its own fields were reported.
    """
    if field.name == "servers" and isinstance(raw, list):
        servers = [
            _build_entry(models.Server, item, (*path, number), report)
            for number, item in enumerate(raw)
        ]
        return None, None if None in servers else tuple(servers)
    if field.type is models.Priority:
        names = {level.name.lower(): level for level in models.Priority}
        if not isinstance(raw, str) or raw not in names:
            return ("WRONG_TYPE", f"{field.name!r} must be one of {', '.join(names)}"), None
        return None, names[raw]
    try:
        value = msgspec.convert(raw, field.type)
    except msgspec.ValidationError as exc:
        return ("WRONG_TYPE", f"{field.name!r}: {exc}"), None
    pattern = _PATTERNS.get(field.name)
    if pattern and not pattern.fullmatch(value):
        return ("BAD_VALUE", f"{field.name!r} is not valid: {value!r}"), None
    low, high = _RANGES.get(field.name, (-math.inf, math.inf))
    if isinstance(value, int | float) and not low <= value <= high:
        code = "ZERO_SLOTS" if (field.name, value) == ("slots", 0) else "OUT_OF_RANGE"
        return (code, f"{field.name!r} must be from {low} to {high}, not {value}"), None
    return None, value


@functools.cache
def _fields(struct_type: type) -> dict[str, Any]:
    return {field.name: field for field in msgspec.structs.fields(struct_type)}


def _scan_lines(text: str) -> tuple[dict[Path, int], list[tuple[Path, int]]]:
    """Returns the line of each value and key of a valid text, and the keys that are set twice.

    The JSON5 parser reports neither.
    """
    lines: dict[Path, int] = {(): 1}
    duplicates: list[tuple[Path, int]] = []
    open_brackets: list[str] = []
    path: list[str | int] = []
    line, counted_to, expect_key = 1, 0, False
    for match in _TOKEN.finditer(text):
        token = match.group()
        line += text.count("\n", counted_to, match.start())
        counted_to = match.start()
        if token.startswith(("//", "/*")):
            continue
        if token in "}]":
            open_brackets.pop()
            path.pop()
        elif token == ",":
            expect_key = open_brackets[-1] == "{"
            if not expect_key:
                path[-1] += 1
        elif token == ":":
            expect_key = False
        elif expect_key:
            path[-1] = pyjson5.decode(token) if token[0] in "\"'" else token
            key_path = tuple(path)
            if key_path in lines:
                duplicates.append((key_path, line))
            lines[key_path] = line
        else:
            lines.setdefault(tuple(path), line)
            if token in "{[":
                open_brackets.append(token)
                path.append("" if token == "{" else 0)
                expect_key = token == "{"
    return lines, duplicates


def _file_entry(entry: msgspec.Struct) -> dict[str, Any]:
    """Returns an entry as the value written to a file, without fields that have their default."""
    values = {}
    for field in msgspec.structs.fields(entry):
        value = getattr(entry, field.name)
        if field.required or value != field.default:
            if isinstance(value, models.Priority):
                values[field.name] = value.name.lower()
            elif field.name == "servers":
                values[field.name] = [_file_entry(server) for server in value]
            else:
                values[field.name] = msgspec.to_builtins(value)
    return values


def _format_json(data: dict[str, Any]) -> str:
    return msgspec.json.format(msgspec.json.encode(data), indent=2).decode() + "\n"
