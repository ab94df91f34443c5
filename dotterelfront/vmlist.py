"""Client of the platform's lists: ``GET /v1/vms`` and ``GET /v1/servers/leaving``.

If the list of VMs has an ``ETag``, the client sends ``If-None-Match``, so that an unchanged list is
not transferred again. It accepts gzip, because the list of 1,600 VMs is about 160 KB of JSON. A
platform without a list of leaving servers returns 404 for it.
"""

import msgspec
import urllib3

from dotterelfront import errors, models

CALL_TIMEOUT_S = 2.0


class VmList(msgspec.Struct, frozen=True):
    """The platform's list of VMs, which may be out of date."""

    vms: tuple[models.Vm, ...]


class ServerList(msgspec.Struct, frozen=True):
    """The platform's list of leaving backend servers."""

    servers: tuple[models.ServerId, ...]


class PlatformClient:
    """Fetches the lists and stores the latest entity tag.

    ::

        client = PlatformClient("http://10.0.0.9:2390")
        client.fetch()   # VmList, or None if unchanged
    """

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._http = urllib3.PoolManager(retries=False, maxsize=2)
        self._etag = ""

    def fetch(self) -> VmList | None:
        """Returns the list of VMs, or None if it is unchanged.

        Raises ``errors.StoreUnavailableError`` if the list cannot be fetched or decoded.
        """
        headers = {"Accept-Encoding": "gzip"}
        if self._etag:
            headers["If-None-Match"] = self._etag
        res = self._get("/v1/vms", headers)
        if res.status == 304:
            return None
        vm_list = _decode(res, VmList)
        self._etag = res.headers.get("ETag", "")
        return vm_list

    def fetch_leaving_servers(self) -> tuple[models.ServerId, ...]:
        """Returns the leaving servers.

        Raises ``errors.StoreUnavailableError`` if the list cannot be fetched or decoded.
        """
        res = self._get("/v1/servers/leaving", {})
        return () if res.status == 404 else _decode(res, ServerList).servers

    def _get(self, path: str, headers: dict[str, str]):
        try:
            return self._http.request(
                "GET", self._url + path, headers=headers, timeout=CALL_TIMEOUT_S, redirect=False
            )
        except urllib3.exceptions.HTTPError as exc:
            raise errors.StoreUnavailableError(f"{path}: {exc}") from exc


def _decode(res, list_type: type):
    if res.status != 200:
        raise errors.StoreUnavailableError(f"platform list returned status {res.status}")
    try:
        return msgspec.json.decode(res.data, type=list_type)
    except msgspec.MsgspecError as exc:
        raise errors.StoreUnavailableError(f"platform list has an invalid body: {exc}") from exc
