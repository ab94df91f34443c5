"""Logging through loguru: one line per event, as text or JSON.

::

    logs.configure(logs.LogFormat.JSON, vm_id="vm-1")
    logs.event("server ejected", pool="orders", server="10.0.0.7:8080")
"""

import enum
import sys

import msgspec
from loguru import logger


class LogFormat(enum.Enum):
    """Output format of log lines."""

    TEXT = "text"
    JSON = "json"


_TEXT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[vm]} {message} {extra[fields]}"


def _write_json(message) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "vm": record["extra"]["vm"],
        "message": record["message"],
        **record["extra"]["fields"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(msgspec.json.encode(line).decode() + "\n")


def configure(log_format: LogFormat, vm_id: str = "") -> None:
    """Replaces all log sinks of the process with one on standard error."""
    logger.remove()
    logger.configure(extra={"vm": vm_id, "fields": {}})
    if log_format is LogFormat.JSON:
        logger.add(_write_json, level="INFO", catch=True)
    else:
        logger.add(sys.stderr, format=_TEXT, level="INFO", backtrace=False, diagnose=False)


def event(message: str, level: str = "INFO", **fields: object) -> None:
    """Logs an event with structured fields."""
    logger.bind(fields=fields).opt(depth=1).log(level, message)
