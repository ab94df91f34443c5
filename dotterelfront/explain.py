"""A request's way through the fleet, from the log lines of its VMs.

Pure::

    for step in explain.steps(lines, "9c41d07be2a35f68"):
        print(step.text())

Lines that are not JSON objects are passed over; text in front of the object, as collectors add it,
is ignored.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

_COMMON = frozenset(["time", "level", "vm", "message", "request"])


class Step(msgspec.Struct, frozen=True):
    """One log line about the request."""

    time: str
    vm: str
    message: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Returns the step as one line."""
        details = " ".join(f"{name}={value}" for name, value in sorted(self.fields.items()))
        return f"{self.time} {self.vm} {self.message} {details}".rstrip()


def steps(lines: Iterable[str], request_id: str) -> list[Step]:
    """Returns what the lines say of a request, in order of time."""
    found = []
    for line in lines:
        # Most lines are about other requests, and decoding them costs more than this.
        if request_id not in line:
            continue
        record = _record(line)
        if record.get("request") != request_id:
            continue
        fields = {name: value for name, value in record.items() if name not in _COMMON}
        found.append(
            Step(
                str(record.get("time", "")),
                str(record.get("vm", "")),
                str(record.get("message", "")),
                fields,
            )
        )
    return sorted(found, key=lambda step: step.time)


def _record(line: str) -> dict[str, Any]:
    start = line.find("{")
    try:
        record = msgspec.json.decode(line[start:].strip()) if start >= 0 else {}
    except msgspec.DecodeError:
        return {}
    return record if isinstance(record, dict) else {}
