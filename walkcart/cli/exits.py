"""Exit codes of the tool; ``docs/OPERATIONS.md`` lists them."""

from __future__ import annotations

from enum import IntEnum


class Exit(IntEnum):
    """How a command ended."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6


class CommandFailed(Exception):
    """A command can't do what it was asked.

    Args:
        code: its exit code.
        lines: what the operator is told.
    """

    def __init__(self, code: Exit, *lines: str) -> None:
        super().__init__("; ".join(lines))
        self.code = code
        self.lines = lines
