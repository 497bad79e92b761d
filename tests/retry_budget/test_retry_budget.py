"""The retry budget: its rule under any history, and what the program, the emulator and the operator's file make of it."""

import asyncio
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from badgerroad.emulator import scenario as sc
from badgerroad.emulator import virtual
from badgerroad.operator.schema import Limits, Operator
from badgerroad.operator_limits import apply_limits
from badgerroad.retry_budget.rules import HEDGING_SHARE, PARTS, RetryBudget
from tests.support.loopback import World, async_test, id_of, job, reply, until

WINDOW = 1_000


@given(
    st.floats(0, 2),
    st.integers(0, 5),
    st.lists(
        st.tuples(st.integers(0, 400), st.sampled_from(["first", "again", "copy"]), st.sampled_from("ab")), max_size=120
    ),
)
def test_retries_in_any_window_stay_within_share_and_minimum(share, least, steps):
    budget, now, sent = RetryBudget(share, least, WINDOW), 0, []
    for wait, what, cls in steps:
        now += wait
        if what == "first":
            budget.count_first(cls, now)
            sent.append((now, "first", cls))
            continue
        before = [w for at, w, c in sent if c == cls and at > now - WINDOW]
        # A window is counted by tenths: what is up to one tenth older may count too.
        wide = [w for at, w, c in sent if c == cls and at > now - WINDOW - 2 * WINDOW // PARTS]
        part = HEDGING_SHARE if what == "copy" else 1
        if budget.allow_retry(cls, now, what == "copy"):
            sent.append((now, "again", cls))
            assert before.count("again") + 1 <= (least + share * wide.count("first")) * part
        else:
            assert wide.count("again") + 1 > (least + share * before.count("first")) * part


def test_exhaustion_is_reported_once_a_window_and_class():
    budget = RetryBudget(0.5, 0, WINDOW)
    assert [budget.should_report_exhausted("a", at) for at in (0, 999, 1000, 1500)] == [True, False, True, False]
    assert budget.should_report_exhausted("b", 1500)


async def fails(w, head, _body):
    if head.startswith(b"DELETE"):
        return reply(200)
    w.begin(w.call_back(id_of(head), "failed", w.name_of(head)))
    return reply(202)


@async_test
async def test_a_retry_beyond_the_budget_is_not_sent_and_its_client_is_answered_at_once(capsys):
    async with World(fails, fails, fails, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        apply_limits(w.dispatcher, Operator(limits=Limits(retries="budget", retry_share=0.5, retry_least=0)))
        answers = [await asyncio.wait_for(w.ask(job(f"r{n}", "preview", 6000)), 3) for n in range(4)]
        assert [a[0] for a in answers] == [503] * 4
        assert all(b"Retry-After" in a[1] for a in answers)
        got = [id_of(head) for peer in w.hosts for head, _ in peer.got if head.startswith(b"POST")]
        assert len(got) == 4 + 2
        assert (await w.figures())["sends"] == 6
        assert "retry_budget_exhausted cls=preview first=1 retries=0" in capsys.readouterr().err
        apply_limits(w.dispatcher, Operator())
        await w.ask(job("r9", "preview", 6000))
        assert sum(id_of(head) == "r9" for peer in w.hosts for head, _ in peer.got if head.startswith(b"POST")) > 1


def test_in_the_emulator_a_faulty_third_causes_fewer_retries_and_breaks_no_rule(tmp_path):
    text = (Path(__file__).parents[2] / "examples/experiments/bad_third.toml").read_text()
    for old, new in (
        ("nodes = 500", "nodes = 12"),
        ("dispatchers = 10", "dispatchers = 1"),
        ("length_s = 30", "length_s = 12"),
    ):
        assert old in text
        text = text.replace(old, new)
    attempts = []
    for more in ("", "[retries]\nretries = 'budget'\nretry_share = 0.05\nretry_least = 1\n"):
        (tmp_path / "s.toml").write_text(text + more)
        report = virtual.run(sc.load(tmp_path / "s.toml"), 1, tmp_path)
        assert not report.breaches
        attempts.append(report.attempts / report.tries)
    assert attempts[1] < attempts[0]
