"""Networking code shared by the other packages: connections, ring buffer, timer wheel, HTTP/1.1, channels and logs."""
