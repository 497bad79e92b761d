"""The retry budget: a limit on retries, whatever the decisions ask for. Not imported unless the operator sets it."""
