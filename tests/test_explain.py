"""From a request's id to its cause, with log lines of several VMs."""

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


def test_only_the_request_s_lines_are_shown_in_order_of_time():
    """Guards against lines of other requests, and against lines that cannot be read."""
    found = [step.text() for step in explain.steps(LINES, "r1")]
    assert found == ["1 a ended code=X", "2 b attempt failed server=i-1"]


def test_the_command_reads_files_and_standard_input(tmp_path):
    runner = typer.testing.CliRunner()
    path = tmp_path / "vm.log"
    path.write_text("\n".join(LINES))
    from_file = runner.invoke(cli.app, ["explain", "r1", str(path)])
    from_input = runner.invoke(cli.app, ["explain", "r1"], input="\n".join(LINES))
    assert from_file.output == from_input.output
    assert from_file.output.startswith("1 a ended")
    assert runner.invoke(cli.app, ["explain", "r99"], input="").exit_code == 1


def test_the_command_checks_the_settings_of_a_vm(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text("{}")
    result = typer.testing.CliRunner().invoke(cli.app, ["node", "check", str(path)])
    assert result.exit_code != 0
    assert "vm_id: missing" in str(result.exception)
