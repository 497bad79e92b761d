"""The HTTP/1.1 parser: messages split at any byte, and rejection of ambiguous messages."""

import pytest

from badgerroad.net import http1
from badgerroad.net.ring_buffer import RingBuffer


def parse(data, step, responses=False):
    """Return all messages in `data`, which is parsed `step` bytes at a time."""
    ring_buffer = RingBuffer(http1.MESSAGE_LIMIT)
    parser, messages = http1.Parser(ring_buffer, responses), []
    for offset in range(0, len(data), step):
        ring_buffer.put(data[offset : offset + step])
        while (message := parser.next_message()) is not None:
            messages.append(message)
    return messages


@pytest.mark.parametrize("step", [1, 7, 1000])
def test_messages_are_parsed_however_they_are_split(step):
    requests = (
        b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
        b"POST /b HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n2;x=y\r\nde\r\n1\r\nf\r\n0\r\nT: v\r\n\r\n"
        b"\r\nGET /c HTTP/1.1\r\nConnection: close\r\n\r\n"
    )
    assert [(message.target, message.body, message.close) for message in parse(requests, step)] == [
        (b"/a", b"abc", False),
        (b"/b", b"def", False),
        (b"/c", b"", True),
    ]
    responses = b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 204 No\r\n\r\nHTTP/1.1 202 X\r\nContent-Length: 1\r\n\r\ny"
    parsed = parse(responses, step, responses=True)
    assert [(message.status, message.body) for message in parsed] == [(204, b""), (202, b"y")]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(
            b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400, id="length given twice"
        ),
        pytest.param(
            b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            id="length with chunks",
        ),
        pytest.param(b"POST /a HTTP/1.1\r\nContent-Length: -3\r\n\r\n", 400, id="negative length"),
        pytest.param(b"POST /a HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc", 400, id="space before colon"),
        pytest.param(b"POST /a HTTP/1.1\r\n folded: x\r\n\r\n", 400, id="folded header"),
        pytest.param(b"POST /a HTTP/1.1\nHost: x\n\r\n\r\n", 400, id="bare line feeds"),
        pytest.param(b"nonsense\r\n\r\n", 400, id="no request line"),
        pytest.param(b"POST /a HTTP/2.0\r\n\r\n", 505, id="other version"),
        pytest.param(
            b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, id="chunk size not a number"
        ),
        pytest.param(
            b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n", 400, id="chunk longer than its size"
        ),
        pytest.param(b"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413, id="body too large"),
        pytest.param(b"POST /a HTTP/1.1\r\nX: " + b"y" * 17000, 431, id="header too large"),
    ],
)
def test_ambiguous_or_oversized_messages_are_rejected(data, status):
    with pytest.raises(http1.BadMessageError) as caught:
        parse(data, 4096)
    assert caught.value.status == status


@pytest.mark.parametrize("blank_lines", [0, 3])
def test_a_head_that_arrives_in_small_pieces_is_searched_once(blank_lines):
    """Guards against a head that is copied and searched from its start at each piece: many slow clients held the loop."""
    searched = []

    class CountingBuffer(RingBuffer):
        def peek(self):
            searched.append(len(self))
            return super().peek()

        def find(self, pattern, start=0):
            searched.append(len(self) - start)
            return super().find(pattern, start)

    ring_buffer = CountingBuffer(http1.MESSAGE_LIMIT)
    parser = http1.Parser(ring_buffer)
    data = b"\r\n" * blank_lines + b"GET / HTTP/1.1\r\nX: " + b"x" * 15_000 + b"\r\n\r\n"
    messages = []
    for start in range(0, len(data), 10):
        ring_buffer.put(data[start : start + 10])
        messages.append(parser.next_message())
    assert messages[-1].headers == [(b"x", b"x" * 15_000)]
    assert messages[:-1] == [None] * (len(messages) - 1)
    assert sum(searched) < 3 * len(data)


@pytest.mark.parametrize("responses", [False, True], ids=["request", "response"])
def test_a_message_may_have_100_header_fields_and_no_more(responses):
    """Guards against heads of very many short fields, which took 25 times the memory of their bytes."""
    first_line = b"HTTP/1.1 204 X\r\n" if responses else b"GET / HTTP/1.1\r\n"
    (message,) = parse(first_line + b"a:\r\n" * 100 + b"\r\n", 10_000, responses)
    assert len(message.headers) == 100
    with pytest.raises(http1.BadMessageError, match="too many fields") as caught:
        parse(first_line + b"a:\r\n" * 101 + b"\r\n", 10_000, responses)
    assert caught.value.status == 431


@pytest.mark.parametrize("chunk_size", [1, 2, 3, 50, 1_000, 65_536])
@pytest.mark.parametrize("piece_size", [7, 4_096, 10**6])
def test_a_body_in_chunks_of_any_size_that_arrives_in_any_pieces_is_decoded(chunk_size, piece_size):
    body = bytes(range(256)) * (256 if piece_size > 7 else 8)
    chunks = [body[start : start + chunk_size] for start in range(0, len(body), chunk_size)]
    data = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    data += b"".join(b"%X;a=b\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks[:9])
    data += b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks[9:]) + b"0\r\nTrailer: 1\r\n\r\n"
    buffer = RingBuffer(80 * 1024)
    parser = http1.Parser(buffer)
    message = None
    for start in range(0, len(data), piece_size):
        piece = data[start : start + piece_size]
        while piece:
            count = min(len(piece), buffer.limit - len(buffer))
            buffer.put(piece[:count])
            piece = piece[count:]
            message = parser.next_message()
    assert message is not None
    assert message.body == body
    assert parser.idle


@pytest.mark.parametrize(
    "rest",
    [b"1;" + b"x" * 10_000 + b"\r\nx\r\n", b"0\r\n" + b"Trailer: x\r\n" * 1_000],
    ids=["long extensions", "trailers"],
)
def test_a_body_whose_framing_never_ends_is_rejected(rest):
    """Guards against one request that takes any amount of processor time."""
    buffer = RingBuffer(80 * 1024)
    parser = http1.Parser(buffer)
    buffer.put(b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")

    def parse_for_ever(part):
        for _ in range(1_000):
            buffer.put(part)
            parser.next_message()
            part = part.removeprefix(b"0\r\n")

    with pytest.raises(http1.BadMessageError) as error:
        parse_for_ever(rest)
    assert error.value.status == 400
