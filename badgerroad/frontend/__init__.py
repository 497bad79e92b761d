"""The frontend receives requests of clients; each client protocol has a module or package of its own."""
