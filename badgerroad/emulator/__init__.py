"""Simulation of the environment of dispatchers: clients, nodes, network and discovery.

`model` has no side effects outside the simulation: time comes from its kernel, random numbers from its draws, and
events are reported through callables. `virtual` runs decision modules on it in virtual time, without sockets; `live`
connects it to unchanged dispatcher processes over loopback sockets.
"""
