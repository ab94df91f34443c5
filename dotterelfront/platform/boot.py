"""Settings of a process on the platform, read from the file that the deploy template renders.

The file is JSON with comments. Its keys are this package's names, except in ``limits``: the
platform provides these as one table under its own names::

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
    """Limits that the fleet has to respect. Times are in seconds."""

    apply_s: float = 2.0
    """Time after which a configuration must be in force on every VM."""
    drain_s: float = 2.0
    """Time after which a leaving server must receive no more requests."""
    grace_s: float = 6.0
    """Time between SIGTERM and SIGKILL."""
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    """Retries allowed per window and service: this number plus ``retry_ratio`` of its requests."""


_SECONDS = {
    "apply": "apply_s",
    "drain": "drain_s",
    "grace": "grace_s",
    "retry-window": "retry_window_s",
}
_NUMBERS = {"retry-ratio": "retry_ratio", "retry-slack": "retry_slack"}


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one VM. ``address`` is an IP address, the other addresses are ``"ip:port"``."""

    vm_id: str
    address: str
    zone: str
    region: str
    http_address: str
    ready_address: str
    peer_port: int
    store_address: str
    zones: dict[str, str] = {}
    """Region of each availability zone."""
    seeds: list[str] = []
    """Addresses of VMs that may have a copy of the records while the store is unavailable. Messages
    to them use ``peer_port`` instead of the port given here."""
    log_format: logs.LogFormat = logs.LogFormat.JSON
    memory_limit_mb: float | None = None
    """Memory of the process, of which a share buffers responses and requests."""
    first_start: bool = False
    """Whether the whole fleet starts for the first time."""
    limits: dict[str, str | float | bool] = {}

    @property
    def bounds(self) -> Bounds:
        return parse_limits(self.limits)

    def seed_peers(self) -> list[str]:
        """Returns the addresses at which the seed VMs receive messages, without this VM."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return [f"{host}:{self.peer_port}" for host in hosts if host and host != self.address]

    @property
    def vm(self) -> models.Vm:
        peer_address = f"{self.address}:{self.peer_port}"
        return models.Vm(
            models.VmId(self.vm_id), peer_address, models.ZoneName(self.zone), self.region
        )


def reload_settings(cfg: Settings, path: str) -> Settings:
    """Reads the file again and returns ``cfg`` with the values that can change at run time.

    Addresses and identity change only with a restart. Raises ``errors.ConfigurationError``.
    """
    settings = load(path)
    return msgspec.structs.replace(
        cfg, limits=settings.limits, zones=settings.zones, seeds=settings.seeds
    )


def parse_limits(limits: dict[str, str | float | bool]) -> Bounds:
    """Parses the limits, which have the platform's names; unknown names are ignored.

    Raises ``errors.RecordError`` for a value that is no duration or number.
    """
    values = {}
    for name, value in limits.items():
        if name in _SECONDS:
            values[_SECONDS[name]] = formats.seconds(value)
        elif name in _NUMBERS:
            try:
                values[_NUMBERS[name]] = float(value)
            except ValueError as exc:
                raise errors.RecordError(f"{name}: {value!r} is not a number") from exc
    return Bounds(**values)


def load(path: str) -> Settings:
    """Reads and validates the settings file.

    Raises ``errors.ConfigurationError``, which lists all problems.
    """
    try:
        with open(path, encoding="utf-8") as file:
            table = pyjson5.decode(file.read())
    except OSError as exc:
        raise errors.ConfigurationError(f"{path}: {exc.strerror}") from exc
    except (pyjson5.Json5Exception, UnicodeDecodeError) as exc:
        raise errors.ConfigurationError(f"{path}: not JSON with comments: {exc}") from exc
    if table_problems := problems(table):
        raise errors.ConfigurationError(
            "\n".join(f"{path}: {problem}" for problem in table_problems)
        )
    return msgspec.convert(table, Settings)


def problems(table: object) -> list[str]:
    """Returns all problems of the settings; unknown names are ignored."""
    if not isinstance(table, dict):
        return ["not an object"]
    problem_by_field = {}
    for field in msgspec.structs.fields(Settings):
        if field.name in table:
            problem_by_field[field.name] = _type_problem(table[field.name], field.type)
        elif field.required:
            problem_by_field[field.name] = "missing"
    if "limits" in table and not problem_by_field["limits"]:
        problem_by_field["limits"] = _limits_problem(table["limits"])
    return [f"{name}: {problem}" for name, problem in problem_by_field.items() if problem]


def _type_problem(value: object, expected_type: Any) -> str:
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError as exc:
        return str(exc)
    return ""


def _limits_problem(limits: dict[str, str | float | bool]) -> str:
    try:
        parse_limits(limits)
    except errors.RecordError as exc:
        return str(exc)
    return ""
