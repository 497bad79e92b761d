"""The record of a case: one line for everything that was sent, answered or run."""

import json
import time
from pathlib import Path


class Record:
    """Writes `record.txt` and keeps the entries for the check at the end."""

    def __init__(self, folder):
        """Start an empty record in `folder`."""
        self.entries = []
        self._started_at = time.monotonic()
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, what, **fields):
        """Add an entry and return it."""
        entry = {"at": round(self.now(), 4), "what": what, **fields}
        self.entries.append(entry)
        self._file.write(json.dumps(entry) + "\n")
        self._file.flush()
        return entry

    def of(self, what, **fields):
        """Return the entries of a kind with these fields."""
        return [
            entry
            for entry in self.entries
            if entry["what"] == what and all(entry.get(name) == value for name, value in fields.items())
        ]
