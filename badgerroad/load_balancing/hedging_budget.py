"""Limits the rate of hedged requests. The policy decides which request is hedged, and where."""

MIN_TOKENS_PER_REQUEST = 0.1
"""Minimum number of tokens that each first attempt adds (if its request has a hint), however many requests wait."""
MAX_TOKENS = 4.0
"""Maximum number of tokens in the bucket."""
DECREASE_FACTOR = 0.8
INCREASE_STEP = 0.02
SHARE_WITHOUT_HINT = 0.1
"""Tokens added by a request without a work hint, as a fraction of the tokens of a request with a work hint."""


class HedgingBudget:
    """A token bucket: each first attempt adds a fraction of a token, and each hedged request takes a whole one.

    Some workers run cancelled attempts anyway, and do not report this. If most requests have to wait for a slot,
    hedging may be the cause, so the rate of hedged requests is reduced.
    """

    def __init__(self) -> None:
        """The bucket starts full."""
        self.tokens_per_request = 1.0
        self.tokens = MAX_TOKENS

    def add_request(self, without_hint: bool) -> None:
        """Add the tokens of a first attempt; `without_hint` tells whether its request has no work hint."""
        earned = self.tokens_per_request * (SHARE_WITHOUT_HINT if without_hint else 1)
        self.tokens = min(self.tokens + earned, MAX_TOKENS)

    def adapt(self, most_requests_queue: bool) -> None:
        """Decrease the refill if most requests queue, else increase it. Called when a hedged request is considered."""
        if most_requests_queue:
            self.tokens_per_request = max(self.tokens_per_request * DECREASE_FACTOR, MIN_TOKENS_PER_REQUEST)
        else:
            self.tokens_per_request = min(self.tokens_per_request + INCREASE_STEP, 1.0)
