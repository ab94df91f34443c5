"""Tests of commands that need no fleet."""

import pathlib
import sys

import pytest
import typer.testing

from dotterelfront import cli, tables

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def _run(*args: str):
    return typer.testing.CliRunner().invoke(cli.app, args)


@pytest.mark.parametrize("user", ["hanbit", "camara"])
def test_examples_are_valid(user):
    """Guards against example tables and settings that no longer pass validation, and against tables
    without a non-idempotent route."""
    files = [EXAMPLES / user / "routes.json", EXAMPLES / user / "pools.json"]
    result = _run("validate", "--routes", str(files[0]), "--pools", str(files[1]))
    assert result.exit_code == 0, result.output
    content = tables.parse(files[0].read_text(), files[1].read_text())
    non_idempotent = [route for route in content.routes if not route.idempotent]
    assert non_idempotent
    assert _run("config", "check", str(EXAMPLES / user / "settings.json")).exit_code == 0


def test_error_is_printed_with_its_code_and_no_traceback(tmp_path, monkeypatch, capsys):
    """Guards against a traceback where operators need a list of problems."""
    path = tmp_path / "settings.json"
    path.write_text("{")
    monkeypatch.setattr(sys, "argv", ["dotterelfront", "config", "check", str(path)])
    with pytest.raises(SystemExit) as exc_info:
        cli.main()
    text = capsys.readouterr().err
    assert exc_info.value.code != 0
    assert "CONFIGURATION" in text
    assert "Traceback" not in text


def test_version_is_printed():
    """Guards against an installed command that cannot report its version."""
    result = _run("--version")
    assert result.exit_code == 0
    assert result.output.strip()
