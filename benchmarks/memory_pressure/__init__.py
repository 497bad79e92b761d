"""Memory of one dispatcher process, and the answers to its usual clients, while other clients misbehave."""
