"""The admin listener, which serves readiness and metrics to operators at an address of its own."""
