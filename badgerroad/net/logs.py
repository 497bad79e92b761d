"""Structured logging with structlog: one event per line with its fields, as `key=value` text or as JSON.

Event names are snake_case and stable; everything that varies is a field. Records of the standard library's loggers are
logged as events too, with the name of their logger in the field `logger`.
"""

from __future__ import annotations

import contextlib
import logging
import sys
import time
from typing import Any, NamedTuple

_rich = sys.modules.get("rich")
if _rich is None:
    # structlog.dev imports rich if it is installed, which takes 2 MB and a tenth of the start time for coloured
    # tracebacks that are not used here.
    sys.modules["rich"] = None  # type: ignore[assignment]
import structlog  # noqa: E402 - must follow the lines above

if _rich is None:
    del sys.modules["rich"]

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


class LogSettings(NamedTuple):
    """Settings of the log: `format` is console or json, `level` is debug, info, warning or error."""

    format: str = "console"
    level: str = "info"


class _TimeOfDay:
    """Adds the local time to events. The text of a second is cached, since consecutive lines mostly share it."""

    __slots__ = ("_second", "_text")

    def __init__(self) -> None:
        self._second = 0
        self._text = ""

    def add(self, _logger: Any, _name: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
        """Add the field `at`; this is a structlog processor."""
        now = time.time()
        second = int(now)
        if second != self._second:
            self._second = second
            self._text = time.strftime("%H:%M:%S", time.localtime(second))
        event["at"] = f"{self._text}.{int((now - second) * 1000):03d}"
        return event


def _text_line(_logger: Any, _name: str, event: structlog.typing.EventDict) -> str:
    """Format an event as `12:00:00.123 info event key=value ...`.

    structlog's console renderer takes seven times as long.
    """
    line = f"{event.pop('at')} {event.pop('level')} {event.pop('event')}"
    trace = event.pop("exception", None)
    for key, value in event.items():
        text = value if type(value) is str else str(value)
        line += f" {key}={text!r}" if " " in text or "\n" in text else f" {key}={text}"
    return line if trace is None else f"{line}\n{trace}"


def _json_line(_logger: Any, _name: str, event: structlog.typing.EventDict) -> str:
    import msgspec

    return msgspec.json.encode(event, enc_hook=str).decode()


class _ForwardingHandler(logging.Handler):
    """Logs records of the standard library's loggers as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log `record` as an event; overrides logging.Handler.emit."""
        fields = {"logger": record.name}
        if record.exc_info:
            fields["exception"] = logging.Formatter().formatException(record.exc_info)
        Log.current.log(record.levelno, record.getMessage(), **fields)


class _StandardError:
    """Writes lines to the current `sys.stderr`. Errors are ignored: a closed log must not end the program."""

    def msg(self, message: str) -> None:
        """Write `message` as a line."""
        with contextlib.suppress(OSError, ValueError):
            sys.stderr.write(message + "\n")
            sys.stderr.flush()

    log = debug = info = warning = error = critical = failure = fatal = msg


_DEFAULT_SETTINGS = LogSettings()


def configure(settings: Any = _DEFAULT_SETTINGS, debug: bool = False, **fields: Any) -> None:
    """Set format and level for the whole process; called again on a reload.

    `settings` is a LogSettings or an object with the same attributes; `fields` are added to each line.
    """
    level = logging.DEBUG if debug else LEVELS[settings.level]
    json = settings.format == "json"
    add_time: Any = structlog.processors.TimeStamper(fmt="iso", key="at") if json else _TimeOfDay().add
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            add_time,
            _json_line if json else _text_line,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=lambda *args: _StandardError(),
        cache_logger_on_first_use=False,
    )
    Log.current = structlog.get_logger().bind(**fields)
    logging.basicConfig(level=max(level, logging.INFO), handlers=[_ForwardingHandler()], force=True)


class Log:
    """Forwards to the logger of the current configuration.

    structlog's own lazy proxy binds a new logger for every line, even one below the log level, and its cache would not
    follow a reload.
    """

    current: Any = structlog.get_logger()

    def debug(self, event: str, **fields: Any) -> None:
        """Log a debug event."""
        self.current.debug(event, **fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log an event of normal operation."""
        self.current.info(event, **fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log a degradation."""
        self.current.warning(event, **fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log a fault."""
        self.current.error(event, **fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Log a fault with the traceback of the current exception."""
        self.current.exception(event, **fields)


def get(name: str) -> Log:
    """Return a logger. All loggers share the process-wide configuration, whatever their name."""
    return Log()
