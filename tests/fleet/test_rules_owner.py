"""The owner of a shard: sessions with zones, sharing, carried-over credit and changed quotas."""

from __future__ import annotations

from rules_setup import MILLISECOND, SECOND, START, fleet, messages, quota_request

from badgerroad.fleet.messages import NotOwner, QuotaGrant, QuotaNeed, QuotaReturn, Usage
from badgerroad.fleet.rules.actions import Peer, SendMessage
from badgerroad.fleet.rules.bucket import MICRO_PER_REQUEST
from badgerroad.fleet.rules.owner import ShardOwner

Z0, Z1, Z2 = (Peer(f"c{n}", 1) for n in range(3))
SETTINGS = fleet(reserve_share=0.0)
DEPTH = 2 * 3 + 2 * 10  # requests: two for each of three zones plus two seconds of a quota of 10
CARRY_US = SETTINGS.longer(SETTINGS.carry_ms * MILLISECOND)


def owner(quota: float = 10.0, now: int = START, term: int = 5) -> ShardOwner:
    return ShardOwner(SETTINGS, 0, term, {"team": quota}, now, 100)


def need(wanted: int, used: int = 0, returned: int = 0, carried: int = 0, team: str = "team") -> QuotaNeed:
    return QuotaNeed(team, used, returned, wanted, carried)


def request_quota(
    shard: ShardOwner, now: int, peer: Peer, sequence: int, *needs: QuotaNeed, **changes: int
) -> QuotaGrant:
    remaining = changes.pop("remaining", 5 * SECOND)
    action = shard.request(now, peer, quota_request(5, sequence, *needs, **changes), remaining)
    assert action.to == peer.name
    assert isinstance(action.message, QuotaGrant)
    return action.message


def granted(grant: QuotaGrant, team: str = "team") -> int:
    return next(credit.granted for credit in grant.credits if credit.team == team)


def total(shard: ShardOwner) -> int:
    return shard.teams["team"].bucket.total


def test_request_is_answered_at_once_with_refilled_credit() -> None:
    shard = owner()
    assert granted(request_quota(shard, START, Z0, 1, need(3))) == 0
    grant = request_quota(shard, START + SECOND, Z0, 2, need(3), session=100)
    assert granted(grant) == 3
    assert grant.sequence == 2
    assert grant.valid_ms == 3000


def test_request_for_another_term_is_answered_with_not_owner() -> None:
    assert owner(term=6).request(START, Z0, quota_request(5, 1), 5 * SECOND) == SendMessage("c0", NotOwner(0, 5))


def test_no_quota_lease_outlasts_the_ownership() -> None:
    grant = request_quota(owner(), START, Z0, 1, need(1), remaining=2 * SECOND)
    assert SETTINGS.longer(grant.valid_ms * MILLISECOND) <= 2 * SECOND
    assert request_quota(owner(), START, Z0, 1, need(1), remaining=0).valid_ms == 0


def test_repeated_or_reordered_request_grants_nothing_twice() -> None:
    shard = owner()
    request_quota(shard, START, Z0, 1)
    now = START + SECOND
    assert granted(request_quota(shard, now, Z0, 3, need(4), session=100)) == 4
    assert granted(request_quota(shard, now, Z0, 3, need(4), session=100)) == 4
    assert granted(request_quota(shard, now, Z0, 2, need(9), session=100)) == 4


def test_used_credit_is_granted_anew_and_returned_credit_goes_to_other_zones() -> None:
    shard = owner()
    request_quota(shard, START, Z0, 1, need(5))
    now = START + SECOND
    request_quota(shard, now, Z0, 2, need(5), session=100)
    assert granted(request_quota(shard, now, Z0, 3, need(5, used=3), session=100)) == 8
    level = shard.teams["team"].bucket.level
    request_quota(shard, now, Z0, 4, need(0, used=3, returned=5), session=100)
    assert shard.teams["team"].bucket.level == level + 5 * MICRO_PER_REQUEST


