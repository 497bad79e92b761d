"""badgerroad: a dispatcher that sends render jobs to workers, by the policy of badgerroad.load_balancing."""

__version__ = "0.1.0"
