"""An owner's bucket: its invariant, and that credit is never there twice."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from badgerroad.fleet.rules.bucket import MICRO, Bucket


def test_a_new_term_begins_with_nothing_to_grant() -> None:
    bucket = Bucket(10 * MICRO, 10 * MICRO)
    assert (bucket.level, bucket.unknown) == (0, 10 * MICRO)


def test_refill_replaces_credit_that_might_still_be_carried_over() -> None:
    bucket = Bucket(10 * MICRO, 10 * MICRO)
    bucket.refill(4 * MICRO)
    assert (bucket.level, bucket.unknown) == (4 * MICRO, 6 * MICRO)
    assert bucket.carry(9) == 6


def test_refill_stops_when_all_credit_is_granted() -> None:
    bucket = Bucket(10 * MICRO, 0)
    bucket.refill(10 * MICRO)
    bucket.grant(10 * MICRO)
    bucket.refill(5 * MICRO)
    assert bucket.level == 0
    bucket.spend(2 * MICRO)
    bucket.refill(5 * MICRO)
    assert bucket.level == 2 * MICRO


def test_credit_of_a_lost_session_keeps_its_capacity_until_it_is_forgotten() -> None:
    bucket = Bucket(10 * MICRO, 0)
    bucket.refill(10 * MICRO)
    bucket.grant(10 * MICRO)
    bucket.suspend(10 * MICRO)
    bucket.refill(5 * MICRO)
    assert bucket.level == 0
    bucket.forget(10 * MICRO)
    bucket.refill(5 * MICRO)
    assert bucket.level == 5 * MICRO


def test_a_lower_depth_cuts_the_level_at_once_and_before_what_might_be_carried_over() -> None:
    bucket = Bucket(10 * MICRO, 10 * MICRO)
    bucket.refill(5 * MICRO)
    bucket.set_depth(3 * MICRO)
    assert (bucket.level, bucket.unknown) == (0, 3 * MICRO)


class BucketHistory:
    """A bucket under random steps. `budget`: credit that there may be; `deepest`: the largest depth so far, in requests."""

    def __init__(self, depth: int) -> None:
        self.bucket = Bucket(depth * MICRO, depth * MICRO)
        self.deepest = depth
        self.budget = self.bucket.total

    def refill(self, count: int) -> None:
        self.bucket.refill(count * MICRO)
        self.budget += count * MICRO

    def grant(self, count: int) -> None:
        self.bucket.grant(min(count * MICRO, self.bucket.level // MICRO * MICRO))

    def spend(self, count: int) -> None:
        spent = min(count * MICRO, self.bucket.outstanding)
        self.bucket.spend(spent)
        self.budget -= spent

    def put_back(self, count: int) -> None:
        self.bucket.put_back(min(count * MICRO, self.bucket.outstanding))

    def suspend(self, count: int) -> None:
        self.bucket.suspend(min(count * MICRO, self.bucket.outstanding))

    def revive(self, count: int) -> None:
        self.bucket.revive(min(count * MICRO, self.bucket.suspended))

    def forget(self, count: int) -> None:
        self.bucket.forget(min(count * MICRO, self.bucket.suspended))

    def carry(self, count: int) -> None:
        assert self.bucket.carry(count) <= count

    def set_depth(self, count: int) -> None:
        self.bucket.set_depth(count * MICRO)
        self.deepest = max(self.deepest, count)

    def forget_unknown(self, count: int) -> None:
        self.bucket.forget_unknown()

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
        "unknown": forget_unknown,
    }


STEPS = st.lists(
    st.tuples(
        st.sampled_from(list(BucketHistory.STEPS)),
        st.integers(0, 12),
    ),
    max_size=80,
)


@given(STEPS, st.integers(0, 10))
def test_credit_grows_by_refill_alone(steps: list[tuple[str, int]], depth: int) -> None:
    """The bound's core: usable credit (level, outstanding, and what might come back) grows by refill alone, and fits in
    the deepest depth that there was."""
    history = BucketHistory(depth)
    bucket = history.bucket
    for step, count in steps:
        BucketHistory.STEPS[step](history, count)
        assert min(bucket.level, bucket.outstanding, bucket.suspended, bucket.unknown) >= 0
        assert bucket.total <= min(history.budget, history.deepest * MICRO)
        if bucket.outstanding + bucket.suspended <= bucket.depth:
            assert bucket.total <= bucket.depth
