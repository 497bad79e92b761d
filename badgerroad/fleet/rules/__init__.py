"""The rules of the quota leases, without I/O, clocks or threads.

The caller passes in messages and times (whole microseconds of its monotonic clock) and performs the messages and
decisions that the rules return.
"""
