"""Credit by cumulative counters: both ends, and messages that are lost, repeated or late."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from badgerroad.fleet.rules.credits import LATE_WINDOW, GrantorCredit, HolderCredit, Progress, is_newest
from badgerroad.fleet.rules.sharing import FairShares


def test_what_is_granted_is_outstanding_until_it_is_reported() -> None:
    credit = GrantorCredit()
    credit.grant(5)
    assert credit.report(2, 1) == Progress(2, 1)
    assert credit.outstanding == 2


def test_a_report_repeated_or_late_adds_nothing() -> None:
    credit = GrantorCredit()
    credit.grant(5)
    credit.report(3, 1)
    assert credit.report(3, 1) == credit.report(1, 0) == Progress(0, 0)
    assert credit.outstanding == 1


def test_what_was_written_off_adds_nothing_when_it_is_reported_after_all() -> None:
    credit = GrantorCredit()
    credit.grant(5)
    credit.report(1, 0)
    assert credit.write_off() == 4
    credit.grant(2)
    assert credit.report(4, 1) == Progress(0, 0)
    assert credit.report(5, 2) == Progress(1, 1)
    assert credit.outstanding == 0


def test_totals_beyond_what_was_granted_are_ignored() -> None:
    credit = GrantorCredit()
    credit.grant(5)
    assert credit.report(1 << 62, 0) == credit.report(3, 3) == Progress(0, 0)
    assert credit.outstanding == 5
    assert credit.report(2, 3) == Progress(2, 3)


def test_a_forgotten_account_adopts_the_totals_of_the_other_side() -> None:
    credit = GrantorCredit()
    credit.begin_anew(40, 2)
    assert (credit.granted, credit.outstanding) == (42, 0)
    credit.grant(3)
    assert credit.report(41, 2) == Progress(1, 0)


def test_an_account_adopts_no_totals_while_credit_is_outstanding_nor_implausible_ones() -> None:
    credit = GrantorCredit()
    credit.begin_anew(1 << 62, 0)
    assert credit.granted == 0
    credit.grant(3)
    credit.begin_anew(40, 2)
    assert (credit.granted, credit.outstanding) == (3, 3)


@given(st.integers(0, 1 << 62), st.integers(0, 1 << 62))
def test_a_number_far_ahead_does_not_hide_the_newest_message(known: int, number: int) -> None:
    assert is_newest(number, known) or 0 < known - number <= LATE_WINDOW


def test_a_total_of_grants_repeated_or_late_adds_nothing() -> None:
    held = HolderCredit()
    assert [held.take(total) for total in (3, 3, 1, 5)] == [3, 0, 0, 2]
    assert held.unused == 5


@given(
    st.lists(
        st.tuples(st.sampled_from(["grant", "use", "return", "tell", "ask", "write off"]), st.integers(0, 5)),
        max_size=60,
    ),
    st.randoms(),
)
def test_the_holder_never_has_more_than_the_grantor_counts_as_outstanding(steps, random) -> None:  # type: ignore[no-untyped-def]
    """Messages both ways arrive late, in any order, several times or never. After a write-off the holder's lease has
    ended, so it counts what it held as returned."""
    granted, held = GrantorCredit(), HolderCredit()
    grants: list[int] = [0]
    reports: list[tuple[int, int]] = [(0, 0)]
    for step, count in steps:
        if step == "grant":
            granted.grant(count)
            grants.append(granted.granted)
        elif step == "use":
            held.use(min(count, held.unused))
        elif step == "return":
            held.give_back(min(count, held.unused))
        elif step == "tell":
            held.take(random.choice(grants))
        elif step == "write off":
            held.take(granted.granted)
            held.give_back(held.unused)
            granted.write_off()
        else:
            reports.append((held.used, held.returned))
            before = granted.outstanding
            progress = granted.report(*random.choice(reports))
            assert min(progress) >= 0
            assert before - granted.outstanding == sum(progress)
        assert 0 <= held.unused <= granted.outstanding


@given(st.dictionaries(st.integers(0, 5), st.integers(1, 20), min_size=1), st.lists(st.integers(0, 30), max_size=30))
def test_shares_never_exceed_what_there_is_nor_what_is_needed(needs: dict[int, int], amounts: list[int]) -> None:
    shares: FairShares[int] = FairShares()
    for available in amounts:
        given_out = shares.share(available, needs)
        assert sum(given_out.values()) == min(available, sum(needs.values()))
        assert all(0 <= given_out[key] <= needs[key] for key in needs)


@given(st.dictionaries(st.integers(0, 9), st.integers(1, 50), min_size=2, max_size=10))
def test_single_requests_go_around_in_proportion_to_need(needs: dict[int, int]) -> None:
    shares: FairShares[int] = FairShares()
    got = dict.fromkeys(needs, 0)
    rounds = sum(needs.values()) * 4
    for _ in range(rounds):
        for key, count in shares.share(1, needs).items():
            got[key] += count
    total = sum(needs.values())
    if total > 1:
        assert all(abs(got[key] - rounds * needs[key] / total) <= 2 for key in needs)
