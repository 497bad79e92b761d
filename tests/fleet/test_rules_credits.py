"""Credit accounts by cumulative counters: both sides, with lost, repeated and late messages."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from badgerroad.fleet.rules.credits import LATE_WINDOW, GrantorCredit, HolderCredit, Progress, is_newest
from badgerroad.fleet.rules.sharing import FairShares


def test_granted_credit_is_outstanding_until_it_is_reported() -> None:
    credit = GrantorCredit()
    credit.grant(5)
    assert credit.report(2, 1) == Progress(2, 1)
    assert credit.outstanding == 2


def test_repeated_or_late_report_changes_nothing() -> None:
    credit = GrantorCredit()
    credit.grant(5)
    credit.report(3, 1)
    assert credit.report(3, 1) == credit.report(1, 0) == Progress(0, 0)
    assert credit.outstanding == 1


def test_written_off_credit_is_not_counted_again_when_it_is_reported() -> None:
    credit = GrantorCredit()
    credit.grant(5)
    credit.report(1, 0)
    assert credit.write_off() == 4
    credit.grant(2)
    assert credit.report(4, 1) == Progress(0, 0)
    assert credit.report(5, 2) == Progress(1, 1)
    assert credit.outstanding == 0


def test_totals_above_the_granted_total_are_ignored() -> None:
    credit = GrantorCredit()
    credit.grant(5)
    assert credit.report(1 << 62, 0) == credit.report(3, 3) == Progress(0, 0)
    assert credit.outstanding == 5
    assert credit.report(2, 3) == Progress(2, 3)


def test_dropped_account_adopts_the_totals_of_the_holder() -> None:
    credit = GrantorCredit()
    credit.adopt_totals(40, 2)
    assert (credit.granted, credit.outstanding) == (42, 0)
    credit.grant(3)
    assert credit.report(41, 2) == Progress(1, 0)


def test_implausible_totals_and_totals_during_outstanding_credit_are_not_adopted() -> None:
    credit = GrantorCredit()
    credit.adopt_totals(1 << 62, 0)
    assert credit.granted == 0
    credit.grant(3)
    credit.adopt_totals(40, 2)
    assert (credit.granted, credit.outstanding) == (3, 3)


@given(st.integers(0, 1 << 62), st.integers(0, 1 << 62))
def test_number_far_too_high_does_not_block_later_messages(known: int, number: int) -> None:
    assert is_newest(number, known) or 0 < known - number <= LATE_WINDOW


def test_repeated_or_late_granted_total_changes_nothing() -> None:
    holder = HolderCredit()
    assert [holder.take(total) for total in (3, 3, 1, 5)] == [3, 0, 0, 2]
    assert holder.unused == 5


@given(
    st.lists(
        st.tuples(st.sampled_from(["grant", "use", "return", "deliver", "report", "write off"]), st.integers(0, 5)),
        max_size=60,
    ),
    st.randoms(),
)
def test_holder_never_has_more_than_the_grantor_counts_as_outstanding(steps, random) -> None:  # type: ignore[no-untyped-def]
    """Messages in both directions arrive late, in any order, several times or never.

    At a write-off the holder's lease has ended, so the holder counts its unused credit as returned.
    """
    grantor, holder = GrantorCredit(), HolderCredit()
    grants: list[int] = [0]
    reports: list[tuple[int, int]] = [(0, 0)]
    for step, count in steps:
        if step == "grant":
            grantor.grant(count)
            grants.append(grantor.granted)
        elif step == "use":
            holder.use(min(count, holder.unused))
        elif step == "return":
            holder.give_back(min(count, holder.unused))
        elif step == "deliver":
            holder.take(random.choice(grants))
        elif step == "write off":
            holder.take(grantor.granted)
            holder.give_back(holder.unused)
            grantor.write_off()
        else:
            reports.append((holder.used, holder.returned))
            before = grantor.outstanding
            progress = grantor.report(*random.choice(reports))
            assert min(progress) >= 0
            assert before - grantor.outstanding == sum(progress)
        assert 0 <= holder.unused <= grantor.outstanding


@given(st.dictionaries(st.integers(0, 5), st.integers(1, 20), min_size=1), st.lists(st.integers(0, 30), max_size=30))
def test_shares_never_exceed_the_available_or_the_needed_amount(needs: dict[int, int], amounts: list[int]) -> None:
    shares: FairShares[int] = FairShares()
    for available in amounts:
        given_out = shares.share(available, needs)
        assert sum(given_out.values()) == min(available, sum(needs.values()))
        assert all(0 <= given_out[key] <= needs[key] for key in needs)


@given(st.dictionaries(st.integers(0, 9), st.integers(1, 50), min_size=2, max_size=10))
def test_single_requests_are_shared_over_time_in_proportion_to_need(needs: dict[int, int]) -> None:
    shares: FairShares[int] = FairShares()
    got = dict.fromkeys(needs, 0)
    rounds = sum(needs.values()) * 4
    for _ in range(rounds):
        for key, count in shares.share(1, needs).items():
            got[key] += count
    total = sum(needs.values())
    if total > 1:
        assert all(abs(got[key] - rounds * needs[key] / total) <= 2 for key in needs)
