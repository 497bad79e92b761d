"""Deterministic simulation of the fleet's quota leases in virtual time, without sockets or real clocks."""
