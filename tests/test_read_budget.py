"""The read budget: it never stays exhausted while a connection could complete."""

from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import read_budget

LIMIT = 100


class Reader:
    def __init__(self):
        self.paused = False

    def resume_reading(self):
        self.paused = False


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(1, 20), st.booleans()), max_size=200))
def test_one_connection_can_always_read_on(steps):
    """Guards against connections that all wait for each other, and against bytes never freed."""
    budget = read_budget.ReadBudget(LIMIT)
    readers = [Reader() for _ in range(10)]
    held = dict.fromkeys(readers, 0)
    for index, size, ends in steps:
        reader = readers[index]
        if not reader.paused and not ends:
            held[reader] += size
            room = budget.add(reader, size)
            reader.paused = room is read_budget.Room.FULL
            if room is read_budget.Room.EXCEEDED:
                assert held[reader] > read_budget.MAX_SHARE * LIMIT
                ends = True
        if ends:
            budget.free(reader)
            held[reader], reader.paused = 0, False
        assert budget.used_bytes == sum(held.values())
        assert not all(reader.paused for reader in readers)
        if budget.used_bytes <= LIMIT:
            assert not any(reader.paused for reader in readers)
        active = [reader for reader in readers if held[reader] and not reader.paused]
        assert active or not any(reader.paused for reader in readers)
