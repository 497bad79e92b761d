"""A message that one parser has begun is completed by another one, as when its connection moves to another process."""

import pytest

from badgerroad.net.http1 import Parser
from badgerroad.net.ring_buffer import RingBuffer

FORMS = [
    b"POST /a HTTP/1.1\r\nContent-Length: 5\r\nX: y\r\n\r\nhello",
    b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;e=1\r\nlo\r\n0\r\nT: u\r\n\r\n",
]


@pytest.mark.parametrize("text", FORMS, ids=["content length", "chunked"])
def test_a_message_is_continued_by_another_parser_from_any_byte(text):
    for cut in range(len(text)):
        rings = RingBuffer(4096), RingBuffer(4096)
        first, second = Parser(rings[0]), Parser(rings[1])
        rings[0].put(text[:cut])
        assert first.next_message() is None
        rings[1].put(first.unconsumed_bytes())
        between = second.next_message()
        rings[1].put(text[cut:])
        message = between or second.next_message()
        assert message is not None
        assert message.body == b"hello"
        assert (message.method, message.path) == (b"POST", b"/a")
