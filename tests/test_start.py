"""Start of a VM's process, as the deploy file tells it."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import tomllib

import pytest

from dotterelfront import node
from dotterelfront.platform import boot

START_TIMEOUT_S = 20.0
ROOT = pathlib.Path(__file__).parent.parent


def settings(tmp_path):
    """Writes a settings file; runs of the tests beside each other use different addresses."""
    host = f"127.9.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
    path = tmp_path / "settings.json"
    fields = {
        "vm_id": "vm-1",
        "address": host,
        "zone": "a",
        "region": "r",
        "zones": {"a": "r"},
        "http_address": f"{host}:18641",
        "ready_address": f"{host}:18640",
        "peer_port": 17620,
        "store_address": f"{host}:18642",
        "seeds": [],
        "first_start": True,
        "limits": {"drain": "2000ms", "grace": "6s", "retry-slack": 50, "retry-ratio": 0.2},
    }
    path.write_text(json.dumps(fields))
    return path


@pytest.fixture
def process(tmp_path):
    """A VM's process that has just been started."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    _, *args = deploy["roles"]["proxy"]["run"].split()
    env = os.environ | {boot.SETTINGS_VARIABLE: str(settings(tmp_path))}
    with subprocess.Popen(
        [sys.executable, *args], cwd=ROOT, env=env, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
    ) as started:
        yield started
        started.kill()


def ignores_sighup(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    ignored = next(line for line in status.splitlines() if line.startswith("SigIgn:"))
    return bool(int(ignored.split()[1], 16) & 1 << signal.SIGHUP - 1)


def test_settings_may_change_while_the_process_starts(process):
    """Guards against a process that ends because its settings changed during its start."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while not ignores_sighup(process.pid):
        assert process.poll() is None
        assert time.monotonic() < deadline
    lines = iter(process.stdout.readline, b"")
    process.send_signal(signal.SIGHUP)
    started = next(line for line in lines if b'"started"' in line or b'"reloaded"' in line)
    assert json.loads(started)["message"] == "started"
    process.send_signal(signal.SIGHUP)
    assert any(b'"settings reloaded"' in line for line in lines)
    assert process.poll() is None


def test_a_change_during_the_start_is_found(tmp_path, monkeypatch):
    """Guards against old settings that stay in force until the next change."""
    path = settings(tmp_path)
    found = []

    async def run(cfg, settings_path, version):
        found.append(version)

    def load(name):
        cfg = original(name)
        os.utime(path, ns=(1, 1))
        return cfg

    original = boot.load
    monkeypatch.setattr(boot, "load", load)
    monkeypatch.setattr(node, "_run", run)
    node.run(str(path))
    assert found != [node._file_version(str(path))]
