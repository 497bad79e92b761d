"""Token buckets that decide whether a request exceeds this dispatcher's share of its tenant's quota.

Each of N dispatchers has a bucket for each tenant. It is refilled at `quota / N` tokens a second, holds the refill of
one second but at least one token, and starts full. A request within the quota takes a token; one over it takes none.

**Bound.** In any window of T seconds, all N dispatchers together admit as within the quota at most

    quota * T + N * max(1, quota / N)

requests, since each bucket provides at most its depth at the start of the window plus the refill during it. If the
share of a dispatcher is below one request a second, a tenant can thus exceed its quota by up to N requests at once.

**Which requests are over quota.** A dispatcher with a share of at most one request a second that receives its even
part of Poisson traffic at the fraction `load` of the quota finds `load / (1 + load)` of it over quota: a third at half
the quota, as the second of two requests arrives before a token is refilled. With a larger share, fewer requests are
over quota. Traffic to only a tenth of the dispatchers uses a tenth of the buckets: half the quota is then five times
what these buckets admit, and about four fifths of the requests are over quota. Dispatchers that do not exchange their
counts cannot avoid this, as none knows that the others' buckets are full. `docs/quotas.md` has measured figures. The
buckets are not used for requests whose quota is decided externally (`Request.over_quota`).
"""

from . import interface

US_PER_S = 1e6
FILL_TIME_S = 1.0
"""Depth of a bucket, given as the time in which it is refilled (seconds)."""
MIN_DEPTH_REQUESTS = 1.0
"""Minimum depth of a bucket, so that it can hold a whole request at low rates."""


class QuotaBuckets:
    """The token buckets of this dispatcher, one for each tenant."""

    def __init__(self) -> None:
        """A bucket is created with the first request of its tenant."""
        self.buckets: dict[str, tuple[float, int]] = {}
        """Number of tokens, and the time when it was computed (microseconds), by tenant name."""

    def is_over(self, settings: interface.Settings, request: interface.Request, now: int) -> bool:
        """Return whether the request exceeds this dispatcher's share of the quota. If it does not, take a token for it.

        `now` is in microseconds. The result is always False if requests over quota have the same priority as others,
        or if the tenant has no quota.
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
        """Take a token from a bucket that is refilled with `rate` a second; return False if there is none."""
        depth = max(MIN_DEPTH_REQUESTS, rate * FILL_TIME_S)
        tokens, computed_at = self.buckets.get(tenant, (depth, now))
        tokens = min(tokens + (now - computed_at) * rate / US_PER_S, depth)
        is_within = tokens >= 1
        self.buckets[tenant] = (tokens - 1 if is_within else tokens, now)
        return is_within
