"""Starts and stops stand-ins and proxies as processes on loopback addresses.

::

    with Fleet(vm_count=2, server_count=3) as fleet:
        fleet.publish(routes=[...], pools=[...])   # entries as in the operators' files
        fleet.url(0)                               # "http://127.77.0.1:8080"
        fleet.command("status")                    # a command of the operators

Each fleet takes its own 127.x.y.0/24, so that several can run at once.
"""

import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import trustme
import urllib3

STORE_PORT = 2390
SERVER_PORT = 9000
HTTP_PORT = 8080
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 15.0
COMMAND_TIMEOUT_S = 60.0
SUBNET_STEP = 83
"""Distance between the subnet numbers of two consecutive fleets of one process."""

_fleets = itertools.count()


class Fleet:
    """Processes of one fleet; VM ``i`` has address ``{network}.{i + 1}``, server ``i`` has
    ``{network}.{i + 101}``."""

    def __init__(
        self, vm_count: int, server_count: int, zones: int = 2, settings=None, tls: bool = False
    ):
        subnet = os.getpid() // 200 + SUBNET_STEP * next(_fleets)
        self.network = f"127.{10 + os.getpid() % 200}.{subnet % 250}"
        self.vm_count = vm_count
        self.server_count = server_count
        self.zones = zones
        self.extra_settings = settings or {}
        self.http = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=16)
        self.processes: dict[str, subprocess.Popen] = {}
        self._temp_dir = tempfile.TemporaryDirectory()
        self._ca = trustme.CA() if tls else None

    def __enter__(self):
        self._spawn("store", "standins.store", f"{self.network}.250", str(STORE_PORT))
        for index in range(self.server_count):
            self._spawn(f"server-{index}", "standins.backend", *self.server(index).split(":"))
        self._wait_for_status(f"{self.store_url}/v1/vms", 200)
        self.publish_vms(range(self.vm_count))
        for index in range(self.vm_count):
            self.start_vm(index)
        for index in range(self.vm_count):
            self._wait_for_status(f"{self.url(index)}/_dotterelfront/ready", 200, 503)
        return self

    def __exit__(self, *exc_info):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for name in list(self.processes):
            self.stop(name, max(0.0, deadline - time.monotonic()))
        self._temp_dir.cleanup()

    @property
    def store_url(self) -> str:
        return f"http://{self.network}.250:{STORE_PORT}"

    def address(self, index: int) -> str:
        return f"{self.network}.{index + 1}"

    def url(self, index: int) -> str:
        return f"http://{self.address(index)}:{HTTP_PORT}"

    def server(self, index: int) -> str:
        return f"{self.network}.{101 + index}:{SERVER_PORT}"

    def zone(self, index: int) -> str:
        return f"zone-{index % self.zones}"

    def start_vm(self, index: int) -> None:
        """Starts the proxy of a VM."""
        cfg = {
            "vm_id": f"vm-{index}",
            "address": self.address(index),
            "zone": self.zone(index),
            "region": "local",
            "store_url": self.store_url,
            "platform_url": self.store_url,
            "tls": self._tls_files(self.address(index)),
            **self.extra_settings,
        }
        path = pathlib.Path(self._temp_dir.name) / f"vm-{index}.json"
        path.write_text(json.dumps(cfg))
        self._spawn(f"vm-{index}", "dotterelfront", "proxy", "--settings", str(path))

    def _tls_files(self, address: str) -> dict[str, str] | None:
        """Writes a certificate for an address; returns its ``tls`` settings (None without TLS)."""
        if self._ca is None:
            return None
        paths = {
            name: pathlib.Path(self._temp_dir.name) / f"{address}-{name}.pem"
            for name in ("ca_file", "cert_file", "key_file")
        }
        cert = self._ca.issue_cert(address)
        self._ca.cert_pem.write_to_path(paths["ca_file"])
        cert.cert_chain_pems[0].write_to_path(paths["cert_file"])
        cert.private_key_pem.write_to_path(paths["key_file"])
        return {name: str(path) for name, path in paths.items()}

    def publish_vms(self, live, leaving=()) -> None:
        """Replaces the platform's list of VMs."""
        vms = [
            {
                "id": f"vm-{index}",
                "address": self.address(index),
                "zone": self.zone(index),
                "region": "local",
                "leaving": index in leaving,
            }
            for index in live
        ]
        self.http.request("PUT", f"{self.store_url}/v1/vms", body=json.dumps({"vms": vms}))

    def command(self, name: str, *args: str) -> subprocess.CompletedProcess:
        """Runs an operator's command against this fleet; returns its output and exit code."""
        urls = ["--store-url", self.store_url, "--platform-url", self.store_url]
        files = self._tls_files(f"{self.network}.251")
        tls = ["--tls", *files.values()] if files else []
        argv = [sys.executable, "-m", "dotterelfront", name, *args, *urls, *tls]
        return subprocess.run(argv, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S)

    def write_files(self, routes, pools, customers=()) -> list[str]:
        """Writes the operators' files; returns the options that name them."""
        paths = [pathlib.Path(self._temp_dir.name) / name for name in ("routes.json", "pools.json")]
        paths[0].write_text(json.dumps({"routes": routes, "customers": list(customers)}))
        paths[1].write_text(json.dumps({"pools": pools}))
        return ["--routes", str(paths[0]), "--pools", str(paths[1])]

    def publish(self, routes, pools, customers=(), timeout_s: float = 20.0) -> dict:
        """Publishes tables and waits until all VMs use them; returns the report of ``apply``."""
        files = self.write_files(routes, pools, customers)
        res = self.command("apply", *files, "--json", "--timeout", str(timeout_s))
        if res.returncode:
            raise RuntimeError(
                f"apply exited with status {res.returncode}: {res.stdout}{res.stderr}"
            )
        return json.loads(res.stdout)

    def inject(self, **fault) -> None:
        """Injects a fault into the stand-in of the store; see ``standins.store``."""
        self.http.request("POST", f"{self.store_url}/v1/faults", body=json.dumps(fault))

    def wait_ready(self) -> None:
        """Waits until every started VM reports that it is ready."""
        for index in range(self.vm_count):
            if f"vm-{index}" in self.processes:
                self._wait_for_status(f"{self.url(index)}/_dotterelfront/ready", 200)

    def kill(self, name: str) -> None:
        self.processes.pop(name).kill()

    def pause(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Sends SIGTERM; ``stop`` waits for the process."""
        self.processes[name].terminate()

    def set_faults(self, index: int, **faults) -> None:
        """Sets the faults of a server; see ``standins.backend``."""
        url = f"http://{self.server(index)}/_faults"
        self.http.request("PUT", url, body=json.dumps(faults))

    def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stops a process by SIGTERM, then SIGKILL; returns its exit status."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.terminate()
        try:
            return process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def _spawn(self, name: str, module: str, *args: str) -> None:
        self.processes[name] = subprocess.Popen([sys.executable, "-m", module, *args])

    def _wait_for_status(self, url: str, *statuses: int) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if self.http.request("GET", url).status in statuses:
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.05)
        raise TimeoutError(f"{url} did not return a status of {statuses}")
