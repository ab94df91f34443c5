"""Load of few requests from many VMs to few servers, where most requests would need a connection.

48 VMs send 25 idempotent requests a second to 9 servers with 3 slots, whose connections may rest
for 8 s. Without regard to connections, a VM meets a server again after 17 s.
"""

import collections
import random

import pytest

from dotterelfront import fleetmodel, health, models, server_choice, slot_owner, upstream
from tests import test_slot_owner

VMS, SERVERS, RATE_PER_S, WORK_S, SECONDS = 48, 9, 25.0, 0.27, 120.0
NEW_SERVER, NEW_SERVER_AT_S = models.ServerId("i-new"), 60.0


def instances(names):
    active = models.ServerState.ACTIVE
    pool, zone = test_slot_owner.POOL, test_slot_owner.ZONE
    return tuple(
        fleetmodel.Instance(name, f"{name}:80", pool, zone, 3, active, 1) for name in names
    )


def play(names_connections):
    """Plays the load; returns the share of new connections and the times of use by server."""
    rng, replies = random.Random(5), {}
    core = slot_owner.SlotOwner(
        slot_owner.RetryLimits(0.2, 2.0),
        lambda address, message: replies.__setitem__(message.call_id, message),
    )
    names = [models.ServerId(f"i-{number}") for number in range(SERVERS)]
    core.set_servers(test_slot_owner.POOL, {test_slot_owner.ZONE: instances(names)}, 0.0)
    idle_since = collections.defaultdict(dict)
    uses, ends, opened, now, call_id = collections.defaultdict(list), [], 0, 0.0, 0
    added = False
    while now < SECONDS:
        now += rng.expovariate(RATE_PER_S)
        if now > NEW_SERVER_AT_S and not added:
            added = True
            by_zone = {test_slot_owner.ZONE: instances([*names, NEW_SERVER])}
            core.set_servers(test_slot_owner.POOL, by_zone, now)
        for end in sorted(end for end in ends if end[0] <= now):
            ends.remove(end)
            at, vm, server, ended = end
            idle_since[vm][server] = at
            core.release(
                test_slot_owner.fleet_messages.SlotRelease(
                    vm, ended, health.AttemptResult.ANSWERED
                ),
                at,
            )
        core.tick(now)
        vm, call_id = f"vm-{rng.randrange(VMS)}", call_id + 1
        kept = idle_since[vm]
        usable = [name for name, at in kept.items() if now - at < upstream.IDLE_LIMIT_S]
        connected = tuple(sorted(usable, key=kept.get)[-upstream.MAX_CONNECTED :])
        core.request(
            test_slot_owner.make_request(
                call_id, sender=vm, connected=connected if names_connections else ()
            ),
            now,
        )
        server = replies[call_id].server
        opened += server not in usable
        kept.pop(server, None)
        uses[server].append(now)
        ends.append((now + rng.expovariate(1 / WORK_S), vm, server, call_id))
    return opened / call_id, uses


def test_servers_with_a_connection_are_preferred():
    """Guards against a new connection for most requests of a large fleet."""
    unaware, _ = play(False)
    aware, _ = play(True)
    assert unaware > 0.55
    assert aware < 0.4


def test_preferred_servers_do_not_starve_others():
    """Guards against new servers without requests, and against uneven load."""
    _, uses = play(True)
    assert uses[NEW_SERVER][0] < NEW_SERVER_AT_S + 4.0
    counts = [len(times) for server, times in uses.items() if server != NEW_SERVER]
    assert len(counts) == SERVERS
    assert max(counts) < 2 * min(counts)


@pytest.mark.parametrize("in_flight", [0, 1, 2])
def test_the_last_slot_of_a_server_is_not_preferred(in_flight, monkeypatch):
    """Guards against servers that are filled up, and slow down, while others are idle."""
    monkeypatch.setattr(server_choice, "EXPLORE_SHARE", 0.0)
    owner = test_slot_owner.Owner()
    owner.core.set_servers(
        test_slot_owner.POOL, {test_slot_owner.ZONE: instances(["i-1", "i-2"])}, 0.0
    )
    for call_id in range(in_flight):
        owner.ask(call_id, avoid=("i-2",))
    reply = owner.ask(9, connected=("i-1",))
    assert reply.server == ("i-1" if in_flight < 2 else "i-2")
