"""Settings of a proxy process, read from a file in JSON with comments.

The names include the units. All problems of a file are reported together::

    cfg = settings.load(pathlib.Path("settings.json"))
"""

import ipaddress
import pathlib
from typing import Annotated

import pydantic
import pyjson5

from dotterelfront import errors, logs

Port = Annotated[int, pydantic.Field(ge=1, le=65_535)]


class Tls(pydantic.BaseModel):
    """Paths of the PEM files for mutual TLS between VMs."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    ca_file: str
    """CA certificates that verify the certificates of peers; several during a CA rotation."""
    cert_file: str
    key_file: str


class Settings(pydantic.BaseModel):
    """Settings of ``dotterelfront proxy``. Ports are the same on all VMs of a fleet."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    vm_id: str = pydantic.Field(min_length=1, max_length=128)
    """Id of the VM in the platform's VM list."""
    address: str
    """IP address on which the VM listens."""
    zone: str = pydantic.Field(min_length=1)
    region: str = pydantic.Field(min_length=1)
    http_port: Port = 8080
    data_port: Port = 7401
    control_port: Port = 7402
    admin_port: Port = 9901
    store_url: str = pydantic.Field(pattern=r"^https?://")
    platform_url: str = pydantic.Field(pattern=r"^https?://")
    customer_header: str = "X-Customer"
    http_workers: int = pydantic.Field(64, ge=4, le=1024)
    data_workers: int = pydantic.Field(96, ge=4, le=1024)
    tls: Tls | None = None
    """Without TLS, VMs do not authenticate each other. Omit it only for trials on one machine."""
    shutdown_accept_s: float = pydantic.Field(5.0, ge=0, le=300)
    """During shutdown, time for which the VM still accepts requests after it reports not ready."""
    log_format: logs.LogFormat = logs.LogFormat.TEXT

    @pydantic.field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        ipaddress.ip_address(value)
        return value


def load(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises ``errors.ConfigurationError`` with all problems of the file.
    """
    try:
        text = path.read_text()
        return Settings.model_validate(pyjson5.decode(text))
    except OSError as exc:
        raise errors.ConfigurationError(f"{path}: {exc.strerror}") from exc
    except pyjson5.Json5Exception as exc:
        raise errors.ConfigurationError(f"{path}: not valid JSON with comments: {exc}") from exc
    except pydantic.ValidationError as exc:
        problems = [
            f"{path}: {'.'.join(str(part) for part in problem['loc'])}: {problem['msg']}"
            for problem in exc.errors()
        ]
        raise errors.ConfigurationError("\n".join(problems)) from exc
