"""Base class and options of the tool's commands."""

from __future__ import annotations

import os
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from walkcart.cli.exits import CommandFailed, Exit
from walkcart.cli.output import render_json, render_table
from walkcart.cli.settings import DEFAULTS, ToolSettings, read_tool_settings

COMMON_OPTIONS = [
    option("store", None, "Address of the key-value service, IP:port.", flag=False),
    option("instance", None, "Address of any walkcart instance, IP:port.", flag=False),
    option("token", None, "Operators' token at instances.", flag=False),
    option("partner-token", None, "Token of a partner, for query.", flag=False),
    option("output", None, "Output format: table or json.", flag=False),
]


class ToolCommand(Command):
    """Base class of commands, which prints failures and sets the exit code."""

    def handle(self) -> int:
        """Run the command; return its exit code."""
        try:
            return int(self.act(self._read_settings()))
        except CommandFailed as error:
            for line in error.lines:
                self.line_error(f"walkcart: {line}")
            return int(error.code)

    def act(self, settings: ToolSettings) -> Exit:
        """Perform the command and return its exit code.

        Raises:
            CommandFailed: the command can't be performed.
        """
        raise NotImplementedError

    def _read_settings(self) -> ToolSettings:
        options = {name: self.option(name) for name in DEFAULTS}
        return read_tool_settings(options, os.environ)

    def show(
        self, settings: ToolSettings, content: Any, header: list[str], rows: list
    ) -> None:
        """Print `content` as JSON or `rows` as a table."""
        if settings.output == "json":
            self.write_plain(render_json(content))
        else:
            self.write_plain(render_table(header, rows))

    def write_plain(self, text: str) -> None:
        """Print a text literally, without markup."""
        print(text)
