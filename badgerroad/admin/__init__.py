"""The second address: where operators ask whether this process accepts clients, and for its metrics."""
