"""The owner of a shard: sessions with zones, sharing, carrying over, changed quotas."""

from __future__ import annotations

from rules_setup import MS, START, S, fleet, messages, quota_request

from badgerroad.fleet.messages import NotOwner, QuotaGrant, QuotaNeed, QuotaReturn, Usage
from badgerroad.fleet.rules.actions import Peer, SendMessage
from badgerroad.fleet.rules.bucket import MICRO
from badgerroad.fleet.rules.owner import ShardOwner

Z0, Z1, Z2 = (Peer(f"c{n}", 1) for n in range(3))
SETTINGS = fleet(reserve_share=0.0)
DEPTH = 2 * 3 + 2 * 10  # requests: two for each of three zones, and two seconds of a quota of 10
CARRY = SETTINGS.longer(SETTINGS.carry_ms * MS)


def owner(quota: float = 10.0, now: int = START, term: int = 5) -> ShardOwner:
    return ShardOwner(SETTINGS, 0, term, {"team": quota}, now, 100)


def need(wanted: int, used: int = 0, returned: int = 0, carried: int = 0, team: str = "team") -> QuotaNeed:
    return QuotaNeed(team, used, returned, wanted, carried)


def ask(shard: ShardOwner, now: int, peer: Peer, sequence: int, *needs: QuotaNeed, **changes: int) -> QuotaGrant:
    left = changes.pop("left", 5 * S)
    action = shard.request(now, peer, quota_request(5, sequence, *needs, **changes), left)
    assert action.to == peer.name
    assert isinstance(action.message, QuotaGrant)
    return action.message


def granted(grant: QuotaGrant, team: str = "team") -> int:
    return next(credit.granted for credit in grant.credits if credit.team == team)


def total(shard: ShardOwner) -> int:
    return shard.teams["team"].bucket.total


def test_a_request_is_answered_at_once_with_what_the_time_has_brought() -> None:
    shard = owner()
    assert granted(ask(shard, START, Z0, 1, need(3))) == 0
    grant = ask(shard, START + S, Z0, 2, need(3), session=100)
    assert granted(grant) == 3
    assert grant.sequence == 2
    assert grant.valid_ms == 3000


def test_a_request_for_another_term_is_refused() -> None:
    assert owner(term=6).request(START, Z0, quota_request(5, 1), 5 * S) == SendMessage("c0", NotOwner(0, 5))


def test_no_lease_lasts_longer_than_the_ownership() -> None:
    grant = ask(owner(), START, Z0, 1, need(1), left=2 * S)
    assert SETTINGS.longer(grant.valid_ms * MS) <= 2 * S
    assert ask(owner(), START, Z0, 1, need(1), left=0).valid_ms == 0


def test_a_repeated_or_reordered_request_grants_nothing_twice() -> None:
    shard = owner()
    ask(shard, START, Z0, 1)
    now = START + S
    assert granted(ask(shard, now, Z0, 3, need(4), session=100)) == 4
    assert granted(ask(shard, now, Z0, 3, need(4), session=100)) == 4
    assert granted(ask(shard, now, Z0, 2, need(9), session=100)) == 4


def test_what_was_used_is_granted_again_and_what_came_back_serves_others() -> None:
    shard = owner()
    ask(shard, START, Z0, 1, need(5))
    now = START + S
    ask(shard, now, Z0, 2, need(5), session=100)
    assert granted(ask(shard, now, Z0, 3, need(5, used=3), session=100)) == 8
    level = shard.teams["team"].bucket.level
    ask(shard, now, Z0, 4, need(0, used=3, returned=5), session=100)
    assert shard.teams["team"].bucket.level == level + 5 * MICRO


