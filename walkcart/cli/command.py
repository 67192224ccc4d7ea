"""What the tool's commands share."""

from __future__ import annotations

import os
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from walkcart.cli.exits import CommandFailed, Exit
from walkcart.cli.output import render_json, render_table
from walkcart.cli.settings import DEFAULTS, ToolSettings, read_tool_settings

COMMON_OPTIONS = [
    option("store", None, "Key-value service, IP:port.", flag=False),
    option("instance", None, "Any walkcart instance, IP:port.", flag=False),
    option("token", None, "The operators' credential at instances.", flag=False),
    option("partner-token", None, "A partner's credential, for query.", flag=False),
    option("output", None, "table or json.", flag=False),
]


class ToolCommand(Command):
    """A command whose failures become lines and an exit code."""

    def handle(self) -> int:
        """Run the command; return its exit code."""
        try:
            return int(self.act(self._read_settings()))
        except CommandFailed as error:
            for line in error.lines:
                self.line_error(f"walkcart: {line}")
            return int(error.code)

    def act(self, settings: ToolSettings) -> Exit:
        """Do the work.

        Raises:
            CommandFailed: it can't be done.
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
        """Print a text in which nothing is markup."""
        print(text)
