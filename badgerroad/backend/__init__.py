"""The backend sends requests to workers; each worker protocol has a module or package of its own."""