def test_scarce_credit_is_shared_in_proportion_to_need_and_granted_unasked() -> None:
    shard = owner(quota=1.0)
    for peer, wanted in ((Z0, 2), (Z1, 2), (Z2, 4)):
        ask(shard, START, peer, 1, need(wanted))
    got = {"c0": 0, "c1": 0, "c2": 0}
    for tenth in range(1, 42):
        for action in shard.tick(START + tenth * 100 * MS):
            (grant,) = messages([action], QuotaGrant)
            assert grant.valid_ms == 0
            got[action.to] = granted(grant)
        if tenth % 10 == 0:
            for number, (peer, wanted) in enumerate(((Z0, 2), (Z1, 2), (Z2, 4))):
                ask(shard, START + tenth * 100 * MS, peer, 2 + tenth, need(wanted), session=100 + number)
    assert got == {"c0": 1, "c1": 1, "c2": 2}


def test_grants_are_repeated_until_they_are_acknowledged() -> None:
    shard = owner()
    first = ask(shard, START, Z0, 1, need(3))
    second = ask(shard, START + S, Z0, 2, need(3), session=100, acknowledged=first.number)
    assert granted(second) == 3
    third = ask(shard, START + S, Z0, 3, session=100, acknowledged=first.number)
    assert granted(third) == 3
    assert ask(shard, START + S, Z0, 4, session=100, acknowledged=third.number).credits == ()


def test_a_lost_session_keeps_its_capacity_only_while_its_zone_may_carry_credit_elsewhere() -> None:
    shard = owner()
    shard.tick(START + 10 * S)
    now = START + 10 * S
    assert granted(ask(shard, now, Z0, 1, need(DEPTH))) == DEPTH
    end = now + SETTINGS.longer(3 * S)
    shard.tick(end)
    bucket = shard.teams["team"].bucket
    assert (bucket.outstanding, bucket.suspended) == (0, DEPTH * MICRO)
    shard.tick(end + CARRY - 100 * MS)
    assert bucket.level == 0
    shard.tick(end + CARRY)
    shard.tick(end + CARRY + S)
    ask(shard, end + CARRY + S, Z1, 1, need(1))
    assert shard.session_count == 1
    assert bucket.suspended == 0
    assert bucket.level == 9 * MICRO


def test_a_zone_that_returns_soon_continues_with_its_credit() -> None:
    shard = owner()
    ask(shard, START, Z0, 1, need(5))
    ask(shard, START + S, Z0, 2, need(5), session=100)
    shard.tick(START + 5 * S)
    grant = ask(shard, START + 6 * S, Z0, 3, need(5), session=100)
    assert grant.session == 100
    assert granted(grant) == 5
    assert grant.valid_ms == 3000
    assert shard.teams["team"].bucket.outstanding == 5 * MICRO


def test_a_zone_that_comes_back_late_begins_a_new_session_and_its_old_counts_are_ignored() -> None:
    shard = owner()
    ask(shard, START, Z0, 1, need(5))
    ask(shard, START + S, Z0, 2, need(5), session=100)
    now = START + S + SETTINGS.longer(3 * S) + CARRY
    grant = ask(shard, now, Z0, 3, need(5, used=4), session=100)
    assert grant.session == 101
    assert grant.credits == ()
    again = ask(shard, now, Z0, 4, need(5), session=101)
    assert granted(again) == 5


def test_a_late_request_of_an_older_session_changes_nothing() -> None:
    shard = owner()
    ask(shard, START, Z0, 1, need(5))
    now = START + 20 * S
    assert ask(shard, now, Z0, 2, need(5), session=100).session == 101
    ask(shard, now, Z0, 3, need(5), session=101)
    before = total(shard)
    late = ask(shard, now, Z0, 2, need(50, used=5), session=100)
    assert late.session == 101
    assert granted(late) == 5
    assert total(shard) == before


def test_what_a_zone_carries_over_is_granted_at_once_and_once_a_session() -> None:
    shard = owner()
    assert granted(ask(shard, START, Z0, 1, need(4, carried=4))) == 4
    assert granted(ask(shard, START, Z0, 1, need(4, carried=4))) == 4
    assert granted(ask(shard, START, Z0, 2, need(9, carried=9))) == 4


