"""Placement of shards, neighbours and watchers."""

from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import models, placement

POOL = models.PoolName("orders")


@st.composite
def fleets(draw, min_size=1):
    vm_numbers = draw(st.sets(st.integers(0, 60), min_size=min_size, max_size=25))
    return tuple(
        models.Vm(
            models.VmId(f"vm-{number}"),
            f"10.0.0.{number}",
            models.ZoneName(f"r{number % 2}-z{number % 3}"),
            f"r{number % 2}",
            leaving=draw(st.integers(0, 4)) == 0,
        )
        for number in sorted(vm_numbers)
    )


@given(st.lists(fleets(), min_size=1, max_size=6), st.integers(0, 3))
def test_owner_table_equals_full_computation(views, shard):
    """Guards against an incremental update that leaves a removed or misranked owner in place."""
    table = placement.OwnerTable()
    for view in views:
        table.update(view)
        expected = placement.owner_order(POOL, shard, view)[: placement.OwnerTable.MAX_CANDIDATES]
        assert list(table.owners(POOL, shard)) == expected


@given(fleets(min_size=2))
def test_announcements_reach_every_vm(view):
    """Guards against a choice of neighbours that partitions the fleet."""
    by_id = {vm.id: vm for vm in view}
    reached, frontier = {view[0].id}, [view[0]]
    while frontier:
        vm = frontier.pop()
        adjacent = placement.neighbours(vm, view)
        assert len(adjacent) <= 6
        assert vm.id not in {other.id for other in adjacent}
        frontier += [by_id[other.id] for other in adjacent if other.id not in reached]
        reached |= {other.id for other in adjacent}
    assert reached == set(by_id)


@given(st.integers(1, 100))
def test_every_server_is_in_exactly_one_shard(count):
    """Guards against a server without a shard owner or with two of them."""
    servers = tuple(
        models.Server(models.ServerId(f"10.1.0.{i}:80"), models.ZoneName("z"), 6)
        for i in range(count)
    )
    shards = placement.shards(models.Pool(POOL, servers, floor=0))
    assert [server for shard in shards for server in shard] == list(servers)
    assert all(len(shard) <= placement.SHARD_SERVERS for shard in shards)
