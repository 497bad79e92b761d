"""What all sockets share: connection, ring, wheel and the HTTP/1.1 parser."""
