"""Callers of the demo, which send mixed load and check that each response fits its request.

::

    traffic = Traffic(fleet, vms=[0, 1, 2])
    traffic.start()
    traffic.stop()
    traffic.results    # one CallResult for each request
"""

import collections
import concurrent.futures
import dataclasses
import json
import random
import threading
import time

import urllib3

from demo import fleet as fleets

REQUEST_TIMEOUT_S = 12.0
TOKEN_BATCH = 20
"""Number of operation tokens that callers get from a VM in one request."""
DUPLICATE_SHARE = 0.25
"""Share of orders that are sent to two VMs at the same time."""
STRAGGLER_SHARE = 0.02
"""Share of invoice requests with a much longer service time than the others."""

OUTCOME = "Dotterelfront-Outcome"
OPERATION = "Dotterelfront-Operation"


@dataclasses.dataclass(frozen=True)
class CallResult:
    """Result of one request for its caller; ``started_at`` is a time of the monotonic clock."""

    kind: str
    verdict: str
    started_at: float
    elapsed_s: float
    code: str = ""
    operation: str = ""


class Traffic:
    """Caller threads; ``vms`` may change while they run, as the targets of a load balancer do."""

    def __init__(self, running: fleets.Fleet, vms: list[int], seed: int = 1):
        self._fleet = running
        self.vms = vms
        self._rng = random.Random(seed)
        self._http = urllib3.PoolManager(retries=False, maxsize=64, timeout=REQUEST_TIMEOUT_S)
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._delivery_pool = concurrent.futures.ThreadPoolExecutor(8)
        self.results: list[CallResult] = []
        self.orders: dict[str, list[str]] = collections.defaultdict(list)
        self._tokens: list[str] = []
        self._numbers = iter(range(1, 1_000_000))
        loops = (
            [(self._send_stock, 12.0)] * 4
            + [(self._send_invoice, 5.0)] * 2
            + [(self._send_order, 6.0)] * 3
        )
        self._threads = [
            threading.Thread(target=self._run_loop, args=(send_request, rate_per_s), daemon=True)
            for send_request, rate_per_s in loops
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join(REQUEST_TIMEOUT_S + 5)
        self._delivery_pool.shutdown()

    def _run_loop(self, send_request, rate_per_s: float) -> None:
        while not self._stopped.is_set():
            send_request()
            self._stopped.wait(self._rng.expovariate(rate_per_s))

    def _send_stock(self) -> None:
        self._send("stock", "GET", f"/stock/{self._next_number()}?work_ms=5", self._random_vm())

    def _send_invoice(self) -> None:
        straggles = self._rng.random() < STRAGGLER_SHARE
        path = f"/invoices/{self._next_number()}?work_ms={400 if straggles else 20}"
        self._send("invoices", "GET", path, self._random_vm())

    def _send_order(self) -> None:
        number = self._next_number()
        operation = f"order-{number}"
        headers = {"X-Operation": operation, OPERATION: self._next_token()}
        count = 2 if self._rng.random() < DUPLICATE_SHARE else 1
        targets = self._rng.sample(self.vms, min(count, len(self.vms)))
        path = f"/orders/{number}?work_ms=15"
        deliveries = [
            self._delivery_pool.submit(self._send, "orders", "POST", path, vm, headers, operation)
            for vm in targets
        ]
        for delivery in deliveries:
            delivery.result()

    def _next_token(self) -> str:
        with self._lock:
            if self._tokens:
                return self._tokens.pop()
        url = f"{self._fleet.url(self._random_vm())}/_dotterelfront/operations?count={TOKEN_BATCH}"
        try:
            reply = json.loads(self._http.request("POST", url).data)
        except (urllib3.exceptions.HTTPError, ValueError):
            return ""
        with self._lock:
            self._tokens = list(reply["operations"])
            return self._tokens.pop()

    def _send(self, kind, method, path, vm, headers=None, operation="") -> None:
        started = time.monotonic()
        code = ""
        try:
            url = self._fleet.url(vm) + path
            res = self._http.request(method, url, headers=headers or {}, redirect=False)
            verdict, code = self._classify(res, path), res.headers.get("Dotterelfront-Error", "")
        except urllib3.exceptions.HTTPError as exc:
            verdict, code = "cut off", type(exc).__name__
        result = CallResult(kind, verdict, started, time.monotonic() - started, code, operation)
        with self._lock:
            self.results.append(result)
            if operation:
                self.orders[operation].append(verdict)

    @staticmethod
    def _classify(res, path: str) -> str:
        outcome = res.headers.get(OUTCOME, "none")
        if outcome != "answered":
            return {"not-run": "not run", "unknown": "outcome unknown"}.get(outcome, "no outcome")
        if res.status != 200:
            return "server error"
        try:
            payload = json.loads(res.data)
        except ValueError:
            return "truncated"
        return "answered" if payload["path"] == path.partition("?")[0] else "foreign"

    def _random_vm(self) -> int:
        return self._rng.choice(self.vms)

    def _next_number(self) -> int:
        with self._lock:
            return next(self._numbers)
