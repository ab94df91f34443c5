"""Tests of ``explain`` with log lines of several VMs, and of ``node check``."""

import typer.testing

from dotterelfront import cli, explain

LINES = [
    '{"time": "2", "vm": "b", "message": "attempt failed", "request": "r1", "server": "i-1"}',
    '  12.5 vm-a {"time": "1", "vm": "a", "message": "ended", "request": "r1", "code": "X"}',
    '{"time": "1", "vm": "a", "message": "attempt failed", "request": "r10"}',
    "r1 in a line that is no record",
    '{"time": "0", "message": "mentions r1"}',
    '["r1"]',
    '{"r1',
]


def test_only_events_of_the_request_are_returned_in_order_of_time():
    """Guards against events of other requests and against failing on lines without a record."""
    texts = [step.text() for step in explain.steps(LINES, "r1")]
    assert texts == ["1 a ended code=X", "2 b attempt failed server=i-1"]


def test_explain_reads_files_and_standard_input(tmp_path):
    """Guards against an input source that the command ignores."""
    runner = typer.testing.CliRunner()
    path = tmp_path / "vm.log"
    path.write_text("\n".join(LINES))
    from_file = runner.invoke(cli.app, ["explain", "r1", str(path)])
    from_input = runner.invoke(cli.app, ["explain", "r1"], input="\n".join(LINES))
    assert from_file.output == from_input.output
    assert from_file.output.startswith("1 a ended")
    assert runner.invoke(cli.app, ["explain", "r99"], input="").exit_code == 1


def test_node_check_reports_missing_settings(tmp_path):
    """Guards against a check that accepts incomplete settings of a VM."""
    path = tmp_path / "settings.json"
    path.write_text("{}")
    result = typer.testing.CliRunner().invoke(cli.app, ["node", "check", str(path)])
    assert result.exit_code != 0
    assert "vm_id: missing" in str(result.exception)
