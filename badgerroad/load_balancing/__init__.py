"""The decisions on workers: events and a clock in, actions out; no I/O, the standard library only."""
