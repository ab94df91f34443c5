"""Settings of a process on the platform, from the file that the deploy template renders.

The file is JSON with comments and has this package's names; only the limits keep the platform's
names, because it hands them over as one table::

    cfg = boot.load(os.environ[boot.SETTINGS_VARIABLE])
    cfg.bounds.drain_s   # 2.0
"""

from typing import Any

import msgspec
import pyjson5

from dotterelfront import errors, logs, models
from dotterelfront.platform import formats

SETTINGS_VARIABLE = "DOTTERELFRONT_BOOT"


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that the users hold the fleet to; times in seconds."""

    drain_s: float = 2.0
    """Time after which a leaving server gets nothing more."""
    grace_s: float = 6.0
    """Time between SIGTERM and SIGKILL."""
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    """Repeated sends per window and service: this many and ``retry_ratio`` of its requests."""


_SECONDS = {"drain": "drain_s", "grace": "grace_s", "retry-window": "retry_window_s"}
_NUMBERS = {"retry-ratio": "retry_ratio", "retry-slack": "retry_slack"}


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one VM. Addresses are ``"ip:port"``."""

    vm_id: str
    address: str
    zone: str
    region: str
    http_address: str
    ready_address: str
    peer_port: int
    store_address: str
    zones: dict[str, str] = {}
    """Regions by availability zone."""
    seeds: list[str] = []
    """Addresses of VMs that may hold a copy of the configuration while the store is away."""
    log_format: logs.LogFormat = logs.LogFormat.JSON
    limits: dict[str, str | float | bool] = {}

    @property
    def bounds(self) -> Bounds:
        return bounds(self.limits)

    def seed_peers(self) -> list[str]:
        """Returns the seeds' addresses for messages between VMs, without this VM."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return [f"{host}:{self.peer_port}" for host in hosts if host and host != self.address]

    @property
    def vm(self) -> models.Vm:
        peer_address = f"{self.address}:{self.peer_port}"
        return models.Vm(
            models.VmId(self.vm_id), peer_address, models.ZoneName(self.zone), self.region
        )


def reloaded(cfg: Settings, path: str) -> Settings:
    """Reads the file again and returns the settings with what a running VM adopts.

    Addresses and identity hold until a restart. Raises ``errors.ConfigurationError``.
    """
    found = load(path)
    return msgspec.structs.replace(cfg, limits=found.limits, zones=found.zones, seeds=found.seeds)


def bounds(limits: dict[str, str | float | bool]) -> Bounds:
    """Reads the limits by their platform names; names that are not known are ignored."""
    found = {}
    for name, value in limits.items():
        if name in _SECONDS:
            found[_SECONDS[name]] = formats.seconds(value)
        elif name in _NUMBERS:
            try:
                found[_NUMBERS[name]] = float(value)
            except ValueError as exc:
                raise errors.RecordError(f"{name}: {value!r} is not a number") from exc
    return Bounds(**found)


def load(path: str) -> Settings:
    """Reads and checks the settings file; raises ``errors.ConfigurationError`` with all faults."""
    try:
        with open(path, encoding="utf-8") as file:
            table = pyjson5.decode(file.read())
    except OSError as exc:
        raise errors.ConfigurationError(f"{path}: {exc.strerror}") from exc
    except (pyjson5.Json5Exception, UnicodeDecodeError) as exc:
        raise errors.ConfigurationError(f"{path}: not JSON with comments: {exc}") from exc
    if found := problems(table):
        raise errors.ConfigurationError("\n".join(f"{path}: {problem}" for problem in found))
    return msgspec.convert(table, Settings)


def problems(table: object) -> list[str]:
    """Returns all faults of the settings; names that are not known are ignored."""
    if not isinstance(table, dict):
        return ["not an object"]
    faults = {}
    for field in msgspec.structs.fields(Settings):
        if field.name in table:
            faults[field.name] = _fault(table[field.name], field.type)
        elif field.required:
            faults[field.name] = "missing"
    if "limits" in table and not faults["limits"]:
        faults["limits"] = _limits_fault(table["limits"])
    return [f"{name}: {fault}" for name, fault in faults.items() if fault]


def _fault(value: object, kind: Any) -> str:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as exc:
        return str(exc)
    return ""


def _limits_fault(limits: dict[str, str | float | bool]) -> str:
    try:
        bounds(limits)
    except errors.RecordError as exc:
        return str(exc)
    return ""
