"""Tests of the capacity measurements: the fits, the page against its results file, and a quick run."""

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from benchmarks.capacity import virtual
from benchmarks.capacity.__main__ import PAGE, RESULTS
from benchmarks.capacity.fit import MIN_SIZES, Point, TooFewSizesError, line_through
from benchmarks.capacity.markdown import significant
from benchmarks.capacity.page import BLOCKS, UnknownBlockError, block, fill, tables
from benchmarks.capacity.reckon import Reckoning
from benchmarks.capacity.results import load, series_of
from benchmarks.capacity.run import LONGEST_HOLD_S, Sizes
from benchmarks.capacity.target import ASSUMED, TARGET, Assumptions, Target, dispatchers_needed

ROOT = Path(__file__).parents[2]


def points(*pairs):
    return [Point(size, value, value, value) for size, value in pairs]


@pytest.fixture(scope="module")
def results():
    return load(RESULTS / "capacity.json")


def test_points_on_a_line_are_fitted_exactly():
    line = line_through(points((1, 5), (10, 23), (100, 203), (1000, 2003)))
    assert line.slope == pytest.approx(2)
    assert line.fixed == pytest.approx(3)
    assert line.r2 == pytest.approx(1)
    assert line.largest_residual == pytest.approx(0, abs=1e-9)
    assert line.at(50) == pytest.approx(103)


def test_a_fit_reports_r2_and_the_largest_residual():
    line = line_through(points((0, 0), (1, 1), (2, 1), (3, 2)))
    assert line.slope == pytest.approx(0.6)
    assert line.fixed == pytest.approx(0.1)
    assert line.r2 == pytest.approx(0.9)
    assert line.largest_residual == pytest.approx(0.3)


def test_a_constant_is_fitted_with_slope_zero():
    line = line_through(points((1, 7), (2, 7), (3, 7), (4, 7)))
    assert (line.slope, line.fixed, line.r2) == (0, 7, 1)


@pytest.mark.parametrize("measured", [points((1, 1), (2, 2), (3, 3)), points((1, 1), (1, 2), (2, 2), (2, 3), (3, 3))])
def test_fewer_than_four_different_sizes_are_an_error(measured):
    with pytest.raises(TooFewSizesError):
        line_through(measured)


def test_every_line_of_the_results_is_the_fit_of_its_points(results):
    assert not results.quick
    assert results.series
    for series in results.series.values():
        assert len({point.size for point in series.points}) >= MIN_SIZES, series.name
        assert line_through(series.points) == series.line, series.name
        assert all(point.low <= point.value <= point.high for point in series.points), series.name


def test_the_page_and_the_tables_match_the_results_file(results):
    page = PAGE.read_text()
    assert fill(page, results) == page
    assert (RESULTS / "capacity.md").read_text() == tables(results)
    assert (RESULTS / "capacity.png").stat().st_size > 0


def test_a_changed_result_changes_the_blocks_that_use_it(results):
    changed = msgspec.json.decode(msgspec.json.encode(results), type=type(results))
    line = changed.series["change_cpu_ms"].line
    changed.series["change_cpu_ms"].line = msgspec.structs.replace(line, slope=line.slope * 2)
    before, after = ({name: block(name, r) for name in BLOCKS} for r in (results, changed))
    assert {name for name in BLOCKS if before[name] != after[name]} >= {"slopes", "dispatcher", "assumptions"}


def test_a_page_with_a_missing_or_unknown_block_is_an_error(results):
    page = PAGE.read_text()
    with pytest.raises(UnknownBlockError, match="quota"):
        fill(page.replace("capacity:quota", "no-table"), results)
    with pytest.raises(UnknownBlockError, match="nothing"):
        fill(page + "<!-- capacity:nothing -->\n<!-- /capacity:nothing -->\n", results)


def test_the_target_needs_one_dispatcher_for_every_341_tasks():
    assert dispatchers_needed(TARGET, ASSUMED) == 587
    twice = msgspec.structs.replace(ASSUMED, connections_a_task=2 * ASSUMED.connections_a_task)
    assert dispatchers_needed(TARGET, twice) == 1_174
    assert dispatchers_needed(Target(running_tasks=341), Assumptions()) == 1


def test_the_parts_of_an_estimate_add_up_to_its_total(results):
    estimate = Reckoning(results, TARGET, ASSUMED)
    assert estimate.control_share == pytest.approx(sum(part.value for part in estimate.control_cpu()) / 1000)
    assert estimate.tasks * estimate.dispatchers == pytest.approx(TARGET.running_tasks)
    doubled = Reckoning(results, TARGET, ASSUMED, dispatchers=2 * estimate.dispatchers)
    assert doubled.discovery_calls_per_s == pytest.approx(2 * estimate.discovery_calls_per_s)


@pytest.mark.parametrize(("dispatchers", "teams"), [(1, TARGET.teams), (100, virtual.FEW_TEAMS)])
def test_a_share_of_under_one_request_per_second_has_the_expected_share_over_quota(dispatchers, teams):
    (share,) = virtual.over_quota(dispatchers, teams, TARGET.starts_per_s, seconds=20.0)
    # With Poisson traffic, the share over quota is load / (1 + load); here the load is 0.9 of the quota.
    assert share == pytest.approx(0.9 / 1.9, abs=0.05)


def test_a_bucket_of_many_requests_has_none_over_quota_below_the_quota():
    assert virtual.over_quota(1, 1, TARGET.starts_per_s, seconds=2.0) == [0.0]


@pytest.mark.parametrize(
    ("value", "text"), [(0, "0"), (0.0012345, "0.00123"), (12.345, "12.3"), (1234.5, "1,234"), (-0.5, "-0.5")]
)
def test_values_are_shown_with_three_significant_digits(value, text):
    assert significant(value) == text


def test_each_quantity_is_measured_at_four_sizes_or_more():
    for sizes in (Sizes(quick=True), Sizes(quick=False)):
        for name in ("workers", "idle", "running", "jobs", "callbacks", "teams", "losses", "dispatchers", "turns"):
            assert len(set(getattr(sizes, name))) >= MIN_SIZES, name
    assert LONGEST_HOLD_S <= 60


def test_a_series_sorts_its_points_by_size():
    series = series_of("x", "title", "ms", "workers", points((4, 4), (1, 1), (3, 3), (2, 2)))
    assert [point.size for point in series.points] == [1, 2, 3, 4]


def test_a_quick_run_measures_every_series_and_does_not_change_the_page(tmp_path, results):
    page = PAGE.read_text()
    run = subprocess.run(
        [sys.executable, "-m", "benchmarks.capacity", "--quick", "--out", str(tmp_path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert run.returncode == 0, run.stdout + run.stderr
    found = load(tmp_path / "capacity.json")
    assert found.quick
    assert found.series.keys() == results.series.keys()
    assert all(len({point.size for point in series.points}) >= MIN_SIZES for series in found.series.values())
    assert (tmp_path / "capacity.md").read_text() == tables(found)
    assert (tmp_path / "capacity.png").stat().st_size > 0
    assert PAGE.read_text() == page
