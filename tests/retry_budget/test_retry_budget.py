"""The retry budget: its limit under any sequence of attempts, and its use by the dispatcher and the emulator."""

import asyncio
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from badgerroad.emulator import scenario as sc
from badgerroad.emulator import virtual
from badgerroad.operator.schema import Limits, Operator
from badgerroad.operator_limits import apply_limits
from badgerroad.retry_budget.rules import HEDGING_SHARE, WINDOW_PARTS, RetryBudget
from tests.support.loopback import World, async_test, id_of, job, reply, until

WINDOW = 1_000


@given(
    st.floats(0, 2),
    st.integers(0, 5),
    st.lists(
        st.tuples(st.integers(0, 400), st.sampled_from(["first", "retry", "hedge"]), st.sampled_from("ab")),
        max_size=120,
    ),
)
def test_retries_in_any_window_stay_within_share_and_minimum(share, min_retries, steps):
    budget, now, sent = RetryBudget(share, min_retries, WINDOW), 0, []
    for wait, kind, request_class in steps:
        now += wait
        if kind == "first":
            budget.count_first(request_class, now)
            sent.append((now, "first", request_class))
            continue
        in_window = [k for at, k, c in sent if c == request_class and at > now - WINDOW]
        # Attempts leave the window in parts, so attempts slightly older than the window may count too.
        in_wide_window = [
            k for at, k, c in sent if c == request_class and at > now - WINDOW - 2 * WINDOW // WINDOW_PARTS
        ]
        part = HEDGING_SHARE if kind == "hedge" else 1
        if budget.allow_retry(request_class, now, kind == "hedge"):
            sent.append((now, "retry", request_class))
            assert in_window.count("retry") + 1 <= (min_retries + share * in_wide_window.count("first")) * part
        else:
            assert in_wide_window.count("retry") + 1 > (min_retries + share * in_window.count("first")) * part


def test_exhaustion_is_reported_once_a_window_for_each_class():
    budget = RetryBudget(0.5, 0, WINDOW)
    assert [budget.should_report_exhausted("a", at) for at in (0, 999, 1000, 1500)] == [True, False, True, False]
    assert budget.should_report_exhausted("b", 1500)


async def fail(w, head, _body):
    """A worker that accepts each job and reports it as failed at once."""
    if head.startswith(b"DELETE"):
        return reply(200)
    w.begin(w.call_back(id_of(head), "failed", w.name_of(head)))
    return reply(202)


@async_test
async def test_a_retry_beyond_the_budget_is_not_sent_and_its_client_is_answered_at_once(capsys):
    async with World(fail, fail, fail, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        apply_limits(w.dispatcher, Operator(limits=Limits(retries="budget", retry_share=0.5, retry_least=0)))
        answers = [await asyncio.wait_for(w.ask(job(f"r{n}", "preview", 6000)), 3) for n in range(4)]
        assert [a[0] for a in answers] == [503] * 4
        assert all(b"Retry-After" in a[1] for a in answers)
        sent_ids = [id_of(head) for peer in w.hosts for head, _ in peer.received if head.startswith(b"POST")]
        assert len(sent_ids) == 4 + 2  # 4 first attempts and 2 retries
        assert (await w.read_metrics())["sends"] == 6
        assert "retry_budget_exhausted cls=preview first=1 retries=0" in capsys.readouterr().err
        apply_limits(w.dispatcher, Operator())  # an operator's file without limits removes the budget
        await w.ask(job("r9", "preview", 6000))
        assert sum(id_of(head) == "r9" for peer in w.hosts for head, _ in peer.received if head.startswith(b"POST")) > 1


def test_the_budget_reduces_retries_in_the_emulator_when_a_third_of_the_workers_is_faulty(tmp_path):
    text = (Path(__file__).parents[2] / "examples/experiments/bad_third.toml").read_text()
    for old, new in (
        ("nodes = 500", "nodes = 12"),
        ("dispatchers = 10", "dispatchers = 1"),
        ("length_s = 30", "length_s = 12"),
    ):
        assert old in text
        text = text.replace(old, new)
    attempts_per_request = []
    for retries_table in ("", "[retries]\nretries = 'budget'\nretry_share = 0.05\nretry_least = 1\n"):
        (tmp_path / "s.toml").write_text(text + retries_table)
        report = virtual.run(sc.load(tmp_path / "s.toml"), 1, tmp_path)
        assert not report.breaches
        attempts_per_request.append(report.attempts / report.tries)
    assert attempts_per_request[1] < attempts_per_request[0]
