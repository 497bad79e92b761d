"""The project's own model of all that a dispatcher meets, in virtual time and behind loopback sockets.

`model` is pure: time comes from its kernel, chance from its draws, and what happens goes out through callables.
`virtual` hosts decision modules on it without sockets; `live` puts unchanged dispatcher processes round it.
"""
