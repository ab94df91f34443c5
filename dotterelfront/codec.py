"""Errors of the codec for input that other processes wrote.

::

    try:
        return msgspec.json.decode(raw, type=Record)
    except codec.DECODE_ERRORS as exc:
        raise errors.RecordError(str(exc)) from exc
"""

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""All errors that msgspec raises for malformed input; ``RecursionError`` is for deep nesting."""
