"""Writes the report of an experiment: a Markdown table, a PNG chart, and an offline HTML page that contains both."""

from __future__ import annotations

from base64 import b64encode
from pathlib import Path

from jinja2 import Environment, PackageLoader, select_autoescape

from badgerroad.emulator.report import Report
from badgerroad.lab.compare import interval
from badgerroad.lab.experiment import Run

COLUMNS = (
    "variant",
    "seeds",
    "figure",
    "interval",
    "worth",
    "worst class",
    "served",
    "refused",
    "failed",
    "falls",
    "breaches",
)


def group_reports(rows: list[tuple[int, Run, Report]]) -> dict[tuple[str, str], list[Report]]:
    """Group reports by scenario with settings, and policy."""
    groups: dict[tuple[str, str], list[Report]] = {}
    for _, run, report in rows:
        scenario = Path(run.scenario).stem + (f" {run.settings}" if run.settings != "{}" else "")
        groups.setdefault((scenario, run.policy), []).append(report)
    return groups


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def table(groups: dict[tuple[str, str], list[Report]]) -> list[list[str]]:
    """Return the cells of the report's table, one row for each group."""
    out = []
    for (scenario, policy), reports in groups.items():
        figures = [r.figure for r in reports]
        low, high = interval(figures)
        out.append(
            [
                f"{scenario} / {policy}",
                str(len(reports)),
                f"{_mean(figures):.3f}",
                f"{low:.3f} to {high:.3f}",
                f"{_mean([r.worth for r in reports]):.3f}",
                f"{_mean([r.worst_class for r in reports]):.3f}",
                *(
                    f"{_mean([float(count) for count in counts]):.1f}"
                    for counts in (
                        [r.served for r in reports],
                        [r.refused for r in reports],
                        [r.failed for r in reports],
                    )
                ),
                str(sum(r.falls for r in reports)),
                str(sum(sum(r.breaches_by_rule.values()) for r in reports)),
            ]
        )
    return out


def markdown(rows: list[list[str]]) -> str:
    """Return the table as Markdown."""
    lines = ["| " + " | ".join(COLUMNS) + " |", "| --- |" + " ---: |" * (len(COLUMNS) - 1)]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows]) + "\n"


def chart(groups: dict[tuple[str, str], list[Report]], path: Path) -> None:
    """Draw the mean score (`figure`) of each scenario as bars with confidence intervals, one colour for each policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    scenarios = list(dict.fromkeys(scenario for scenario, _ in groups))
    policies = list(dict.fromkeys(policy for _, policy in groups))
    figure, axes = pyplot.subplots(figsize=(max(7.0, 1.1 * len(scenarios) + 2), 4.8))
    width = 0.8 / max(len(policies), 1)
    for policy_index, policy in enumerate(policies):
        positions, heights, low, high = [], [], [], []
        for scenario_index, scenario in enumerate(scenarios):
            reports = groups.get((scenario, policy))
            if reports:
                values = [r.figure for r in reports]
                mean, bounds = _mean(values), interval(values)
                positions.append(scenario_index + (policy_index - (len(policies) - 1) / 2) * width)
                heights.append(mean)
                low.append(max(mean - bounds[0], 0.0))
                high.append(max(bounds[1] - mean, 0.0))
        axes.bar(positions, heights, width, yerr=[low, high], label=policy, error_kw={"linewidth": 0.8})
    axes.set_xticks(range(len(scenarios)), scenarios, rotation=25, ha="right")
    axes.set_ylabel("figure (served worth, weighed, less prices)")
    axes.set_ylim(bottom=min(0.0, axes.get_ylim()[0]), top=1.02)
    axes.legend(ncols=min(len(policies), 7), fontsize=8, loc="lower center", bbox_to_anchor=(0.5, 1.0))
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def write(name: str, about: str, rows: list[tuple[int, Run, Report]], out: Path) -> list[Path]:
    """Write the report's HTML, PNG and Markdown files to `out` and return their paths in this order."""
    out.mkdir(parents=True, exist_ok=True)
    groups = group_reports(rows)
    cells = table(groups)
    png, md, html = (out / f"{name}.{extension}" for extension in ("png", "md", "html"))
    chart(groups, png)
    md.write_text(markdown(cells))
    environment = Environment(loader=PackageLoader("badgerroad.lab", "."), autoescape=select_autoescape(["html", "j2"]))
    html.write_text(
        environment.get_template("report.html.j2").render(
            name=name, about=about, heads=COLUMNS, rows=cells, chart=b64encode(png.read_bytes()).decode()
        )
    )
    return [html, png, md]
