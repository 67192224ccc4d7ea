"""Exit codes of the tool; ``docs/OPERATIONS.md`` lists them."""

from __future__ import annotations

from enum import IntEnum


class Exit(IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6


class CommandFailed(Exception):
    """A command can't be performed.

    Args:
        code: exit code of the tool.
        lines: lines of the error message for the operator.
    """

    def __init__(self, code: Exit, *lines: str) -> None:
        super().__init__("; ".join(lines))
        self.code = code
        self.lines = lines
