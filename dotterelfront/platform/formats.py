"""Parses and formats the platform's durations and versions.

::

    formats.seconds("1500ms")   # 1.5
    formats.revision("r12")     # 12
"""

import re

from dotterelfront import errors, models

_DURATION = re.compile(r"([0-9]{1,15}(?:\.[0-9]+)?)(ms|s)")
_VERSION = re.compile(r"r([0-9]{1,15})")
_UNIT_S = {"ms": 0.001, "s": 1.0}


def seconds(text: object) -> float:
    """Parses a duration and returns it in seconds; raises ``errors.RecordError``."""
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise errors.RecordError(f"{text!r} is not a duration such as 1500ms or 2s")
    return float(match[1]) * _UNIT_S[match[2]]


def duration(value_s: float) -> str:
    """Formats a duration, rounded to whole milliseconds."""
    return f"{round(value_s * 1000)}ms"


def revision(text: object) -> models.Revision:
    """Parses a version and returns its number; raises ``errors.RecordError``."""
    match = _VERSION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise errors.RecordError(f"{text!r} is not a version such as r12")
    return models.Revision(int(match[1]))