def test_all_zones_together_carry_over_no_more_than_the_depth() -> None:
    shard = owner()
    carried = [granted(ask(shard, START, peer, 1, need(0, carried=20))) for peer in (Z0, Z1, Z2)]
    assert carried == [20, DEPTH - 20, 0]


def test_nothing_is_carried_over_after_refill_or_expiry() -> None:
    shard = owner()
    shard.tick(START + 2 * S)
    assert granted(ask(shard, START + 2 * S, Z0, 1, need(0, carried=DEPTH))) == DEPTH - 20
    slow = owner(quota=0.01)
    slow.tick(START + CARRY)
    assert granted(ask(slow, START + CARRY, Z0, 1, need(0, carried=5))) == 0


def test_a_lowered_quota_cuts_the_level_at_once_and_every_zone_receives_the_new_rate() -> None:
    shard = owner()
    first = ask(shard, START, Z0, 1, need(0))
    shard.tick(START + 3 * S)
    shard.set_quotas(START + 3 * S, {"team": 1.0})
    bucket = shard.teams["team"].bucket
    assert bucket.depth == 8 * MICRO
    assert bucket.total == 8 * MICRO
    grant = ask(shard, START + 3 * S, Z0, 2, session=100, acknowledged=first.number)
    assert grant.credits[0].rate == 1.0
    assert grant.credits[0].known


def test_a_quota_of_nothing_grants_nothing() -> None:
    shard = owner(quota=0.0)
    ask(shard, START, Z0, 1, need(5, carried=5))
    shard.tick(START + 60 * S)
    grant = ask(shard, START + 60 * S, Z0, 2, need(5), session=100)
    assert grant.credits == () or granted(grant) == 0


def test_a_removed_quota_grants_no_more_and_is_reported_as_unknown() -> None:
    shard = owner()
    first = ask(shard, START, Z0, 1, need(2))
    shard.set_quotas(START + S, {})
    grant = ask(shard, START + 2 * S, Z0, 2, need(5), session=100, acknowledged=first.number)
    assert grant.credits[0].granted == 0
    assert not grant.credits[0].known
    assert shard.tick(START + 3 * S) == []


def test_a_quota_that_comes_back_begins_empty() -> None:
    shard = owner()
    shard.tick(START + 10 * S)
    shard.set_quotas(START + 10 * S, {})
    shard.set_quotas(START + 11 * S, {"team": 10.0})
    assert granted(ask(shard, START + 11 * S, Z0, 1, need(5, carried=5))) == 0


def test_a_team_that_the_owner_does_not_know_is_answered_as_such() -> None:
    (credit,) = ask(owner(), START, Z0, 1, need(5, team="stranger")).credits
    assert (credit.team, credit.granted, credit.known) == ("stranger", 0, False)


def test_what_a_leaving_zone_returns_serves_others_at_once() -> None:
    shard = owner()
    ask(shard, START, Z0, 1, need(5))
    ask(shard, START + S, Z0, 2, need(5), session=100)
    level = shard.teams["team"].bucket.level
    shard.receive_return(START + S, Z0, QuotaReturn(0, 5, 100, (Usage("team", 2, 3),)))
    shard.receive_return(START + S, Z0, QuotaReturn(0, 5, 100, (Usage("team", 2, 3),)))
    shard.receive_return(START + S, Z0, QuotaReturn(0, 5, 99, (Usage("team", 0, 5),)))
    bucket = shard.teams["team"].bucket
    assert (bucket.level, bucket.outstanding) == (level + 3 * MICRO, 0)