def test_scarce_credit_is_shared_by_need_and_granted_unprompted() -> None:
    shard = owner(quota=1.0)
    for peer, wanted in ((Z0, 2), (Z1, 2), (Z2, 4)):
        request_quota(shard, START, peer, 1, need(wanted))
    granted_counts = {"c0": 0, "c1": 0, "c2": 0}
    for tenth in range(1, 42):
        for action in shard.tick(START + tenth * 100 * MILLISECOND):
            (grant,) = messages([action], QuotaGrant)
            assert grant.valid_ms == 0
            granted_counts[action.to] = granted(grant)
        if tenth % 10 == 0:
            for number, (peer, wanted) in enumerate(((Z0, 2), (Z1, 2), (Z2, 4))):
                request_quota(
                    shard, START + tenth * 100 * MILLISECOND, peer, 2 + tenth, need(wanted), session=100 + number
                )
    assert granted_counts == {"c0": 1, "c1": 1, "c2": 2}


def test_grants_are_repeated_until_they_are_acknowledged() -> None:
    shard = owner()
    first = request_quota(shard, START, Z0, 1, need(3))
    second = request_quota(shard, START + SECOND, Z0, 2, need(3), session=100, acknowledged=first.number)
    assert granted(second) == 3
    third = request_quota(shard, START + SECOND, Z0, 3, session=100, acknowledged=first.number)
    assert granted(third) == 3
    assert request_quota(shard, START + SECOND, Z0, 4, session=100, acknowledged=third.number).credits == ()


def test_lost_session_keeps_its_capacity_only_while_its_zone_may_carry_credit_over() -> None:
    shard = owner()
    shard.tick(START + 10 * SECOND)
    now = START + 10 * SECOND
    assert granted(request_quota(shard, now, Z0, 1, need(DEPTH))) == DEPTH
    end = now + SETTINGS.longer(3 * SECOND)
    shard.tick(end)
    bucket = shard.teams["team"].bucket
    assert (bucket.outstanding, bucket.suspended) == (0, DEPTH * MICRO_PER_REQUEST)
    shard.tick(end + CARRY_US - 100 * MILLISECOND)
    assert bucket.level == 0
    shard.tick(end + CARRY_US)
    shard.tick(end + CARRY_US + SECOND)
    request_quota(shard, end + CARRY_US + SECOND, Z1, 1, need(1))
    assert shard.session_count == 1
    assert bucket.suspended == 0
    assert bucket.level == 9 * MICRO_PER_REQUEST


def test_zone_that_reconnects_soon_keeps_its_session_and_credit() -> None:
    shard = owner()
    request_quota(shard, START, Z0, 1, need(5))
    request_quota(shard, START + SECOND, Z0, 2, need(5), session=100)
    shard.tick(START + 5 * SECOND)
    grant = request_quota(shard, START + 6 * SECOND, Z0, 3, need(5), session=100)
    assert grant.session == 100
    assert granted(grant) == 5
    assert grant.valid_ms == 3000
    assert shard.teams["team"].bucket.outstanding == 5 * MICRO_PER_REQUEST


def test_zone_that_reconnects_late_gets_a_new_session_and_its_old_totals_are_ignored() -> None:
    shard = owner()
    request_quota(shard, START, Z0, 1, need(5))
    request_quota(shard, START + SECOND, Z0, 2, need(5), session=100)
    now = START + SECOND + SETTINGS.longer(3 * SECOND) + CARRY_US
    grant = request_quota(shard, now, Z0, 3, need(5, used=4), session=100)
    assert grant.session == 101
    assert grant.credits == ()
    again = request_quota(shard, now, Z0, 4, need(5), session=101)
    assert granted(again) == 5


def test_late_request_of_an_older_session_changes_nothing() -> None:
    shard = owner()
    request_quota(shard, START, Z0, 1, need(5))
    now = START + 20 * SECOND
    assert request_quota(shard, now, Z0, 2, need(5), session=100).session == 101
    request_quota(shard, now, Z0, 3, need(5), session=101)
    before = total(shard)
    late = request_quota(shard, now, Z0, 2, need(50, used=5), session=100)
    assert late.session == 101
    assert granted(late) == 5
    assert total(shard) == before


def test_carried_over_credit_is_granted_at_once_and_once_per_session() -> None:
    shard = owner()
    assert granted(request_quota(shard, START, Z0, 1, need(4, carried=4))) == 4
    assert granted(request_quota(shard, START, Z0, 1, need(4, carried=4))) == 4
    assert granted(request_quota(shard, START, Z0, 2, need(9, carried=9))) == 4


