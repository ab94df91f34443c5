"""Client of the platform's key-value service.

The interface is small so that an operator can adapt it to another service. The HTTP mapping is:

- ``GET /v1/kv/{key}``: 200 with the value and its ``Version`` header, or 404.
- ``GET /v1/kv/{key}?wait_after={version}&timeout_s={s}``: a watch. Responds when the version
  differs from ``version`` (404 if the key does not exist), or with 304 after ``timeout_s``.
- ``PUT /v1/kv/{key}`` with ``If-Version: n`` (0 creates): 200 with the new ``Version``, or 409.
- ``DELETE /v1/kv/{key}`` with ``If-Version: n``: 204, or 409.
- ``GET /v1/keys?prefix={prefix}``: 200 with ``{"keys": {key: version}}``.
- ``POST /v1/leases`` with ``{"ttl_s": s}``: ``{"lease": id}``; ``POST /v1/leases/{id}`` renews it,
  404 after it has expired. A key that is written by a PUT with ``Lease: id`` is deleted when the
  lease expires; the PUT gets 412 if the lease has already expired.

Any other 4xx status means that the call was refused and had no effect. After a 5xx status, or
without a response, a write may have taken effect.
"""

import urllib.parse

import msgspec
import urllib3

from dotterelfront import errors

CALL_TIMEOUT_S = 2.0


class Entry(msgspec.Struct, frozen=True):
    """A value and its version. Versions start at 1 and grow with each write; 0 means no value."""

    value: bytes
    version: int


class StoreClient:
    """Calls the store at ``url``. Does not retry failed calls.

    ::

        store = StoreClient("http://10.0.0.9:2390")
        entry = store.get("config/root")
        store.put("config/root", b"...", if_version=entry.version)
    """

    def __init__(self, url: str, timeout_s: float = CALL_TIMEOUT_S):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._http = urllib3.PoolManager(retries=False, maxsize=4)

    def get(self, key: str) -> Entry | None:
        """Returns the entry, or None if the key does not exist."""
        res = self._call("GET", _key_path(key))
        return _decode_entry(res) if res.status == 200 else None

    def watch(self, key: str, after_version: int, timeout_s: float) -> Entry | None:
        """Waits until the version differs from ``after_version``; returns None after ``timeout_s``.

        The entry has version 0 if the key does not exist.
        """
        path = f"{_key_path(key)}?wait_after={after_version}&timeout_s={timeout_s}"
        res = self._call("GET", path, timeout_s=timeout_s + self._timeout_s)
        if res.status == 404:
            return Entry(b"", 0)
        return _decode_entry(res) if res.status == 200 else None

    def put(self, key: str, value: bytes, if_version: int, lease: str = "") -> int:
        """Writes by compare-and-swap and returns the new version. ``if_version`` 0 only creates.

        Raises ``errors.StoreConflictError`` when the store has another version,
        ``errors.StoreRefusedError`` when the value is too large, the lease has expired or the call
        rate is too high, and ``errors.StoreUnavailableError`` when the write may or may not have
        taken effect.
        """
        headers = {"If-Version": str(if_version)}
        if lease:
            headers["Lease"] = lease
        return int(self._call("PUT", _key_path(key), value, headers).headers["Version"])

    def delete(self, key: str, if_version: int) -> None:
        """Deletes by compare-and-swap; raises the same errors as ``put``."""
        self._call("DELETE", _key_path(key), headers={"If-Version": str(if_version)})

    def keys(self, prefix: str) -> dict[str, int]:
        """Returns all keys that start with ``prefix`` and their versions."""
        path = f"/v1/keys?prefix={urllib.parse.quote(prefix)}"
        return msgspec.json.decode(self._call("GET", path).data)["keys"]

    def lease(self, ttl_s: float) -> str:
        """Creates a lease and returns its id."""
        res = self._call("POST", "/v1/leases", msgspec.json.encode({"ttl_s": ttl_s}))
        return msgspec.json.decode(res.data)["lease"]

    def renew(self, lease: str) -> bool:
        """Renews a lease; returns false if it has expired."""
        return self._call("POST", f"/v1/leases/{lease}").status == 200

    def close(self) -> None:
        """Closes the idle connections. A pending watch continues until its own timeout."""
        self._http.clear()

    def _call(self, method, path, body=None, headers=None, timeout_s=None):
        try:
            res = self._http.request(
                method,
                self._url + path,
                body=body,
                headers=headers,
                timeout=timeout_s or self._timeout_s,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise errors.StoreUnavailableError(f"{method} {path}: {exc}") from exc
        if res.status == 409:
            raise errors.StoreConflictError(f"{method} {path}: the store has another version")
        if res.status in (200, 204, 304) or (res.status == 404 and method in ("GET", "POST")):
            return res
        if 400 <= res.status < 500:
            raise errors.StoreRefusedError(f"{method} {path}: status {res.status}")
        raise errors.StoreUnavailableError(f"{method} {path}: status {res.status}")


def _key_path(key: str) -> str:
    return "/v1/kv/" + urllib.parse.quote(key)


def _decode_entry(res) -> Entry:
    return Entry(res.data, int(res.headers["Version"]))
