"""How many hedged requests may be sent. Which request is hedged, and where, is decided by the policy."""

MIN_TOKENS_PER_REQUEST = 0.1
"""Hedged requests that each first attempt allows at least, however crowded the workers are."""
MAX_TOKENS = 4.0
"""Unused hedged requests that are saved up at most."""
CROWDED_FACTOR = 0.8
RECOVERY_STEP = 0.02
SHARE_WITHOUT_HINT = 0.1
"""What a request without a work hint allows, as a part of what another one allows."""


class HedgingBudget:
    """A token bucket: each first attempt adds a part of a token; a hedged request takes a whole one.

    Not every worker drops what is cancelled, and nothing reports it: where most requests wait, hedging may be the
    cause, and is made rarer.
    """

    def __init__(self) -> None:
        """The bucket starts full."""
        self.tokens_per_request = 1.0
        self.tokens = MAX_TOKENS

    def add_request(self, without_hint: bool) -> None:
        """A first attempt goes out; `without_hint`: its request has no work hint."""
        earned = self.tokens_per_request * (SHARE_WITHOUT_HINT if without_hint else 1)
        self.tokens = min(self.tokens + earned, MAX_TOKENS)

    def adapt(self, crowded: bool) -> None:
        """A request was considered for hedging while most requests wait (crowded) or not."""
        if crowded:
            self.tokens_per_request = max(self.tokens_per_request * CROWDED_FACTOR, MIN_TOKENS_PER_REQUEST)
        else:
            self.tokens_per_request = min(self.tokens_per_request + RECOVERY_STEP, 1.0)
