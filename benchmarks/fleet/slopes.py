"""Fits the costs of controllers and dispatchers to lines over the number of dispatchers, by runs at four sizes.

python -m benchmarks.fleet.slopes [--json FILE] [--sizes 50,100,200,400] [--seconds 20] [--seed 1]
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from pathlib import Path

import msgspec

from .results import Cost
from .run import play
from .scenarios import BY_NAME

WARM_S = 8.0


class Point(msgspec.Struct):
    """Costs at one number of dispatchers. Traffic is half of all quotas at every size, so that nothing else changes."""

    dispatchers: int
    controller: Cost
    dispatcher: Cost
    over_share: float


class Line(msgspec.Struct):
    """Least-squares line figure = base + slope * dispatchers. `furthest`: maximum distance of a point, in `unit`."""

    figure: str
    unit: str
    base: float
    slope: float
    furthest: float


class Slopes(msgspec.Struct):
    """Content of docs/results/fleet_slopes.json."""

    command: str
    scenario: str
    seconds: float
    seed: int
    controllers: int
    points: list[Point]
    lines: list[Line]


FIGURES: tuple[tuple[str, str, Callable[[Point], float]], ...] = (
    ("controller, CPU", "share of a core", lambda point: point.controller.cpu_share),
    ("controller, busiest, CPU", "share of a core", lambda point: point.controller.cpu_share_most),
    ("controller, bytes in and out", "bytes/s", lambda point: point.controller.bytes_s),
    ("controller, messages in and out", "messages/s", lambda point: point.controller.messages_s),
    ("controller, memory", "MiB", lambda point: point.controller.resident_mib),
    ("all dispatchers, CPU", "share of a core", lambda point: point.dispatcher.cpu_share * point.dispatchers),
    ("all dispatchers, bytes in and out", "bytes/s", lambda point: point.dispatcher.bytes_s * point.dispatchers),
    ("all dispatchers, memory", "MiB", lambda point: point.dispatcher.resident_mib * point.dispatchers),
)


def line(figure: str, unit: str, points: list[tuple[float, float]]) -> Line:
    """Fit a line to points (x, y) by least squares."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _ in points)
    base = mean_y - slope * mean_x
    return Line(figure, unit, base, slope, max(abs(y - base - slope * x) for x, y in points))


def lines(points: list[Point]) -> list[Line]:
    return [
        line(figure, unit, [(point.dispatchers, value(point)) for point in points]) for figure, unit, value in FIGURES
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--json")
    parser.add_argument("--sizes", default="50,100,200,400")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--add", action="store_true", help="keep the points of other sizes stored in the file")
    options = parser.parse_args()
    scenario = BY_NAME["half"]._replace(warm_s=WARM_S, seconds=options.seconds)
    points: list[Point] = []
    if options.add and Path(options.json).exists():
        points = msgspec.json.decode(Path(options.json).read_bytes(), type=Slopes).points
    for size in map(int, options.sizes.split(",")):
        result = play(scenario, size, options.seed)
        print(f"{size}: {result.controller}", flush=True)
        points = [point for point in points if point.dispatchers != size]
        points.append(Point(size, result.controller, result.dispatcher, result.over_share))
    points.sort(key=lambda point: point.dispatchers)
    fitted = lines(points) if len(points) > 1 else []
    command = "python -m benchmarks.fleet.slopes --json docs/results/fleet_slopes.json"
    slopes = Slopes(command, scenario.what, options.seconds, options.seed, 19, points, fitted)
    for one in slopes.lines:
        print(f"{one.figure}: {one.base:.4g} + {one.slope:.4g} a dispatcher ({one.unit}), furthest {one.furthest:.2g}")
    if options.json:
        Path(options.json).write_bytes(msgspec.json.format(msgspec.json.encode(slopes), indent=1) + b"\n")


if __name__ == "__main__":
    main()
