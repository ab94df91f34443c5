"""Finds the route of a request: the longest path prefix among the routes for host and method."""

import re
import urllib.parse
from collections.abc import Iterable

from dotterelfront import errors, models

_PLAIN_PATH = re.compile(r"\*|(?:/[A-Za-z0-9_~!$&'()*+,:@=-][A-Za-z0-9_~!$&'()*+,:@=.-]*)*/?")
"""Paths that all servers parse alike: no escapes, dot segments, empty segments or ``;``."""
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_BAD_CHARACTER = re.compile(r"[\x00-\x1f\x7f\\]")
_ENCODED_SLASH = re.compile(r"%2[fF]")


class RouteTable:
    """Index of the routes by host and path prefix.

    ::

        table = RouteTable(tables.routes)
        route = table.match("shop.example", "GET", "/stock/17")
    """

    def __init__(self, routes: Iterable[models.Route]):
        self._by_prefix: dict[tuple[str, str], list[models.Route]] = {}
        for route in routes:
            key = (route.host.lower(), route.path_prefix)
            self._by_prefix.setdefault(key, []).append(route)

    def match(self, host: str, method: str, path: str) -> models.Route | None:
        """Returns the route, or None. Routes of the host take precedence over those without one.

        ``host`` is in lower case without port, ``path`` as received. Raises
        ``errors.MalformedRequestError`` for a path that a server may parse as a path of another
        route.
        """
        if _PLAIN_PATH.fullmatch(path):
            return self._match(host, method, path)
        matches = [self._match(host, method, decoded) for decoded in decodings(path)]
        if any(route is not matches[0] for route in matches):
            raise errors.MalformedRequestError("an encoded slash makes the route ambiguous")
        return matches[0]

    def _match(self, host: str, method: str, path: str) -> models.Route | None:
        for candidate_host in (host, "") if host else ("",):
            for prefix in _prefixes(path):
                for route in self._by_prefix.get((candidate_host, prefix), ()):
                    if not route.methods or method in route.methods:
                        return route
        return None


def decodings(path: str) -> tuple[str, ...]:
    """Returns each decoded path that a server may derive from a path.

    Servers differ only on ``%2F``: some treat it as a separator. Raises
    ``errors.MalformedRequestError`` for malformed escapes, control characters, backslashes, dot
    segments and empty segments. Servers that resolve dot or empty segments would see another path
    than the one that was routed.
    """
    if _BAD_ESCAPE.search(path):
        raise errors.MalformedRequestError("malformed percent escape in the path")
    decoded = urllib.parse.unquote(path, "latin-1")
    if _BAD_CHARACTER.search(decoded):
        raise errors.MalformedRequestError("control character or backslash in the path")
    if "//" in path or any(_is_dot_segment(segment) for segment in decoded.split("/")):
        raise errors.MalformedRequestError("empty segment or dot segment in the path")
    parts = [urllib.parse.unquote(part, "latin-1") for part in _ENCODED_SLASH.split(path)]
    if len(parts) == 1:
        return (decoded,)
    return "%2F".join(parts), re.sub("//+", "/", decoded)


def _is_dot_segment(segment: str) -> bool:
    # Some servers strip path parameters before they resolve dot segments, as in "/a/..;x/b".
    name, semicolon, _ = segment.partition(";")
    return name in (".", "..") or bool(semicolon and not name)


def _prefixes(path: str):
    """Yields the prefixes of a path that end at a segment boundary, the longest first."""
    yield path
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
        if end > 0:
            yield path[:end]