def test_a_return_that_comes_after_the_lease_breaks_no_count() -> None:
    shard = owner()
    ask(shard, START, Z0, 1, need(5))
    ask(shard, START + S, Z0, 2, need(5), session=100)
    for now in (START + 5 * S, START + 30 * S):
        shard.tick(now)
        shard.receive_return(now, Z0, QuotaReturn(0, 5, 100, (Usage("team", 2, 3),)))
        bucket = shard.teams["team"].bucket
        assert min(bucket.level, bucket.outstanding, bucket.suspended) >= 0
        assert bucket.total <= bucket.depth


def test_the_parts_of_zones_are_minted_only_while_they_lend_them() -> None:
    settings = fleet(reserve_share=0.3)
    shard = ShardOwner(settings, 0, 5, {"team": 10.0}, START, 100)
    ask(shard, START, Z0, 1, stamp=START, lending=True)
    ask(shard, START, Z1, 1, stamp=START, lending=True)
    shard.tick(START + 10 * S)
    ask(shard, START + 10 * S, Z2, 1, need(1))
    # seven tenths always, a tenth for each of two zones for the five seconds that they lent.
    bucket = shard.teams["team"].bucket
    filled = 10 * (10 * 0.7 + 2 * 5 * 0.1)
    assert shard.lending.refilled == (10 * 0.7 + 2 * 5 * 0.1) * S
    assert bucket.total == min(DEPTH, filled) * MICRO


def test_a_stamp_that_this_term_has_not_given_lends_nothing() -> None:
    settings = fleet(reserve_share=0.3)
    shard = ShardOwner(settings, 0, 5, {"team": 10.0}, START, 100)
    ask(shard, START + S, Z0, 1, stamp=START - 1, lending=True)
    ask(shard, START + S, Z1, 1, stamp=START + 2 * S, lending=True)
    assert shard.lending.lent_until == {}


def test_all_credits_are_sent_again_every_ten_seconds_whatever_was_acknowledged() -> None:
    shard = owner()
    grant = ask(shard, START, Z0, 1, need(1))
    told = []
    for second in range(1, 25):
        grant = ask(shard, START + second * S, Z0, 1 + second, session=100, acknowledged=grant.number)
        told += [second] if grant.credits else []
    assert told == [10, 20]


def test_an_acknowledgement_out_of_all_proportion_heals_with_the_next() -> None:
    shard = owner()
    ask(shard, START, Z0, 1, need(2))
    assert ask(shard, START + S, Z0, 2, need(2), session=100, acknowledged=1 << 62).credits != ()
    assert granted(ask(shard, START + S, Z0, 3, need(2), session=100, acknowledged=0)) == 2


def test_counts_out_of_all_proportion_free_nothing() -> None:
    shard = owner()
    ask(shard, START, Z0, 1, need(5))
    ask(shard, START + S, Z0, 2, need(5), session=100)
    ask(shard, START + S, Z0, 3, need(5, used=1 << 62), session=100)
    ask(shard, START + S, Z0, 4, need(5, returned=6), session=100)
    assert shard.teams["team"].bucket.outstanding == 5 * MICRO


def test_what_is_left_to_grant_goes_to_the_zones_before_a_graceful_end_and_once() -> None:
    shard = owner()
    for peer in (Z0, Z1, Z2):
        ask(shard, START, peer, 1, need(1))
    shard.tick(START + S)
    got = [granted(message) for message in messages(shard.distribute_remaining(START + S, None), QuotaGrant)]
    assert got == [4, 3, 3]
    assert shard.teams["team"].bucket.outstanding == 10 * MICRO
    assert shard.distribute_remaining(START + S, None) == []


def test_a_zone_controller_that_shuts_down_gets_no_remaining_credit() -> None:
    shard = owner()
    for peer in (Z0, Z1, Z2):
        ask(shard, START, peer, 1, need(0))
    shard.tick(START + S)
    got = {action.to: granted(action.message) for action in shard.distribute_remaining(START + S, Z1)}  # type: ignore[arg-type]
    assert got == {"c0": 5, "c2": 5}
