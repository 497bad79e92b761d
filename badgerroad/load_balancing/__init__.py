"""The load-balancing policy: takes events and a clock, returns actions. No I/O; uses the standard library only."""
