"""Formats a result for the terminal. No I/O."""

from __future__ import annotations

from .results import Recovery, Result


def lines_of(result: Result) -> str:
    """Return the lines that summarize a result."""
    lines = [
        f"{result.scenario}: {result.what}; {result.dispatchers} dispatchers, seed {result.seed}, topology {result.topology}",
        f"  {result.requests} requests in {result.seconds:.0f} s ({result.offered:.1%} of the quotas), {result.undecided} undecided",
        f"  marked over quota {result.over_share:.2%} (large teams {result.over_share_large:.2%}, small {result.over_share_small:.2%})",
        f"  used {result.use_share:.2%} of the quotas, windows of 10 s {result.use_window_least:.1%} to {result.use_window_most:.1%}",
        f"  worst overshoot {result.overshoot:.1f} requests ({result.overshoot_team}), bound {result.bound:.1f}: {'BROKEN' if result.bound_broken else 'held'}",
        f"  wait ms: median {result.wait_ms_median:.2f}, p99 {result.wait_ms_p99:.1f}, most {result.wait_ms_most:.0f}; latest arrival {result.late_arrival_ms:.0f} ms",
        f"  dispatcher: {result.dispatcher.cpu_share:.3%} of a core (most {result.dispatcher.cpu_share_most:.3%}), {result.dispatcher.bytes_s:.0f} B/s, {result.dispatcher.messages_s:.1f} messages/s, {result.dispatcher.resident_mib:.2f} MiB each",
        f"  controller: {result.controller.cpu_share:.2%} of a core (most {result.controller.cpu_share_most:.2%}), {result.controller.bytes_s:.0f} B/s, {result.controller.messages_s:.0f} messages/s, {result.controller.resident_mib:.0f} MiB (most {result.controller.resident_mib_most:.0f})",
        f"  all processes {result.memory_mib} MiB; frames doubled {result.frames_doubled}, late {result.frames_delayed}, connections dropped {result.connections_dropped}",
    ]
    lines += [f"  {recovery_text(recovery)}" for recovery in result.recoveries]
    lines += [f"  {note}" for note in result.notes]
    return "\n".join(lines)


def recovery_text(recovery: Recovery) -> str:
    after = "not before the end" if recovery.seconds is None else f"after {recovery.seconds:.2f} s"
    return (
        f"{recovery.of}, since {recovery.since}: {after}; before {recovery.use_before:.1%}, "
        f"least window of 2 s {recovery.use_least:.1%}"
    )
