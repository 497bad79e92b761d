"""The voter, and the view of owners that its tables give."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from rules_setup import MS, START, S, fleet

from badgerroad.fleet.messages import Claim, Holding, OwnerAnnouncement, VoteRelease, VoteReply, VoteRequest
from badgerroad.fleet.rules.actions import Peer
from badgerroad.fleet.rules.view import Owner, View
from badgerroad.fleet.rules.voter import Voter

A, B = Peer("c0", 1), Peer("c1", 1)
SETTINGS = fleet()
AWAKE = START + SETTINGS.longer(5 * S)  # when a voter that started at START votes


def ask(voter: Voter, now: int, candidate: Peer, term: int, duration_ms: int = 5000) -> VoteReply:
    return voter.vote(now, candidate, VoteRequest(7, (Claim(0, term),), duration_ms))


def grants(voter: Voter, now: int, candidate: Peer, term: int, duration_ms: int = 5000) -> bool:
    return ask(voter, now, candidate, term, duration_ms).granted == (0,)


def test_a_voter_grants_nothing_for_a_lease_after_its_start_but_answers() -> None:
    voter = Voter(SETTINGS, START)
    reply = ask(voter, AWAKE - 1, A, 1)
    assert reply.granted == ()
    assert reply.sequence == 7
    assert grants(voter, AWAKE, A, 1)


def test_a_restarted_voter_outwaits_the_grants_it_lost() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, AWAKE, A, 1)
    restarted = Voter(SETTINGS, AWAKE + 1)
    assert not grants(restarted, AWAKE + SETTINGS.longer(5 * S), B, 2)
    assert grants(restarted, AWAKE + SETTINGS.longer(5 * S) + 1, B, 2)


def test_a_shard_is_granted_to_one_at_a_time() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, AWAKE, A, 1)
    end = AWAKE + SETTINGS.longer(5 * S)
    assert not grants(voter, end - 1, B, 2)
    assert grants(voter, end, B, 2)


def test_another_incarnation_of_the_same_name_is_another_candidate() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, AWAKE, A, 1)
    assert not grants(voter, AWAKE + S, Peer("c0", 2), 2)


def test_a_renewal_keeps_its_term_and_lengthens_the_grant() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, AWAKE, A, 1)
    assert grants(voter, AWAKE + 2 * S, A, 1)
    assert not grants(voter, AWAKE + SETTINGS.longer(5 * S), B, 2)


def test_a_term_that_another_has_had_is_never_granted() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, AWAKE, A, 5)
    later = AWAKE + 20 * S
    assert not grants(voter, later, B, 5)
    assert not grants(voter, later, B, 4)
    assert grants(voter, later, B, 6)


def test_a_release_frees_the_grant_of_exactly_its_term_and_holder() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, AWAKE, A, 5)
    voter.release(B, VoteRelease((Claim(0, 5),)))
    voter.release(A, VoteRelease((Claim(0, 4),)))
    assert not grants(voter, AWAKE + 1, B, 6)
    voter.release(A, VoteRelease((Claim(0, 5),)))
    assert grants(voter, AWAKE + 1, B, 6)


def test_a_renewal_that_arrives_after_its_release_is_refused() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, AWAKE, A, 5)
    voter.release(A, VoteRelease((Claim(0, 5),)))
    assert not grants(voter, AWAKE + 1, A, 5)
    assert grants(voter, AWAKE + 1, B, 6)


def test_a_late_release_of_an_older_term_frees_nothing() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, AWAKE, A, 5)
    assert grants(voter, AWAKE, A, 6)
    voter.release(A, VoteRelease((Claim(0, 5),)))
    assert not grants(voter, AWAKE + 1, B, 7)


def test_a_lease_longer_than_all_agreed_on_is_not_granted() -> None:
    assert not grants(Voter(SETTINGS, START), AWAKE, A, 1, duration_ms=5001)


def test_a_shard_that_the_settings_do_not_have_is_not_granted() -> None:
    reply = Voter(SETTINGS, START).vote(AWAKE, A, VoteRequest(1, (Claim(1, 1),), 5000))
    assert reply.granted == ()
    assert reply.table == ()


def test_the_table_has_holder_term_and_remaining_time_and_keeps_the_term_after_the_end() -> None:
    voter = Voter(SETTINGS, START)
    ask(voter, AWAKE, A, 5)
    (holding,) = voter.table(AWAKE + 1 * S)
    assert holding == Holding(0, 5, "c0", 1, holding.left_ms)
    assert 4100 < holding.left_ms < 4200
    assert voter.table(AWAKE + 6 * S) == (Holding(0, 5, "", 0, 0),)


STEPS = st.lists(
    st.tuples(
        st.integers(0, 2), st.integers(1, 6), st.integers(0, 3 * S), st.sampled_from(["ask", "release", "restart"])
    ),
    max_size=40,
)


@given(STEPS)
def test_no_two_candidates_have_a_voters_grant_at_once(steps: list[tuple[int, int, int, str]]) -> None:
    voter, now = Voter(SETTINGS, START), AWAKE
    held: dict[Peer, tuple[int, int]] = {}  # as the candidates count it: term and end, from the sending time
    for number, term, wait, step in steps:
        candidate = Peer(f"c{number}", 1)
        now += wait
        if step == "restart":
            voter = Voter(SETTINGS, now)
        elif step == "release":
            if held.get(candidate, (0, 0))[0] == term:
                del held[candidate]
            voter.release(candidate, VoteRelease((Claim(0, term),)))
        elif grants(voter, now, candidate, term):
            assert not [peer for peer, (_, end) in held.items() if peer != candidate and now < end]
            held[candidate] = (term, now + 5 * S)


def holding(term: int, peer: Peer) -> tuple[Holding, ...]:
    return (Holding(0, term, peer.name, peer.incarnation, 4000),)


def test_one_voters_word_makes_no_owner_and_a_majoritys_does() -> None:
    view = View(SETTINGS)
    view.receive_table(START, "c0", holding(3, A))
    assert view.owner_of(START, 0) is None
    view.receive_table(START, "c1", holding(3, A))
    assert view.owner_of(START, 0) == Owner(A, 3)
    assert view.owner_of(START + 4 * S, 0) is None


def test_an_announcement_of_an_older_term_changes_nothing() -> None:
    view = View(SETTINGS)
    view.receive_announcement(START, A, OwnerAnnouncement((Claim(0, 5),)))
    view.receive_announcement(START + MS, B, OwnerAnnouncement((Claim(0, 4),)))
    assert view.owner_of(START + MS, 0) == Owner(A, 5)


def test_one_that_announces_no_more_of_a_shard_owns_it_no_more() -> None:
    view = View(SETTINGS)
    view.receive_announcement(START, A, OwnerAnnouncement((Claim(0, 5),)))
    for voter in ("c0", "c1"):
        view.receive_table(START, voter, holding(5, A))
    view.receive_announcement(START + MS, A, OwnerAnnouncement(()))
    assert view.owner_of(START + MS, 0) is None
    assert view.highest_terms[0] == 5


def test_a_controller_is_alive_while_it_announces_and_not_when_it_leaves() -> None:
    view = View(SETTINGS)
    for second in range(5):
        view.receive_announcement(START + second * S, A, OwnerAnnouncement(()))
    now = START + 4 * S
    assert view.alive(now, "c0", 4 * S)
    assert not view.alive(now, "c0", 4 * S + 1)
    assert not view.alive(now + 3 * S + 1, "c0")
    view.receive_announcement(now, A, OwnerAnnouncement((), True))
    assert not view.alive(now, "c0")


def test_a_new_incarnation_is_alive_since_its_own_first_announcement() -> None:
    view = View(SETTINGS)
    view.receive_announcement(START, A, OwnerAnnouncement(()))
    view.receive_announcement(START + S, Peer("c0", 2), OwnerAnnouncement(()))
    view.receive_announcement(START + 2 * S, A, OwnerAnnouncement(()))
    assert view.alive(START + 2 * S, "c0", S)
    assert not view.alive(START + 2 * S, "c0", 2 * S)


def test_a_term_that_cannot_be_is_neither_granted_nor_remembered() -> None:
    voter, view = Voter(SETTINGS, START), View(SETTINGS)
    assert not grants(voter, AWAKE, A, 1 << 62)
    assert grants(voter, AWAKE, A, 1)
    view.receive_announcement(START, A, OwnerAnnouncement((Claim(0, 1 << 62),)))
    view.receive_table(START, "c0", holding(1 << 62, A))
    view.receive_table(START, "c1", holding(1 << 62, A))
    assert view.owner_of(START, 0) is None
    assert view.highest_terms == {}


def test_a_grant_beyond_the_limit_is_ignored() -> None:
    view = View(SETTINGS)
    for name in ("c0", "c1"):
        view.receive_table(START, name, (Holding(0, 3, "c0", 1, 600_000),))
    assert view.owner_of(START + 5 * S, 0) == Owner(A, 3)
    assert view.owner_of(START + 6 * S, 0) is None
