"""Structured logs on structlog: one event a line with its fields, as `key=value` text or as JSON lines.

Fields used throughout: `request` (its id), `attempt` (number), `host`, `zone`, `cls`, `status`, `ms`. What libraries
say through the standard library's logging goes the same way, with `logger` naming them.
"""

from __future__ import annotations

import logging
import sys
import time
from typing import Any, NamedTuple

_rich = sys.modules.get("rich")
if _rich is None:
    # structlog.dev imports rich where that is installed: 2 MB and a tenth of the start for tracebacks in colour.
    sys.modules["rich"] = None  # type: ignore[assignment]
import structlog  # noqa: E402

if _rich is None:
    del sys.modules["rich"]

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


class LogSettings(NamedTuple):
    """How to log: `format` console or json, `level` debug, info, warning or error."""

    format: str = "console"
    level: str = "info"


_second = [0, ""]  # the last second, and its text: most lines share it with the one before


def _stamp(_logger: Any, _name: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
    now = time.time()
    whole = int(now)
    if whole != _second[0]:
        _second[:] = whole, time.strftime("%H:%M:%S", time.localtime(whole))
    event["at"] = f"{_second[1]}.{int((now - whole) * 1000):03d}"
    return event


def _text(_logger: Any, _name: str, event: structlog.typing.EventDict) -> str:
    """`12:00:00.123 info event key=value ...`; structlog's console renderer takes seven times as long."""
    head = f"{event.pop('at')} {event.pop('level')} {event.pop('event')}"
    trace = event.pop("exception", None)
    for key, value in event.items():
        text = value if type(value) is str else str(value)
        head += f" {key}={text!r}" if " " in text or "\n" in text else f" {key}={text}"
    return head if trace is None else f"{head}\n{trace}"


def _json(_logger: Any, _name: str, event: structlog.typing.EventDict) -> str:
    import msgspec

    return msgspec.json.encode(event, enc_hook=str).decode()


class _Forward(logging.Handler):
    """The standard library's records, as events."""

    def emit(self, record: logging.LogRecord) -> None:
        fields = {"logger": record.name}
        if record.exc_info:
            fields["exception"] = logging.Formatter().formatException(record.exc_info)
        _Log.current.log(record.levelno, record.getMessage(), **fields)


class _Stderr:
    """Writes to whatever standard error is now. A log that nobody reads any more must not end the program."""

    def msg(self, message: str) -> None:
        try:
            sys.stderr.write(message + "\n")
            sys.stderr.flush()
        except (OSError, ValueError):
            pass

    log = debug = info = warning = error = critical = failure = fatal = msg


def configure(choice: Any = LogSettings(), debug: bool = False, **fields: Any) -> None:
    """Set format and level for the whole process; may be called again, on a reload. `fields` go with each line."""
    level = logging.DEBUG if debug else LEVELS[choice.level]
    json = choice.format == "json"
    stamp: Any = structlog.processors.TimeStamper(fmt="iso", key="at") if json else _stamp
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            stamp,
            _json if json else _text,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=lambda *args: _Stderr(),
        cache_logger_on_first_use=False,
    )
    _Log.current = structlog.get_logger().bind(**fields)
    logging.basicConfig(level=max(level, logging.INFO), handlers=[_Forward()], force=True)


class _Log:
    """Hands on to the logger of the present configuration. structlog's own lazy proxy binds anew for every line,
    which took 6 us even for a line that is not written; its cache would not see a reload."""

    current: Any = structlog.get_logger()

    def debug(self, event: str, **fields: Any) -> None:
        self.current.debug(event, **fields)

    def info(self, event: str, **fields: Any) -> None:
        self.current.info(event, **fields)

    def warning(self, event: str, **fields: Any) -> None:
        self.current.warning(event, **fields)

    def error(self, event: str, **fields: Any) -> None:
        self.current.error(event, **fields)

    def exception(self, event: str, **fields: Any) -> None:
        self.current.exception(event, **fields)


def get(name: str) -> _Log:
    """A logger; events are words, everything that varies is a field."""
    return _Log()
