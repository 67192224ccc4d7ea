"""The program ``walkcart``."""

from __future__ import annotations

import sys

from cleo.application import Application

from walkcart import __version__
from walkcart.cli.changes import (
    ApplyCommand,
    DiffCommand,
    DrainCommand,
    LabelCommand,
    ValidateCommand,
)
from walkcart.cli.losses import LossesCommand
from walkcart.cli.views import ExplainCommand, GetCommand, QueryCommand, StatusCommand

COMMANDS = (
    ValidateCommand,
    DiffCommand,
    ApplyCommand,
    GetCommand,
    StatusCommand,
    LabelCommand,
    DrainCommand,
    QueryCommand,
    ExplainCommand,
    LossesCommand,
)


def make_application() -> Application:
    """Return the tool with its commands."""
    application = Application("walkcart", __version__)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> None:
    """Run the tool and exit the process."""
    sys.exit(make_application().run())


if __name__ == "__main__":
    main()
