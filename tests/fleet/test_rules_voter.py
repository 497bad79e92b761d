"""The voter, and the view of owners that results from its tables."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from rules_setup import MILLISECOND, SECOND, START, fleet

from badgerroad.fleet.messages import Claim, Holding, OwnerAnnouncement, VoteRelease, VoteReply, VoteRequest
from badgerroad.fleet.rules.actions import Peer
from badgerroad.fleet.rules.view import Owner, View
from badgerroad.fleet.rules.voter import Voter

A, B = Peer("c0", 1), Peer("c1", 1)
SETTINGS = fleet()
FIRST_VOTE_AT = START + SETTINGS.longer(5 * SECOND)  # when a voter that started at START begins to grant votes


def request_vote(voter: Voter, now: int, candidate: Peer, term: int, duration_ms: int = 5000) -> VoteReply:
    return voter.vote(now, candidate, VoteRequest(7, (Claim(0, term),), duration_ms))


def grants(voter: Voter, now: int, candidate: Peer, term: int, duration_ms: int = 5000) -> bool:
    return request_vote(voter, now, candidate, term, duration_ms).granted == (0,)


def test_voter_replies_without_granting_for_one_lease_after_its_start() -> None:
    voter = Voter(SETTINGS, START)
    reply = request_vote(voter, FIRST_VOTE_AT - 1, A, 1)
    assert reply.granted == ()
    assert reply.sequence == 7
    assert grants(voter, FIRST_VOTE_AT, A, 1)


def test_restarted_voter_waits_until_its_lost_grants_have_ended() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, FIRST_VOTE_AT, A, 1)
    restarted = Voter(SETTINGS, FIRST_VOTE_AT + 1)
    assert not grants(restarted, FIRST_VOTE_AT + SETTINGS.longer(5 * SECOND), B, 2)
    assert grants(restarted, FIRST_VOTE_AT + SETTINGS.longer(5 * SECOND) + 1, B, 2)


def test_shard_is_granted_to_one_candidate_at_a_time() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, FIRST_VOTE_AT, A, 1)
    end = FIRST_VOTE_AT + SETTINGS.longer(5 * SECOND)
    assert not grants(voter, end - 1, B, 2)
    assert grants(voter, end, B, 2)


def test_another_incarnation_of_the_same_name_is_another_candidate() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, FIRST_VOTE_AT, A, 1)
    assert not grants(voter, FIRST_VOTE_AT + SECOND, Peer("c0", 2), 2)


def test_renewal_keeps_the_term_and_extends_the_grant() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, FIRST_VOTE_AT, A, 1)
    assert grants(voter, FIRST_VOTE_AT + 2 * SECOND, A, 1)
    assert not grants(voter, FIRST_VOTE_AT + SETTINGS.longer(5 * SECOND), B, 2)


def test_term_used_by_another_candidate_is_never_granted() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, FIRST_VOTE_AT, A, 5)
    later = FIRST_VOTE_AT + 20 * SECOND
    assert not grants(voter, later, B, 5)
    assert not grants(voter, later, B, 4)
    assert grants(voter, later, B, 6)


def test_release_frees_only_the_grant_of_its_term_and_holder() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, FIRST_VOTE_AT, A, 5)
    voter.release(B, VoteRelease((Claim(0, 5),)))
    voter.release(A, VoteRelease((Claim(0, 4),)))
    assert not grants(voter, FIRST_VOTE_AT + 1, B, 6)
    voter.release(A, VoteRelease((Claim(0, 5),)))
    assert grants(voter, FIRST_VOTE_AT + 1, B, 6)


def test_renewal_that_arrives_after_its_release_is_denied() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, FIRST_VOTE_AT, A, 5)
    voter.release(A, VoteRelease((Claim(0, 5),)))
    assert not grants(voter, FIRST_VOTE_AT + 1, A, 5)
    assert grants(voter, FIRST_VOTE_AT + 1, B, 6)


def test_late_release_of_an_older_term_frees_nothing() -> None:
    voter = Voter(SETTINGS, START)
    assert grants(voter, FIRST_VOTE_AT, A, 5)
    assert grants(voter, FIRST_VOTE_AT, A, 6)
    voter.release(A, VoteRelease((Claim(0, 5),)))
    assert not grants(voter, FIRST_VOTE_AT + 1, B, 7)


def test_lease_longer_than_the_setting_is_not_granted() -> None:
    assert not grants(Voter(SETTINGS, START), FIRST_VOTE_AT, A, 1, duration_ms=5001)


def test_unknown_shard_is_not_granted() -> None:
    reply = Voter(SETTINGS, START).vote(FIRST_VOTE_AT, A, VoteRequest(1, (Claim(1, 1),), 5000))
    assert reply.granted == ()
    assert reply.table == ()


def test_table_has_holder_term_and_remaining_time_and_keeps_the_term_after_expiry() -> None:
    voter = Voter(SETTINGS, START)
    request_vote(voter, FIRST_VOTE_AT, A, 5)
    (holding,) = voter.table(FIRST_VOTE_AT + 1 * SECOND)
    assert holding == Holding(0, 5, "c0", 1, holding.left_ms)
    assert 4100 < holding.left_ms < 4200
    assert voter.table(FIRST_VOTE_AT + 6 * SECOND) == (Holding(0, 5, "", 0, 0),)


STEPS = st.lists(
    st.tuples(
        st.integers(0, 2), st.integers(1, 6), st.integers(0, 3 * SECOND), st.sampled_from(["ask", "release", "restart"])
    ),
    max_size=40,
)


@given(STEPS)
def test_no_two_candidates_hold_a_voters_grant_at_the_same_time(steps: list[tuple[int, int, int, str]]) -> None:
    voter, now = Voter(SETTINGS, START), FIRST_VOTE_AT
    held: dict[Peer, tuple[int, int]] = {}  # term and end of each candidate's grant, counted from the sending time
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
            held[candidate] = (term, now + 5 * SECOND)


def holding(term: int, peer: Peer) -> tuple[Holding, ...]:
    return (Holding(0, term, peer.name, peer.incarnation, 4000),)


def test_owner_is_known_only_from_a_majority_of_voter_tables() -> None:
    view = View(SETTINGS)
    view.receive_table(START, "c0", holding(3, A))
    assert view.owner_of(START, 0) is None
    view.receive_table(START, "c1", holding(3, A))
    assert view.owner_of(START, 0) == Owner(A, 3)
    assert view.owner_of(START + 4 * SECOND, 0) is None


def test_announcement_of_an_older_term_changes_nothing() -> None:
    view = View(SETTINGS)
    view.receive_announcement(START, A, OwnerAnnouncement((Claim(0, 5),)))
    view.receive_announcement(START + MILLISECOND, B, OwnerAnnouncement((Claim(0, 4),)))
    assert view.owner_of(START + MILLISECOND, 0) == Owner(A, 5)


def test_shard_missing_from_an_announcement_is_no_longer_owned() -> None:
    view = View(SETTINGS)
    view.receive_announcement(START, A, OwnerAnnouncement((Claim(0, 5),)))
    for voter in ("c0", "c1"):
        view.receive_table(START, voter, holding(5, A))
    view.receive_announcement(START + MILLISECOND, A, OwnerAnnouncement(()))
    assert view.owner_of(START + MILLISECOND, 0) is None
    assert view.highest_terms[0] == 5


def test_controller_is_alive_while_it_announces_and_not_after_it_leaves() -> None:
    view = View(SETTINGS)
    for second in range(5):
        view.receive_announcement(START + second * SECOND, A, OwnerAnnouncement(()))
    now = START + 4 * SECOND
    assert view.alive(now, "c0", 4 * SECOND)
    assert not view.alive(now, "c0", 4 * SECOND + 1)
    assert not view.alive(now + 3 * SECOND + 1, "c0")
    view.receive_announcement(now, A, OwnerAnnouncement((), True))
    assert not view.alive(now, "c0")


def test_new_incarnation_is_alive_since_its_own_first_announcement() -> None:
    view = View(SETTINGS)
    view.receive_announcement(START, A, OwnerAnnouncement(()))
    view.receive_announcement(START + SECOND, Peer("c0", 2), OwnerAnnouncement(()))
    view.receive_announcement(START + 2 * SECOND, A, OwnerAnnouncement(()))
    assert view.alive(START + 2 * SECOND, "c0", SECOND)
    assert not view.alive(START + 2 * SECOND, "c0", 2 * SECOND)


def test_invalid_term_is_neither_granted_nor_recorded() -> None:
    voter, view = Voter(SETTINGS, START), View(SETTINGS)
    assert not grants(voter, FIRST_VOTE_AT, A, 1 << 62)
    assert grants(voter, FIRST_VOTE_AT, A, 1)
    view.receive_announcement(START, A, OwnerAnnouncement((Claim(0, 1 << 62),)))
    view.receive_table(START, "c0", holding(1 << 62, A))
    view.receive_table(START, "c1", holding(1 << 62, A))
    assert view.owner_of(START, 0) is None
    assert view.highest_terms == {}


def test_remaining_time_above_the_lease_duration_is_limited() -> None:
    view = View(SETTINGS)
    for name in ("c0", "c1"):
        view.receive_table(START, name, (Holding(0, 3, "c0", 1, 600_000),))
    assert view.owner_of(START + 5 * SECOND, 0) == Owner(A, 3)
    assert view.owner_of(START + 6 * SECOND, 0) is None
