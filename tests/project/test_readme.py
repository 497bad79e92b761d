import contextlib
import io
import re
from pathlib import Path


def test_the_first_example_prints_the_output_shown_after_it():
    text = (Path(__file__).parents[2] / "README.md").read_text()
    code, expected = re.findall(r"```(?:python)?\n(.*?)```", text, re.S)[:2]
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code, {})
    assert out.getvalue() == expected
