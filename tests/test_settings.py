"""Tests of settings files."""

import json
import pathlib

import pytest

from dotterelfront import errors, settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("user", ["hanbit", "camara"])
def test_examples_are_valid(user):
    """Guards against an example file that the schema no longer accepts, or that omits TLS."""
    cfg = settings.load(EXAMPLES / user / "settings.json")
    assert cfg.tls is not None


def test_all_problems_are_listed(tmp_path):
    """Guards against an error message that stops at the first invalid key."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({"vm_id": "a", "address": "localhost", "zone": "z", "prot": 1}))
    with pytest.raises(errors.ConfigurationError) as exc_info:
        settings.load(path)
    for key in ("address", "region", "store_url", "platform_url", "prot"):
        assert f"{key}:" in str(exc_info.value)
