"""VM processes of the fleet under soak, each on a loopback address of its own."""

import asyncio
import json
import os
import pathlib
import signal
import sys

HTTP_PORT, READY_PORT, PEER_PORT, STORE_PORT = 8641, 8640, 7620, 2391
STORE_HOSTS = 200
"""The store's host for a VM is this many above the VM's own."""


class FleetVm:
    """One VM: a process that is started again when it ends, as on the platform."""

    def __init__(self, number: int, network: str, zone: str, folder: pathlib.Path):
        self.name, self.zone = f"vm-{number}", zone
        self.host = f"{network}.{number}"
        self.store_host = f"{network}.{STORE_HOSTS + number}"
        """Where this VM alone reaches the store, so that the store can tell the VMs apart."""
        self.wanted = True
        self._process: asyncio.subprocess.Process | None = None
        self._settings = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"
        self.fields = self._fields(network)
        self.change_settings(json.dumps(self.fields))

    def change_settings(self, text: str) -> None:
        """Replaces the settings file; the process may be told by SIGHUP, or find it by itself."""
        self._settings.write_text(text)

    def _fields(self, network: str) -> dict:
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
            "limits": {"drain": "2000ms", "grace": "6s", "retry-slack": 50, "retry-ratio": 0.2},
        }

    async def supervise(self) -> None:
        """Keeps the process running until ``wanted`` is false."""
        env = os.environ | {"DOTTERELFRONT_BOOT": str(self._settings)}
        with self._log.open("ab") as log:
            while self.wanted:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "dotterelfront.node", env=env, stdout=log, stderr=log
                )
                await self._process.wait()
                await asyncio.sleep(0.2)

    def send(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def ready(self) -> bool:
        """Asks the VM as the balancer does."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(self.host, READY_PORT)
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line