def test_all_zones_together_carry_over_at_most_the_depth() -> None:
    shard = owner()
    carried = [granted(request_quota(shard, START, peer, 1, need(0, carried=20))) for peer in (Z0, Z1, Z2)]
    assert carried == [20, DEPTH - 20, 0]


def test_credit_is_not_carried_over_after_refill_or_expiry() -> None:
    shard = owner()
    shard.tick(START + 2 * SECOND)
    assert granted(request_quota(shard, START + 2 * SECOND, Z0, 1, need(0, carried=DEPTH))) == DEPTH - 20
    slow = owner(quota=0.01)
    slow.tick(START + CARRY_US)
    assert granted(request_quota(slow, START + CARRY_US, Z0, 1, need(0, carried=5))) == 0


def test_lowered_quota_reduces_the_level_at_once_and_the_new_rate_is_sent() -> None:
    shard = owner()
    first = request_quota(shard, START, Z0, 1, need(0))
    shard.tick(START + 3 * SECOND)
    shard.set_quotas(START + 3 * SECOND, {"team": 1.0})
    bucket = shard.teams["team"].bucket
    assert bucket.depth == 8 * MICRO_PER_REQUEST
    assert bucket.total == 8 * MICRO_PER_REQUEST
    grant = request_quota(shard, START + 3 * SECOND, Z0, 2, session=100, acknowledged=first.number)
    assert grant.credits[0].rate == 1.0
    assert grant.credits[0].known


def test_quota_of_zero_grants_nothing() -> None:
    shard = owner(quota=0.0)
    request_quota(shard, START, Z0, 1, need(5, carried=5))
    shard.tick(START + 60 * SECOND)
    grant = request_quota(shard, START + 60 * SECOND, Z0, 2, need(5), session=100)
    assert grant.credits == () or granted(grant) == 0


def test_removed_quota_grants_nothing_and_is_reported_as_unknown() -> None:
    shard = owner()
    first = request_quota(shard, START, Z0, 1, need(2))
    shard.set_quotas(START + SECOND, {})
    grant = request_quota(shard, START + 2 * SECOND, Z0, 2, need(5), session=100, acknowledged=first.number)
    assert grant.credits[0].granted == 0
    assert not grant.credits[0].known
    assert shard.tick(START + 3 * SECOND) == []


def test_quota_that_is_added_again_starts_empty() -> None:
    shard = owner()
    shard.tick(START + 10 * SECOND)
    shard.set_quotas(START + 10 * SECOND, {})
    shard.set_quotas(START + 11 * SECOND, {"team": 10.0})
    assert granted(request_quota(shard, START + 11 * SECOND, Z0, 1, need(5, carried=5))) == 0


def test_unknown_team_is_answered_as_unknown() -> None:
    (credit,) = request_quota(owner(), START, Z0, 1, need(5, team="stranger")).credits
    assert (credit.team, credit.granted, credit.known) == ("stranger", 0, False)


def test_credit_returned_by_a_leaving_zone_is_available_at_once() -> None:
    shard = owner()
    request_quota(shard, START, Z0, 1, need(5))
    request_quota(shard, START + SECOND, Z0, 2, need(5), session=100)
    level = shard.teams["team"].bucket.level
    shard.receive_return(START + SECOND, Z0, QuotaReturn(0, 5, 100, (Usage("team", 2, 3),)))
    shard.receive_return(START + SECOND, Z0, QuotaReturn(0, 5, 100, (Usage("team", 2, 3),)))
    shard.receive_return(START + SECOND, Z0, QuotaReturn(0, 5, 99, (Usage("team", 0, 5),)))
    bucket = shard.teams["team"].bucket
    assert (bucket.level, bucket.outstanding) == (level + 3 * MICRO_PER_REQUEST, 0)


