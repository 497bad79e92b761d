"""The ring buffer: order of bytes, growth to the limit, shrinking."""

import pytest

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
