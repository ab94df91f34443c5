"""Client of the platform's lists: ``GET /v1/vms`` and ``GET /v1/servers/leaving``.

The list of VMs may carry an ``ETag``; the client then sends ``If-None-Match``, so that an unchanged
list costs no body, and it accepts gzip, since the list of 1,600 VMs is about 160 KB of JSON. A
platform without a list of leaving servers answers 404 there.
"""

import msgspec
import urllib3

from dotterelfront import errors, models

CALL_TIMEOUT_S = 2.0


class VmList(msgspec.Struct, frozen=True):
    """The list of VMs as the platform gives it; it may lag."""

    vms: tuple[models.Vm, ...]


class ServerList(msgspec.Struct, frozen=True):
    """Backend servers that the platform says are leaving."""

    servers: tuple[models.ServerId, ...]


class ListClient:
    """Fetches the lists; remembers the last entity tag.

    ::

        client = ListClient("http://10.0.0.9:2390")
        client.fetch()   # VmList, or None when nothing changed
    """

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._http = urllib3.PoolManager(retries=False, maxsize=2)
        self._etag = ""

    def fetch(self) -> VmList | None:
        """Returns the list of VMs; raises ``errors.StoreUnavailableError`` when it has no copy."""
        headers = {"Accept-Encoding": "gzip"}
        if self._etag:
            headers["If-None-Match"] = self._etag
        res = self._get("/v1/vms", headers)
        if res.status == 304:
            return None
        found = _decode(res, VmList)
        self._etag = res.headers.get("ETag", "")
        return found

    def fetch_leaving_servers(self) -> tuple[models.ServerId, ...]:
        """Returns the leaving servers; raises ``errors.StoreUnavailableError``."""
        res = self._get("/v1/servers/leaving", {})
        return () if res.status == 404 else _decode(res, ServerList).servers

    def _get(self, path: str, headers: dict[str, str]):
        try:
            return self._http.request(
                "GET", self._url + path, headers=headers, timeout=CALL_TIMEOUT_S, redirect=False
            )
        except urllib3.exceptions.HTTPError as exc:
            raise errors.StoreUnavailableError(f"{path}: {exc}") from exc


def _decode(res, kind: type):
    if res.status != 200:
        raise errors.StoreUnavailableError(f"platform list: status {res.status}")
    try:
        return msgspec.json.decode(res.data, type=kind)
    except msgspec.MsgspecError as exc:
        raise errors.StoreUnavailableError(f"platform list: {exc}") from exc
