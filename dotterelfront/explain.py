"""Traces a request through the fleet, using the log lines of the VMs.

The functions do no I/O::

    for step in explain.steps(lines, "9c41d07be2a35f68"):
        print(step.text())

Lines without a JSON object are skipped. Text before the object, such as the prefix of a log
collector, is ignored.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

_STANDARD_FIELDS = frozenset(["time", "level", "vm", "message", "request"])


class Step(msgspec.Struct, frozen=True):
    """A log event about the request."""

    time: str
    vm: str
    message: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Returns the step as one line of text."""
        details = " ".join(f"{name}={value}" for name, value in sorted(self.fields.items()))
        return f"{self.time} {self.vm} {self.message} {details}".rstrip()


def steps(lines: Iterable[str], request_id: str) -> list[Step]:
    """Returns the log events of a request, sorted by time."""
    result = []
    for line in lines:
        # Most lines are about other requests. A substring test is cheaper than decoding them.
        if request_id not in line:
            continue
        record = _parse_record(line)
        if record.get("request") != request_id:
            continue
        fields = {name: value for name, value in record.items() if name not in _STANDARD_FIELDS}
        result.append(
            Step(
                str(record.get("time", "")),
                str(record.get("vm", "")),
                str(record.get("message", "")),
                fields,
            )
        )
    return sorted(result, key=lambda step: step.time)


def _parse_record(line: str) -> dict[str, Any]:
    start = line.find("{")
    try:
        record = msgspec.json.decode(line[start:].strip()) if start >= 0 else {}
    except msgspec.DecodeError:
        return {}
    return record if isinstance(record, dict) else {}
