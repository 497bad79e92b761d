"""The buckets that decide whether a request exceeds this dispatcher's share of its tenant's quota.

Each of N dispatchers has a bucket for each tenant. It fills with `quota / N` requests a second, holds that of a second
but one whole request at least, and starts full. A request within the quota takes one; one over it takes nothing.

**Bound.** In any window of T seconds all N together find within the quota at most

    quota * T + N * max(1, quota / N)

requests: each bucket gives what it held at the window's start, at most its depth, and what flows in during it. So a
tenant can have up to N requests more than its quota at once, where a share is below one a second.

**Which requests are over.** A dispatcher that sees its even part of Poisson traffic at a load `load` of the quota finds
`load / (1 + load)` of it over where its share is at most one request a second: a third at half the quota, as the second
of two requests comes before one has flowed in. Where its share is more, fewer are over. Traffic that comes to a
tenth of the dispatchers has a tenth of the buckets: half the quota is five times what they admit, and some four fifths
are over. Without gossip between dispatchers that cannot be helped: none knows that the others' buckets stay full.
`docs/quotas.md` has measured figures. Where it is decided outside (`Request.over_quota`), these buckets are not used.
"""

from . import interface

US_PER_S = 1e6
FILL_TIME_S = 1.0
"""A bucket holds what flows in during this time,"""
MIN_DEPTH = 1.0
"""and so many requests at least."""


class QuotaBuckets:
    """This dispatcher's bucket of each tenant, by the tenant's name."""

    def __init__(self) -> None:
        """A bucket comes with its tenant's first request."""
        self.buckets: dict[str, tuple[float, int]] = {}
        """Requests left, and when that was computed (microseconds)."""

    def is_over(self, settings: interface.Settings, request: interface.Request, now: int) -> bool:
        """Count the request (`now` in microseconds); is it beyond this dispatcher's share of the quota?

        Never where requests over quota have the same priority as others, or the tenant has no quota.
        """
        if settings.over_quota_priority >= 1:
            return False
        if request.over_quota is not None:
            return request.over_quota
        if request.tenant >= len(settings.tenants):
            return False
        tenant = settings.tenants[request.tenant]
        rate = tenant.quota_per_s
        return rate > 0 and not self._take(tenant.name, rate / settings.dispatcher_count, now)

    def _take(self, tenant: str, rate: float, now: int) -> bool:
        """Take a request from the bucket that fills with `rate` a second; False: there is none."""
        depth = max(MIN_DEPTH, rate * FILL_TIME_S)
        tokens, computed_at = self.buckets.get(tenant, (depth, now))
        tokens = min(tokens + (now - computed_at) * rate / US_PER_S, depth)
        is_within = tokens >= 1
        self.buckets[tenant] = (tokens - 1 if is_within else tokens, now)
        return is_within
