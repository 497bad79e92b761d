"""Measures the share of a tenant's requests that are over quota at half the quota, in virtual time.

    python -m benchmarks.quota_buckets

Poisson traffic goes to all dispatchers or to a tenth of them. Three rules are compared: an earlier one (the depth is the
share of a second, even below one request, and a request over quota empties the bucket), the same with a depth of at
least one request, and badgerroad/load_balancing/quota.py. Prints the mean of the seeds, with minimum and maximum.
"""

import random

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.quota import QuotaBuckets

CASES = ((3, 1.0), (20, 20.0), (200, 20.0), (200, 450.0))
REQUESTS = 20_000
SEEDS = range(1, 6)
SEC = 1_000_000


class EmptyingBuckets:
    """The earlier rule, with a minimum depth of the buckets."""

    def __init__(self, min_depth):
        self.min_depth, self.tokens, self.computed_at = min_depth, None, 0

    def is_over(self, settings, request, now):
        rate = settings.tenants[0].quota_per_s / settings.dispatcher_count
        depth = max(rate, self.min_depth)
        tokens = depth if self.tokens is None else self.tokens
        tokens = min(tokens + (now - self.computed_at) * rate / SEC, depth) - 1
        self.tokens, self.computed_at = max(tokens, 0.0), now
        return tokens < 0


RULES = {
    "before": lambda: EmptyingBuckets(0.0),
    "depth of one only": lambda: EmptyingBuckets(1.0),
    "now": QuotaBuckets,
}


def share_over(dispatchers, quota, receiving, seed, rule="now", load=0.5):
    """Return the share of requests over quota, with traffic of `load` times the quota to `receiving` of the dispatchers."""
    rng = random.Random(seed)
    settings = interface.Settings(
        (interface.RequestClass("c"),),
        tenants=(interface.Tenant("team", quota),),
        dispatcher_count=dispatchers,
        over_quota_priority=0.1,
    )
    buckets = [RULES[rule]() for _ in range(receiving)]
    request, now, over = interface.Request(1), float(SEC), 0
    for _ in range(REQUESTS):
        now += rng.expovariate(load * quota) * SEC
        over += rng.choice(buckets).is_over(settings, request, int(now))
    return over / REQUESTS


def main():
    print("| dispatchers | quota/s | traffic at | " + " | ".join(RULES) + " |")
    print("| --- | --- | --- |" + " --- |" * len(RULES))
    for dispatchers, quota in CASES:
        for receiving in (dispatchers, max(dispatchers // 10, 1)):
            cells = []
            for rule in RULES:
                shares = [share_over(dispatchers, quota, receiving, seed, rule) for seed in SEEDS]
                mean = sum(shares) / len(shares)
                cells.append(f"{mean:.3f} ({min(shares):.3f} to {max(shares):.3f})")
            print(f"| {dispatchers} | {quota:g} | {receiving} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
