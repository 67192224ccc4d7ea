"""The command that reports lost requests from the logs of instances."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from cleo.helpers import argument, option

from walkcart.cli.command import COMMON_OPTIONS, ToolCommand
from walkcart.cli.exits import CommandFailed, Exit
from walkcart.cli.lossaccount import LossAccount, LossRow
from walkcart.cli.settings import ToolSettings

#: Argument that stands for standard input.
STANDARD_INPUT = "-"


class LossesCommand(ToolCommand):
    """``walkcart losses``."""

    name = "losses"
    description = "Reports late and lost requests by route and cause, from logs."
    arguments = [argument("logs", "Log files, or - for standard input.", multiple=True)]
    options = [
        *COMMON_OPTIONS,
        option("by-second", None, "Print separate rows for each time step."),
        option("step", None, "Length of a time step in seconds.", flag=False),
        option(
            "plot",
            None,
            "Draw the losses into this file (needs matplotlib).",
            flag=False,
        ),
    ]
    help = (
        "Examples: walkcart losses *.log; cat all.log | walkcart losses - --by-second"
    )

    def act(self, settings: ToolSettings) -> Exit:
        """Read the logs and print the lost requests."""
        account = LossAccount(self._read_step())
        for name in self.argument("logs"):
            account.read(_read_lines(name))
        rows = account.rows(bool(self.option("by-second")))
        header = ["second", "route", "outcome", "requests", "cause"]
        cells = [
            [f"{row.second:g}", row.route, row.outcome, row.requests, row.cause]
            for row in rows
        ]
        if not self.option("by-second"):
            header, cells = header[1:], [row[1:] for row in cells]
        self.show(settings, _describe(account, rows), header, cells)
        if settings.output != "json":
            self.write_plain(_summarise(account))
        if self.option("plot"):
            _draw(account, Path(self.option("plot")))
        return Exit.OK

    def _read_step(self) -> float:
        text = self.option("step") or "1"
        try:
            step = float(text)
        except ValueError:
            step = 0.0
        if not 0 < step < float("inf"):
            raise CommandFailed(
                Exit.USAGE, f"--step {text!r}: expected seconds above 0"
            )
        return step


def _read_lines(name: str) -> Iterator[str]:
    if name == STANDARD_INPUT:
        yield from sys.stdin
        return
    try:
        with open(name, encoding="utf-8", errors="replace") as file:
            yield from file
    except OSError as error:
        detail = f"{name}: {error.strerror or error}"
        raise CommandFailed(Exit.FAILED, detail) from None


def _describe(account: LossAccount, rows: list[LossRow]) -> dict[str, Any]:
    return {
        "ended": account.ended,
        "lost": account.lost,
        "explained": round(account.explained, 4),
        "unusable_lines": account.unusable,
        "dropped_lines": account.dropped,
        "step": account.step,
        "rows": rows,
    }


def _summarise(account: LossAccount) -> str:
    return (
        f"{account.lost} of {account.ended} requests were not good;"
        f" {account.explained:.0%} of them have a cause;"
        f" {account.unusable} lines couldn't be used,"
        f" {account.dropped} were never written"
    )


def _draw(account: LossAccount, path: Path) -> None:
    """Plot the lost requests by time step and cause into a file."""
    try:
        from matplotlib.figure import Figure
    except ImportError:
        detail = "--plot needs matplotlib: pip install 'walkcart[bench]'"
        raise CommandFailed(Exit.FAILED, detail) from None
    axes = (figure := Figure(figsize=(10, 5))).add_subplot()
    rows = account.rows(by_second=True)
    stacked: dict[float, int] = {}
    for cause in sorted({row.cause for row in rows}, key=lambda item: item.value):
        heights: dict[float, int] = {}
        for row in rows:
            if row.cause is cause:
                heights[row.second] = heights.get(row.second, 0) + row.requests
        bottoms = [stacked.get(second, 0) for second in heights]
        axes.bar(
            list(heights),
            list(heights.values()),
            account.step,
            bottoms,
            align="edge",
            label=cause.value,
        )
        for second, height in heights.items():
            stacked[second] = stacked.get(second, 0) + height
    axes.set_xlabel("seconds since the first loss")
    axes.set_ylabel(f"requests in {account.step:g} s")
    if rows:
        axes.legend(fontsize="small")
    figure.savefig(path)