def test_return_after_the_lease_ended_keeps_the_bucket_consistent() -> None:
    shard = owner()
    request_quota(shard, START, Z0, 1, need(5))
    request_quota(shard, START + SECOND, Z0, 2, need(5), session=100)
    for now in (START + 5 * SECOND, START + 30 * SECOND):
        shard.tick(now)
        shard.receive_return(now, Z0, QuotaReturn(0, 5, 100, (Usage("team", 2, 3),)))
        bucket = shard.teams["team"].bucket
        assert min(bucket.level, bucket.outstanding, bucket.suspended) >= 0
        assert bucket.total <= bucket.depth


def test_reserve_shares_of_zones_are_minted_only_while_lent() -> None:
    settings = fleet(reserve_share=0.3)
    shard = ShardOwner(settings, 0, 5, {"team": 10.0}, START, 100)
    request_quota(shard, START, Z0, 1, stamp=START, lending=True)
    request_quota(shard, START, Z1, 1, stamp=START, lending=True)
    shard.tick(START + 10 * SECOND)
    request_quota(shard, START + 10 * SECOND, Z2, 1, need(1))
    # The owner mints seven tenths of the quota all the time, and one tenth for each of two zones while they lend it
    # their shares, which is five seconds.
    bucket = shard.teams["team"].bucket
    filled = 10 * (10 * 0.7 + 2 * 5 * 0.1)
    assert shard.lending.refilled == (10 * 0.7 + 2 * 5 * 0.1) * SECOND
    assert bucket.total == min(DEPTH, filled) * MICRO_PER_REQUEST


def test_stamp_not_issued_in_this_term_lends_nothing() -> None:
    settings = fleet(reserve_share=0.3)
    shard = ShardOwner(settings, 0, 5, {"team": 10.0}, START, 100)
    request_quota(shard, START + SECOND, Z0, 1, stamp=START - 1, lending=True)
    request_quota(shard, START + SECOND, Z1, 1, stamp=START + 2 * SECOND, lending=True)
    assert shard.lending.lent_until == {}


def test_all_credits_are_sent_again_every_ten_seconds_even_if_acknowledged() -> None:
    shard = owner()
    grant = request_quota(shard, START, Z0, 1, need(1))
    seconds_sent = []
    for second in range(1, 25):
        grant = request_quota(shard, START + second * SECOND, Z0, 1 + second, session=100, acknowledged=grant.number)
        seconds_sent += [second] if grant.credits else []
    assert seconds_sent == [10, 20]


def test_implausible_acknowledgement_is_corrected_by_the_next_one() -> None:
    shard = owner()
    request_quota(shard, START, Z0, 1, need(2))
    assert request_quota(shard, START + SECOND, Z0, 2, need(2), session=100, acknowledged=1 << 62).credits != ()
    assert granted(request_quota(shard, START + SECOND, Z0, 3, need(2), session=100, acknowledged=0)) == 2


def test_implausible_totals_free_no_credit() -> None:
    shard = owner()
    request_quota(shard, START, Z0, 1, need(5))
    request_quota(shard, START + SECOND, Z0, 2, need(5), session=100)
    request_quota(shard, START + SECOND, Z0, 3, need(5, used=1 << 62), session=100)
    request_quota(shard, START + SECOND, Z0, 4, need(5, returned=6), session=100)
    assert shard.teams["team"].bucket.outstanding == 5 * MICRO_PER_REQUEST


def test_remaining_credit_is_distributed_to_zones_once_before_a_planned_release() -> None:
    shard = owner()
    for peer in (Z0, Z1, Z2):
        request_quota(shard, START, peer, 1, need(1))
    shard.tick(START + SECOND)
    granted_counts = [
        granted(message) for message in messages(shard.distribute_remaining(START + SECOND, None), QuotaGrant)
    ]
    assert granted_counts == [4, 3, 3]
    assert shard.teams["team"].bucket.outstanding == 10 * MICRO_PER_REQUEST
    assert shard.distribute_remaining(START + SECOND, None) == []


def test_zone_controller_that_shuts_down_gets_no_remaining_credit() -> None:
    shard = owner()
    for peer in (Z0, Z1, Z2):
        request_quota(shard, START, peer, 1, need(0))
    shard.tick(START + SECOND)
    granted_counts = {action.to: granted(action.message) for action in shard.distribute_remaining(START + SECOND, Z1)}  # type: ignore[arg-type]
    assert granted_counts == {"c0": 5, "c2": 5}
