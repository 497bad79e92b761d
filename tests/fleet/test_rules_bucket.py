"""The owner's token bucket: its invariant, and that no credit is counted twice."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from badgerroad.fleet.rules.bucket import MICRO_PER_REQUEST, Bucket


def test_new_term_starts_with_empty_level() -> None:
    bucket = Bucket(10 * MICRO_PER_REQUEST, 10 * MICRO_PER_REQUEST)
    assert (bucket.level, bucket.carryable) == (0, 10 * MICRO_PER_REQUEST)


def test_refill_converts_capacity_reserved_for_carried_over_credit() -> None:
    bucket = Bucket(10 * MICRO_PER_REQUEST, 10 * MICRO_PER_REQUEST)
    bucket.refill(4 * MICRO_PER_REQUEST)
    assert (bucket.level, bucket.carryable) == (4 * MICRO_PER_REQUEST, 6 * MICRO_PER_REQUEST)
    assert bucket.carry(9) == 6


def test_refill_stops_when_all_credit_is_granted() -> None:
    bucket = Bucket(10 * MICRO_PER_REQUEST, 0)
    bucket.refill(10 * MICRO_PER_REQUEST)
    bucket.grant(10 * MICRO_PER_REQUEST)
    bucket.refill(5 * MICRO_PER_REQUEST)
    assert bucket.level == 0
    bucket.spend(2 * MICRO_PER_REQUEST)
    bucket.refill(5 * MICRO_PER_REQUEST)
    assert bucket.level == 2 * MICRO_PER_REQUEST


def test_suspended_credit_keeps_its_capacity_until_it_is_forgotten() -> None:
    bucket = Bucket(10 * MICRO_PER_REQUEST, 0)
    bucket.refill(10 * MICRO_PER_REQUEST)
    bucket.grant(10 * MICRO_PER_REQUEST)
    bucket.suspend(10 * MICRO_PER_REQUEST)
    bucket.refill(5 * MICRO_PER_REQUEST)
    assert bucket.level == 0
    bucket.forget(10 * MICRO_PER_REQUEST)
    bucket.refill(5 * MICRO_PER_REQUEST)
    assert bucket.level == 5 * MICRO_PER_REQUEST


def test_lowering_the_depth_reduces_the_level_before_carryable_credit() -> None:
    bucket = Bucket(10 * MICRO_PER_REQUEST, 10 * MICRO_PER_REQUEST)
    bucket.refill(5 * MICRO_PER_REQUEST)
    bucket.set_depth(3 * MICRO_PER_REQUEST)
    assert (bucket.level, bucket.carryable) == (0, 3 * MICRO_PER_REQUEST)


class BucketHistory:
    """Applies random steps to a token bucket, and records the limits that its credit must not exceed.

    `budget`: the most usable credit that the bucket may hold, in millionths of a request. `deepest`: the largest depth
    of the bucket so far, in requests.
    """

    def __init__(self, depth: int) -> None:
        self.bucket = Bucket(depth * MICRO_PER_REQUEST, depth * MICRO_PER_REQUEST)
        self.deepest = depth
        self.budget = self.bucket.total

    def refill(self, count: int) -> None:
        self.bucket.refill(count * MICRO_PER_REQUEST)
        self.budget += count * MICRO_PER_REQUEST

    def grant(self, count: int) -> None:
        self.bucket.grant(min(count * MICRO_PER_REQUEST, self.bucket.level // MICRO_PER_REQUEST * MICRO_PER_REQUEST))

    def spend(self, count: int) -> None:
        spent = min(count * MICRO_PER_REQUEST, self.bucket.outstanding)
        self.bucket.spend(spent)
        self.budget -= spent

    def put_back(self, count: int) -> None:
        self.bucket.put_back(min(count * MICRO_PER_REQUEST, self.bucket.outstanding))

    def suspend(self, count: int) -> None:
        self.bucket.suspend(min(count * MICRO_PER_REQUEST, self.bucket.outstanding))

    def revive(self, count: int) -> None:
        self.bucket.revive(min(count * MICRO_PER_REQUEST, self.bucket.suspended))

    def forget(self, count: int) -> None:
        self.bucket.forget(min(count * MICRO_PER_REQUEST, self.bucket.suspended))

    def carry(self, count: int) -> None:
        assert self.bucket.carry(count) <= count

    def set_depth(self, count: int) -> None:
        self.bucket.set_depth(count * MICRO_PER_REQUEST)
        self.deepest = max(self.deepest, count)

    def end_carry_over(self, count: int) -> None:
        self.bucket.end_carry_over()

    STEPS = {
        "refill": refill,
        "grant": grant,
        "spend": spend,
        "put back": put_back,
        "suspend": suspend,
        "revive": revive,
        "forget": forget,
        "carry": carry,
        "depth": set_depth,
        "end carry-over": end_carry_over,
    }


STEPS = st.lists(
    st.tuples(
        st.sampled_from(list(BucketHistory.STEPS)),
        st.integers(0, 12),
    ),
    max_size=80,
)


@given(STEPS, st.integers(0, 10))
def test_usable_credit_grows_only_by_refill(steps: list[tuple[str, int]], depth: int) -> None:
    """Usable credit (level, outstanding, suspended, carryable) grows only by refill, within the largest depth so far.

    The quota bound of the fleet rests on this property.
    """
    history = BucketHistory(depth)
    bucket = history.bucket
    for step, count in steps:
        BucketHistory.STEPS[step](history, count)
        assert min(bucket.level, bucket.outstanding, bucket.suspended, bucket.carryable) >= 0
        assert bucket.total <= min(history.budget, history.deepest * MICRO_PER_REQUEST)
        if bucket.outstanding + bucket.suspended <= bucket.depth:
            assert bucket.total <= bucket.depth
