"""Fakes of external interfaces, shared by several test modules."""

from dotterelfront import errors, models, store


class FakeStore:
    """In-memory fake of ``store.StoreClient``.

    ``script`` has one entry per call. A callable runs before the call, ``"down"`` makes the call
    fail, ``"lost"`` makes a write take effect but fail, any other value has no effect. Calls that a
    scripted callable makes do not consume entries.
    """

    def __init__(self):
        self.entries: dict[str, store.Entry] = {}
        self.script: list = []
        self.down = False
        self.watch_calls = 0

    def get(self, key):
        self._next_step()
        return self.entries.get(key)

    def keys(self, prefix):
        self._next_step()
        return {k: e.version for k, e in self.entries.items() if k.startswith(prefix)}

    def put(self, key, value, if_version, lease=""):
        self._write(key, store.Entry(value, if_version + 1), if_version)
        return if_version + 1

    def delete(self, key, if_version):
        self._write(key, None, if_version)

    def watch(self, key, after_version, timeout_s):
        self.watch_calls += 1
        entry = self.get(key) or store.Entry(b"", 0)
        return None if entry.version == after_version else entry

    def close(self):
        pass

    def _write(self, key, entry, if_version):
        reply_lost = self._next_step()
        stored = self.entries.get(key)
        if (stored.version if stored else 0) != if_version:
            raise errors.StoreConflictError(key)
        self.entries.pop(key, None)
        self.entries |= {key: entry} if entry else {}
        if reply_lost:
            raise errors.StoreUnavailableError("reply lost")

    def _next_step(self):
        """Runs the next entry of the script; returns whether the reply of the call is lost."""
        if self.down:
            raise errors.StoreUnavailableError("down")
        if not self.script:
            return False
        step = self.script.pop(0)
        if callable(step):
            script, self.script = self.script, []
            step()
            self.script = script
        if step == "down":
            raise errors.StoreUnavailableError("down")
        return step == "lost"


def make_tables(**rates: float) -> models.Tables:
    """Returns tables with one pool, one route and the given rate of each customer."""
    pool = models.Pool("bins", (models.Server("10.0.0.1:80", "a", 4),), 2)
    route = models.Route("stock", "/stock", "bins")
    customers = [models.Customer(name, {"stock": rate}) for name, rate in sorted(rates.items())]
    return models.Tables(models.Revision(0), (route,), (pool,), tuple(customers))


def with_rate(tables: models.Tables, name: str, rate: float) -> models.Tables:
    """Returns a copy of the tables with the rate of one customer replaced."""
    rates = {customer.name: customer.rates["stock"] for customer in tables.customers}
    return make_tables(**rates | {name: rate})
