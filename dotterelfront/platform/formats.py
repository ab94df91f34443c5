"""Text forms of the platform: durations and versions.

::

    formats.seconds("1500ms")   # 1.5
    formats.revision("r12")     # 12
"""

import re

from dotterelfront import errors, models

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_VERSION = re.compile(r"r([0-9]{1,15})")
_UNIT_S = {"ms": 0.001, "s": 1.0}


def seconds(text: object) -> float:
    """Returns a duration in seconds; raises ``errors.RecordError``."""
    found = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise errors.RecordError(f"{text!r} is not a duration")
    return float(found[1]) * _UNIT_S[found[2]]


def duration(value_s: float) -> str:
    """Returns the text of a duration in whole milliseconds."""
    return f"{round(value_s * 1000)}ms"


def revision(text: object) -> models.Revision:
    """Returns the number of a version; raises ``errors.RecordError``."""
    found = _VERSION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise errors.RecordError(f"{text!r} is not a version")
    return models.Revision(int(found[1]))
