"""VM processes of the fleet under test, each on its own loopback address."""

import asyncio
import json
import os
import pathlib
import signal
import sys

HTTP_PORT, READY_PORT, PEER_PORT, STORE_PORT = 8641, 8640, 7620, 2391
COMMAND = (sys.executable, "-m", "dotterelfront.start")
_ENDING_SIGNALS = frozenset([signal.SIGTERM, signal.SIGKILL])
STORE_HOST_OFFSET = 200
"""Number added to the last octet of a VM's address to get the address of its store host."""


class FleetVm:
    """One VM: a process that is restarted when it exits, as on the platform."""

    def __init__(self, number: int, network: str, zone: str, folder: pathlib.Path):
        self.name, self.zone = f"vm-{number}", zone
        self.host = f"{network}.{number}"
        self.store_host = f"{network}.{STORE_HOST_OFFSET + number}"
        """The store's host that only this VM uses, so that the store can identify the VM."""
        self.keep_running = True
        self.own_exits: list[int] = []
        """Exit codes of processes that ended without a signal of the soak."""
        self._end_requested = False
        self._process: asyncio.subprocess.Process | None = None
        self._settings_path = folder / f"{self.name}.json"
        self._log_path = folder / f"{self.name}.log"
        self.settings = self._default_settings(network)
        self.write_settings(json.dumps(self.settings))

    def write_settings(self, text: str) -> None:
        """Replaces the settings file, which the process reloads on SIGHUP and when it changes."""
        self._settings_path.write_text(text)

    def _default_settings(self, network: str) -> dict:
        return {
            "vm_id": self.name,
            "address": self.host,
            "zone": self.zone,
            "region": "r",
            "zones": {"a": "r", "b": "r"},
            "http_address": f"{self.host}:{HTTP_PORT}",
            "ready_address": f"{self.host}:{READY_PORT}",
            "peer_port": PEER_PORT,
            "store_address": f"{self.store_host}:{STORE_PORT}",
            "seeds": [f"{network}.{number}:1" for number in (1, 2)],
            "first_start": True,
            "limits": {"drain": "2000ms", "grace": "6s", "retry-slack": 50, "retry-ratio": 0.2},
        }

    async def supervise(self) -> None:
        """Starts the process, and restarts it when it exits until ``keep_running`` is false."""
        env = os.environ | {"DOTTERELFRONT_BOOT": str(self._settings_path)}
        with self._log_path.open("ab") as log:
            while self.keep_running:
                self._process = await asyncio.create_subprocess_exec(
                    *COMMAND, env=env, stdout=log, stderr=log
                )
                self._end_requested = False
                code = await self._process.wait()
                self._end_first_start()
                if not self._end_requested and not self._has_rejected_settings():
                    self.own_exits.append(code)
                await asyncio.sleep(0.2)

    def _end_first_start(self) -> None:
        """Sets the settings for the following starts; invalid ones stay as they are."""
        was_valid = self._settings_path.read_text() == json.dumps(self.settings)
        self.settings["first_start"] = False
        if was_valid:
            self.write_settings(json.dumps(self.settings))

    def _has_rejected_settings(self) -> bool:
        """Whether the process ended because it started with the soak's invalid settings."""
        last_line = self._log_path.read_text().strip().rpartition("\n")[2]
        return '"settings rejected"' in last_line and '"ERROR"' in last_line

    def watches_store(self) -> bool:
        """Whether the VM watches the store, by its log."""
        lines = [line for line in self._log_path.read_text().splitlines() if "store watch " in line]
        return bool(lines) and "store watch started" in lines[-1]

    def send(self, signum: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._end_requested |= signum in _ENDING_SIGNALS
            self._process.send_signal(signum)

    async def ready(self) -> bool:
        """Checks the readiness of the VM as the load balancer does."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(self.host, READY_PORT)
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                status_line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in status_line
