"""A minimal reader and writer of HTTP/1.1 messages for the stand-ins."""

REASONS = {200: "OK", 202: "Accepted", 204: "No Content", 404: "Not Found", 503: "Service Unavailable"}


class Message:
    """One request or response: the first line, the headers by lower-case name, and the body."""

    def __init__(self, first_line, headers, body):
        """Store the parts."""
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """The status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader):
    """Read one message; raises asyncio.IncompleteReadError or ConnectionError at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = head.strip().split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(first_line, headers, body)


def response(status, body=b"", extra=""):
    """Return a response with a body; `extra` holds further header lines, each with its line end."""
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    return head.encode() + body


def request(method, target, headers, body=b""):
    """Return a request with a body."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {target} HTTP/1.1\r\nHost: app.svc\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body
