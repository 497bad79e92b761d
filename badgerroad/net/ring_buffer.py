"""A byte ring buffer that starts small, grows up to a limit and shrinks when it is empty.

Two full-size buffers per connection would not fit in the dispatcher's memory, and nearly all connections are idle or
carry a few hundred bytes.
"""

from __future__ import annotations

INITIAL_CAPACITY = 1024  # bytes


class RingBuffer:
    """A FIFO of bytes; `limit` and the capacities are in bytes."""

    def __init__(self, limit: int, initial_capacity: int = INITIAL_CAPACITY) -> None:
        """Create an empty buffer that can hold up to `limit` bytes."""
        self.limit = limit
        self.initial_capacity = min(initial_capacity, limit)
        self.extra_capacity = 0  # number of bytes beyond the initial capacity
        self._data = bytearray(self.initial_capacity)
        self._head = 0
        self._count = 0

    def __len__(self) -> int:
        """The number of bytes in the buffer."""
        return self._count

    @property
    def capacity(self) -> int:
        """The number of bytes that fit without growing."""
        return len(self._data)

    @property
    def full(self) -> bool:
        """Whether the buffer holds `limit` bytes."""
        return self._count >= self.limit

    def writable(self) -> memoryview:
        """Return the next contiguous free memory, growing a full buffer. It is empty once the limit is reached.

        A read may fill the memory later and then call `commit`. Until then, bytes may be removed by `take` and `skip`,
        and no other method that changes the buffer may be called.
        """
        if self._count == len(self._data) < self.limit:
            self._resize(min(len(self._data) * 2, self.limit))
        elif not self._count:
            self._head = 0  # the whole capacity is contiguous
        size = len(self._data)
        start = (self._head + self._count) % size
        end = size if start >= self._head else self._head
        return memoryview(self._data)[start : min(end, start + size - self._count)]

    def commit(self, count: int) -> None:
        """Append the first `count` bytes of the memory that `writable` returned, after they have been written."""
        self._count += count

    def raise_limit(self, limit: int) -> None:
        """Allow `limit` bytes, if the present limit is lower."""
        self.limit = max(self.limit, limit)

    def put(self, data: bytes) -> None:
        """Append `data`. Raises ValueError if the limit would be exceeded."""
        needed = self._count + len(data)
        if needed > self.limit:
            raise ValueError(f"{needed} bytes do not fit in a ring buffer of {self.limit}")
        if needed > len(self._data):
            size = len(self._data)
            while size < needed:
                size *= 2
            self._resize(min(size, self.limit))
        offset = 0
        while offset < len(data):
            view = self.writable()
            part = data[offset : offset + len(view)]
            view[: len(part)] = part
            self.commit(len(part))
            offset += len(part)

    def readable(self) -> memoryview:
        """Return the first contiguous bytes without copying them."""
        return memoryview(self._data)[self._head : min(self._head + self._count, len(self._data))]

    def peek(self) -> bytes:
        """Return a copy of all bytes without removing them."""
        return self._copy(self._count)

    def find(self, pattern: bytes, start: int = 0) -> int:
        """Return the offset of the first `pattern` at or behind the offset `start`, or -1 if there is none."""
        self._make_contiguous()
        position = self._data.find(pattern, self._head + start, self._head + self._count)
        return position - self._head if position >= 0 else -1

    def skip_repeated(self, pattern: bytes) -> None:
        """Remove all repetitions of `pattern` with which the bytes begin."""
        self._make_contiguous()
        start, end = self._head, self._head + self._count
        while self._data.startswith(pattern, start, end):
            start += len(pattern)
        self.skip(start - self._head)

    def _make_contiguous(self) -> None:
        if self._head + self._count > len(self._data):
            self._resize(len(self._data))

    def _copy(self, count: int) -> bytes:
        end = self._head + count
        size = len(self._data)
        if end <= size:  # contiguous in nearly all cases
            return bytes(memoryview(self._data)[self._head : end])
        return bytes(memoryview(self._data)[self._head :]) + bytes(memoryview(self._data)[: end - size])

    def take(self, count: int) -> bytes:
        """Remove and return the first `count` bytes, or all if there are fewer."""
        count = min(count, self._count)
        data = self._copy(count)
        self.skip(count)
        return data

    def skip(self, count: int) -> None:
        """Remove the first `count` bytes.

        The end of the bytes stays where it is, even if none is left, as a pending read writes to the memory behind it.
        """
        count = min(count, self._count)
        self._count -= count
        self._head = (self._head + count) % len(self._data)

    def clear(self) -> None:
        """Remove all bytes and reduce the buffer to its initial capacity."""
        self._count = 0
        self.shrink()

    def shrink(self) -> None:
        """Reduce an empty buffer to its initial capacity."""
        if not self._count and self.extra_capacity:
            self._data = bytearray(self.initial_capacity)
            self.extra_capacity = 0
            self._head = 0

    def _resize(self, size: int) -> None:
        # Allocate a new block, as a pending write may still refer to the old one.
        data = bytearray(size)
        data[: self._count] = self.peek()
        self._data = data
        self.extra_capacity = size - self.initial_capacity
        self._head = 0
