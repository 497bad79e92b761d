"""Stand-ins for the clients, the workers and discovery of a dispatcher, and the start of the dispatcher itself.

They follow the users' protocol page, use the standard library only, and listen on loopback addresses at free ports.
"""
