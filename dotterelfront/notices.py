"""Notices of changes that must not wait for the watchers of a zone.

When the store turns away both watchers of a zone at once, the zone hears of a change only by the
pings of other zones. Changes that bind all VMs within seconds are therefore announced at once: the
watchers of each zone tell one VM of each other zone which revision they have::

    for vm in notices.receivers(vms, own_zone, rng):
        send(vm, fleet_messages.Notice(reply_to, revision))

Mostly the receiver has the change already, and nothing follows. Otherwise it pulls the change after
``wait_s`` and passes it on in its zone. Pure.
"""

import collections
import random
from collections.abc import Iterable

from dotterelfront import models

WAIT_MIN_S = 0.3
WAIT_MAX_S = 0.5
"""Time for the own zone's watchers, which pass changes on within 0.2 s. The range lets the first
VM of a zone that pulls spare the others the same pull across zones."""


def receivers(
    vms: Iterable[models.Vm], own_zone: models.ZoneName, rng: random.Random
) -> list[models.Vm]:
    """Returns one VM of each other zone, at random."""
    by_zone: dict[models.ZoneName, list[models.Vm]] = collections.defaultdict(list)
    for vm in vms:
        if vm.zone != own_zone:
            by_zone[vm.zone].append(vm)
    return [rng.choice(found) for _, found in sorted(by_zone.items())]


def wait_s(rng: random.Random) -> float:
    """Returns how long a VM that is told of a change waits for its own zone's watchers."""
    return rng.uniform(WAIT_MIN_S, WAIT_MAX_S)
