"""Notices between zones of changes that must not wait for a zone's own watchers.

When the store rejects both watchers of a zone at once, the zone learns of a change only from pings
of other zones. Changes that all VMs must apply within seconds are therefore announced at once: the
watchers of each zone send the revision they have to one VM of each other zone::

    for vm in notices.receivers(vms, own_zone, rng):
        send(vm, fleet_messages.Notice(reply_to, revision))

Usually the receiver already has the change and does nothing. Otherwise it waits for
``pull_delay_s``, pulls the change if it is still missing, and pushes it to its zone. The module
does no I/O.
"""

import collections
import random
from collections.abc import Iterable

from dotterelfront import models

PULL_DELAY_MIN_S = 0.3
PULL_DELAY_MAX_S = 0.5
"""Delay before a pull, in which the own zone's watchers may push the change; they take up to 0.2 s.
The delay is random, so that the first VM of a zone to pull can push the change to the others before
they pull it across zones too."""


def receivers(
    vms: Iterable[models.Vm], own_zone: models.ZoneName, rng: random.Random
) -> list[models.Vm]:
    """Returns one random VM of each other zone."""
    by_zone: dict[models.ZoneName, list[models.Vm]] = collections.defaultdict(list)
    for vm in vms:
        if vm.zone != own_zone:
            by_zone[vm.zone].append(vm)
    return [rng.choice(zone_vms) for _, zone_vms in sorted(by_zone.items())]


def pull_delay_s(rng: random.Random) -> float:
    """Returns how long the receiver of a notice waits for its own zone's watchers, in seconds."""
    return rng.uniform(PULL_DELAY_MIN_S, PULL_DELAY_MAX_S)
