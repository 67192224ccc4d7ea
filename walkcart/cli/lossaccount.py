"""Counts lost requests by time, route, outcome and cause in bounded memory.

See Also:
    `walkcart.cli.losscauses`, which classifies single lines.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from walkcart.cli.losscauses import Cause, InstanceHistory, Outcome, RequestEnd
from walkcart.kernel.decoding import JsonDecoder

_LINE = JsonDecoder(Any)

#: Maximum number of counters; beyond it, each pair of adjacent time steps is merged.
MAX_COUNTS = 50_000
#: Maximum number of instances whose earlier lines are remembered.
MAX_INSTANCES = 2_000
#: Outcomes other than good, the worst for the caller first.
WORST_FIRST = (Outcome.FAILED, Outcome.REFUSED, Outcome.LATE, Outcome.PARTIAL)


@dataclass(frozen=True, slots=True)
class LossRow:
    """Number of requests that were lost in the same way.

    Args:
        second: start of the time step, in seconds since the first lost request.
        route: route of the requests.
        outcome: how the requests ended.
        cause: why the requests were lost.
        requests: number of the requests.
    """

    second: float
    route: str
    outcome: Outcome
    cause: Cause
    requests: int


class LossAccount:
    """Reads log lines and counts lost requests.

    Args:
        step: initial length of a time step, in seconds; it is doubled when there are
            too many counters.

    Attributes:
        ended: number of requests whose end the log reports.
        unusable: number of lines that couldn't be parsed.
        dropped: number of lines that the instances never wrote.
    """

    def __init__(self, step: float = 1.0) -> None:
        self.step = step
        self.ended = 0
        self.unusable = 0
        self.dropped = 0
        self._start: float | None = None
        self._counts: Counter[tuple[int, str, Outcome, Cause]] = Counter()
        self._histories: dict[str, InstanceHistory] = {}

    def read(self, lines: Iterable[str]) -> None:
        """Read the lines of one log; anything before the JSON of a line is skipped."""
        for text in lines:
            if text.strip():
                self._read_line(text)

    def _read_line(self, text: str) -> None:
        try:
            line = _LINE.decode(text[max(0, text.find("{")) :].encode())
            if line.get("event") == "log_lines_dropped":
                self.dropped += line["count"]
                return
            time = datetime.fromisoformat(line["time"]).timestamp()
            memory = self._find_history(line["instance"])
        except (ValueError, KeyError, TypeError, AttributeError):
            self.unusable += 1
            return
        self.dropped += line.get("dropped_lines", 0)
        end = memory.process_line(line, time)
        if end is not None:
            self._count(end)

    def _find_history(self, instance: str) -> InstanceHistory:
        while instance not in self._histories and len(self._histories) >= MAX_INSTANCES:
            del self._histories[next(iter(self._histories))]
        return self._histories.setdefault(instance, InstanceHistory())

    def _count(self, end: RequestEnd) -> None:
        self.ended += 1
        if end.outcome is Outcome.GOOD:
            return
        if self._start is None:
            self._start = math.floor(end.time)
        place = math.floor((end.time - self._start) / self.step)
        self._counts[(place, end.route, end.outcome, end.cause)] += 1
        if len(self._counts) > MAX_COUNTS:
            self._double_step()

    def _double_step(self) -> None:
        self.step *= 2
        merged: Counter[tuple[int, str, Outcome, Cause]] = Counter()
        for (place, *rest), count in self._counts.items():
            merged[(place // 2, *rest)] += count
        self._counts = merged

    @property
    def lost(self) -> int:
        """Number of requests whose outcome isn't good."""
        return sum(self._counts.values())

    @property
    def explained(self) -> float:
        """Share of the lost requests whose cause is known; 1 if none was lost."""
        if not self._counts:
            return 1.0
        unknown = sum(
            count for key, count in self._counts.items() if key[3] is Cause.UNKNOWN
        )
        return 1 - unknown / self.lost

    def rows(self, by_second: bool) -> list[LossRow]:
        """Return the counts by time step, or in total with the most frequent first.

        Args:
            by_second: whether each time step has rows of its own.
        """
        counts: Counter[tuple[int, str, Outcome, Cause]] = Counter()
        for (place, *rest), count in self._counts.items():
            counts[(place if by_second else 0, *rest)] += count
        rows = [
            LossRow(place * self.step, route, outcome, cause, count)
            for (place, route, outcome, cause), count in counts.items()
        ]
        return sorted(rows, key=_rank)


def _rank(row: LossRow) -> tuple[Any, ...]:
    worst = WORST_FIRST.index(row.outcome)
    return row.second, -row.requests, worst, row.route, row.cause.value
