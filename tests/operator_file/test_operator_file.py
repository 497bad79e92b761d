"""The operator's file, structured logs, and the modules that `serve` must not import."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from badgerroad.config import ConfigError
from badgerroad.net import logs
from badgerroad.operator.schema import load
from tests.support.loopback import SETTINGS, World, async_test, job, serve
from tests.support.program import program

ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("[log]\nformat = 'xml'", "log.format"),
        ("[log]\nlevel = 3", "log.level"),
        ("[logs]\n", "logs"),
        ("[log", "not TOML"),
        ("[limits]\nretries = 'some'", "retries"),
        ("[limits]\nretry_share = -0.1", "retry_share"),
        ("[limits]\nretry_window_s = 0", "retry_window_s"),
        ("[log]\ncolour = true", "colour"),
        (None, "No such file"),
    ],
)
def test_an_invalid_operators_file_is_an_error_of_one_line_that_names_file_and_field(tmp_path, text, field):
    path = tmp_path / "o.toml"
    if text is not None:
        path.write_text(text)
    with pytest.raises(ConfigError) as e:
        load(str(path))
    assert str(path) in str(e.value)
    assert field in str(e.value)
    assert "\n" not in str(e.value)
    done = subprocess.run(
        [sys.executable, "-m", "badgerroad", "check-config", "--operator", str(path)], capture_output=True, text=True
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert field in done.stderr


def test_the_operators_file_in_deploy_has_the_default_values():
    from badgerroad.operator.schema import Operator

    assert load(str(ROOT / "deploy/operator.toml")) == Operator()


def test_log_lines_contain_their_fields_in_both_formats(capsys):
    for log_format in ("json", "console"):
        logs.configure(logs.LogSettings(log_format, "info"))
        log = logs.get("test")
        log.debug("not_logged")
        log.info("attempt_ended", request="r1", attempt=0, host="h", why="two words")
        try:
            raise RuntimeError("boom")
        except RuntimeError:
            log.exception("exception_raised")
    logs.configure()
    lines = capsys.readouterr().err.splitlines()
    first = json.loads(lines[0])
    assert {field: first[field] for field in ("event", "level", "request", "attempt", "host")} == {
        "event": "attempt_ended",
        "level": "info",
        "request": "r1",
        "attempt": 0,
        "host": "h",
    }
    assert "boom" in json.loads(lines[1])["exception"]
    assert "not_logged" not in "".join(lines)
    assert " info attempt_ended request=r1 attempt=0 host=h why='two words'" in lines[2]


@async_test
async def test_sighup_changes_the_log_format_and_an_invalid_file_changes_nothing(tmp_path):
    operator = tmp_path / "o.toml"
    operator.write_text("[log]\nformat = 'console'\n")
    async with World(serve) as w, program(w, tmp_path / "config.json", operator=operator) as process:
        for text, expected in (
            ("[log]\nformat = 'xml'", b"log.format"),
            ("[log]\nformat = 'json'", b'"event":"answered"'),
        ):
            operator.write_text(text)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            assert (await w.ask(job(f"r{len(text)}")))[0] == 200
            line = b""
            while expected not in line:
                line = await process.stderr.readline()


def test_serve_imports_nothing_of_the_emulator_the_laboratory_or_the_operators_schema(tmp_path):
    config = tmp_path / "c.json"
    config.write_text(
        json.dumps({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS})
    )
    code = (
        "import sys; sys.argv[1:] = ['check-config']; from badgerroad.__main__ import start; start();"
        "import badgerroad.dispatcher; print([m for m in ('numpy', 'rich', 'matplotlib', 'jinja2', 'hdrh', 'msgspec',"
        " 'badgerroad.emulator', 'badgerroad.lab', 'badgerroad.operator') if m in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, env={**os.environ, "PROXY_CONFIG": str(config)}
    )
    assert done.stdout.splitlines()[-1] == "[]", done
