"""A partly parsed message is continued by another parser, as when its connection moves to another process."""

import pytest

from badgerroad.net.http1 import Parser
from badgerroad.net.ring_buffer import RingBuffer

MESSAGES = [
    b"POST /a HTTP/1.1\r\nContent-Length: 5\r\nX: y\r\n\r\nhello",
    b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;e=1\r\nlo\r\n0\r\nT: u\r\n\r\n",
]


@pytest.mark.parametrize("text", MESSAGES, ids=["content length", "chunked"])
def test_a_message_is_continued_by_another_parser_from_any_byte(text):
    for cut in range(len(text)):
        buffers = RingBuffer(4096), RingBuffer(4096)
        first, second = Parser(buffers[0]), Parser(buffers[1])
        buffers[0].put(text[:cut])
        assert first.next_message() is None
        buffers[1].put(first.unconsumed_bytes())
        early_message = second.next_message()
        buffers[1].put(text[cut:])
        message = early_message or second.next_message()
        assert message is not None
        assert message.body == b"hello"
        assert (message.method, message.path) == (b"POST", b"/a")
