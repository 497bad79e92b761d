"""examples/fleet/two_regions.py runs to completion and prints the decisions of each phase."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_two_regions_are_served_before_during_and_after_a_partition():
    command = [sys.executable, "examples/fleet/two_regions.py", "--before", "2", "--cut", "6", "--after", "3"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=150)
    assert done.returncode == 0, done.stdout + done.stderr
    rows = re.findall(r"^(before|cut|after) +north within +(\d+) over +(\d+) +south", done.stdout, re.M)
    assert [phase for phase, *_ in rows] == ["before"] * 2 + ["cut"] * 6 + ["after"] * 3
    rates = dict(re.findall(r"^(before|cut|after): within the quota, a second: north ([\d.]+)", done.stdout, re.M))
    assert {*rates} == {"before", "cut", "after"}
    assert all(float(rate) > 0 for rate in rates.values())
    assert "controllers ended with [0, 0, 0]" in done.stdout
