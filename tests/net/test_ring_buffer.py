"""The ring buffer: order of bytes, growth to the limit, shrinking."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerroad.net.ring_buffer import RingBuffer


def test_ring_buffer_wraps_grows_to_its_limit_and_shrinks_when_empty():
    ring_buffer = RingBuffer(64, initial_capacity=8)
    ring_buffer.put(b"abcdef")
    assert ring_buffer.take(4) == b"abcd"
    ring_buffer.put(b"ghijk")  # these bytes wrap around inside the capacity of 8
    assert ring_buffer.capacity == 8
    assert ring_buffer.peek() == b"efghijk"
    ring_buffer.put(b"x" * 57)
    assert ring_buffer.full
    assert ring_buffer.capacity == 64
    assert len(ring_buffer.writable()) == 0
    with pytest.raises(ValueError, match="65 bytes do not fit in a ring buffer of 64"):
        ring_buffer.put(b"y")
    assert ring_buffer.take(99) == b"efghijk" + b"x" * 57
    ring_buffer.shrink()
    assert ring_buffer.capacity == 8


# What happens while a read into the buffer is pending: bytes are taken from the front (a number), or the read completes
# (the bytes that it has read).
STEPS = st.lists(st.one_of(st.integers(0, 12), st.binary(min_size=1, max_size=12)), max_size=40)


@given(STEPS, st.sampled_from(["take", "skip"]), st.booleans())
def test_bytes_taken_while_a_read_is_pending_do_not_move_the_memory_it_writes_to(steps, method, shrink):
    """Guards against old bytes that are parsed again in place of those that a read has added."""
    ring_buffer, expected = RingBuffer(32, initial_capacity=8), b""
    pending = ring_buffer.writable()
    for step in steps:
        if isinstance(step, int):
            if method == "take":
                assert ring_buffer.take(step) == expected[:step]
            else:
                ring_buffer.skip(step)
            expected = expected[step:]
        else:
            data = step[: len(pending)]
            pending[: len(data)] = data
            ring_buffer.commit(len(data))
            expected += data
            if shrink:
                ring_buffer.shrink()
            pending = ring_buffer.writable()
        assert ring_buffer.peek() == expected
        assert len(ring_buffer) == len(expected)


def test_a_read_into_an_emptied_buffer_gets_its_whole_capacity():
    """Guards against ever smaller reads: the free memory of an empty buffer is contiguous wherever its bytes ended."""
    ring_buffer = RingBuffer(64, initial_capacity=8)
    ring_buffer.put(b"abcde")
    ring_buffer.skip(5)
    assert len(ring_buffer.writable()) == 8
