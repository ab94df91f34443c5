"""The store client against the stand-in store, over loopback."""

import threading

import cheroot.wsgi
import pytest
import urllib3

from dotterelfront import errors, store
from standins import store as standin


@pytest.fixture
def standin_and_client():
    """Yields the stand-in's faults, its clock as a list of one time in seconds, and a client."""
    clock = [100.0]
    standin_store = standin.Store(lambda: clock[0])
    faults = standin.Faults(standin_store, lambda: clock[0])
    server = cheroot.wsgi.Server(
        ("127.0.0.1", 0), standin.application(standin_store, faults), numthreads=4
    )
    server.shutdown_timeout = 0
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    client = store.StoreClient(f"http://127.0.0.1:{server.bind_addr[1]}")
    yield faults, clock, client
    client.close()
    server.stop()


def test_compare_and_swap(standin_and_client):
    """Guards against overwriting the value of another writer."""
    _, _, client = standin_and_client
    assert client.put("a/b c", b"1", if_version=0) == 1
    with pytest.raises(errors.StoreConflictError):
        client.put("a/b c", b"2", if_version=0)
    assert client.put("a/b c", b"2", if_version=1) == 2
    assert client.get("a/b c") == store.Entry(b"2", 2)
    assert client.keys("a/") == {"a/b c": 2}
    client.delete("a/b c", if_version=2)
    assert client.get("a/b c") is None


def test_refused_write_is_not_reported_as_unknown_outcome(standin_and_client):
    """Guards against reporting an unknown outcome for a write that had no effect."""
    faults, _, client = standin_and_client
    with pytest.raises(errors.StoreRefusedError):
        client.put("big", b"x" * 1_000_001, if_version=0)
    with pytest.raises(errors.StoreRefusedError):
        client.put("key", b"x", if_version=0, lease="lease-9")
    faults.inject({"writes_per_s": 2})
    with pytest.raises(errors.StoreRefusedError):
        client.put("key", b"x", if_version=0)
    assert client.get("key") is None


def test_lost_reply_and_outage_raise_unavailable(standin_and_client):
    """Guards against reporting a write as failed when only its reply was lost."""
    faults, clock, client = standin_and_client
    faults.inject({"lose_replies": 1, "lose_prefix": "config/"})
    client.put("other", b"1", if_version=0)
    with pytest.raises(errors.StoreUnavailableError):
        client.put("config/root", b"1", if_version=0)
    assert client.get("config/root") == store.Entry(b"1", 1)
    faults.inject({"down_s": 5})
    with pytest.raises(errors.StoreUnavailableError):
        client.get("config/root")
    clock[0] += 6
    assert client.get("config/root").version == 1


def test_expired_lease_deletes_its_key(standin_and_client):
    """Guards against a stand-in whose leases never expire."""
    faults, clock, client = standin_and_client
    lease = client.lease(10.0)
    client.put("mine", b"1", if_version=0, lease=lease)
    clock[0] += 9
    assert client.renew(lease)
    clock[0] += 9
    assert client.get("mine")
    faults.inject({"lapse": lease})
    assert client.get("mine") is None
    assert not client.renew(lease)


def test_watch_reports_a_restored_older_version(standin_and_client):
    """Guards against a watcher that does not notice a restore of the store from a backup."""
    faults, _, client = standin_and_client
    faults.inject({"snapshot": "empty"})
    client.put("config/root", b"1", if_version=0)
    faults.inject({"snapshot": "one"})
    client.put("config/root", b"2", if_version=1)
    assert client.watch("config/root", 1, 5.0).version == 2
    faults.inject({"restore": "one"})
    assert client.watch("config/root", 2, 5.0) == store.Entry(b"1", 1)
    faults.inject({"restore": "empty"})
    assert client.watch("config/root", 1, 5.0) == store.Entry(b"", 0)
    assert client.watch("config/root", 0, 0.0) is None


def test_platform_lists_are_delayed_and_survive_store_outages(standin_and_client):
    """Guards against a stand-in whose VM list is always current, or fails during a store outage."""
    faults, clock, client = standin_and_client
    faults.inject({"vm_list_lag_s": 3, "down_s": 60})
    faults.set_vms(b"old")
    clock[0] += 4
    faults.set_vms(b"new")
    assert urllib3.request("GET", client._url + "/v1/vms").data == b"old"
    clock[0] += 4
    assert faults.vms() == b"new"
    url = client._url + "/v1/servers/leaving"
    urllib3.request("PUT", url, body=b'{"servers": ["10.0.0.7:8080"]}')
    assert urllib3.request("GET", url).json() == {"servers": ["10.0.0.7:8080"]}
