"""A byte ring that starts small, grows to a limit and shrinks when empty.

Two full-size rings for each connection would not fit in the dispatcher's memory, and nearly all connections
are idle or carry a few hundred bytes.
"""

from __future__ import annotations

INITIAL_CAPACITY = 1024


class RingBuffer:
    def __init__(self, limit: int, initial_capacity: int = INITIAL_CAPACITY) -> None:
        self.limit, self.initial_capacity = limit, min(initial_capacity, limit)
        self._data = bytearray(self.initial_capacity)
        self._head, self._count = 0, 0

    def __len__(self) -> int:
        return self._count

    @property
    def capacity(self) -> int:
        return len(self._data)

    @property
    def full(self) -> bool:
        return self._count >= self.limit

    def writable(self) -> memoryview:
        """The next free stretch, in one piece; grows a full ring. Empty once the limit is reached."""
        if self._count == len(self._data) < self.limit:
            self._resize(min(len(self._data) * 2, self.limit))
        size = len(self._data)
        start = (self._head + self._count) % size
        end = size if start >= self._head else self._head
        return memoryview(self._data)[start : min(end, start + size - self._count)]

    def commit(self, count: int) -> None:
        """`count` bytes were written to the stretch that `writable` gave."""
        self._count += count

    def put(self, data: bytes) -> None:
        need = self._count + len(data)
        if need > self.limit:
            raise ValueError(f"{need} bytes do not fit in a ring of {self.limit}")
        if need > len(self._data):
            size = len(self._data)
            while size < need:
                size *= 2
            self._resize(min(size, self.limit))
        at = 0
        while at < len(data):
            view = self.writable()
            part = data[at : at + len(view)]
            view[: len(part)] = part
            self.commit(len(part))
            at += len(part)

    def readable(self) -> memoryview:
        """The first filled stretch, in one piece."""
        return memoryview(self._data)[self._head : min(self._head + self._count, len(self._data))]

    def peek(self) -> bytes:
        return self._copy(self._count)

    def _copy(self, count: int) -> bytes:
        end, size = self._head + count, len(self._data)
        if end <= size:  # in one piece, as nearly always: one copy
            return bytes(memoryview(self._data)[self._head : end])
        return bytes(memoryview(self._data)[self._head :]) + bytes(memoryview(self._data)[: end - size])

    def take(self, count: int) -> bytes:
        count = min(count, self._count)
        data = self._copy(count)
        self.skip(count)
        return data

    def skip(self, count: int) -> None:
        """Take without a copy."""
        count = min(count, self._count)
        self._count -= count
        self._head = (self._head + count) % len(self._data) if self._count else 0

    def shrink(self) -> None:
        """Give the memory of a large message back. Not while a read into the ring is pending."""
        if not self._count and len(self._data) > self.initial_capacity:
            self._data, self._head = bytearray(self.initial_capacity), 0

    def _resize(self, size: int) -> None:
        # A new block, as the old one may still be lent out to a write on its way.
        data = bytearray(size)
        data[: self._count] = self.peek()
        self._data, self._head = data, 0
