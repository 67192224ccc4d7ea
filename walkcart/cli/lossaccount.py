"""Counts of lost requests by second, route, outcome and cause, bounded in memory.

See Also:
    `walkcart.cli.losscauses`, which judges single lines.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from typing import Any

import msgspec

from walkcart.cli.losscauses import Cause, InstanceHistory, Outcome, RequestEnd

#: Different counts that are kept; past it seconds are joined two by two.
MAX_COUNTS = 50_000
#: Instances whose earlier lines are remembered.
MAX_INSTANCES = 2_000
#: Outcomes by what they take from the caller, the worst first.
WORST_FIRST = (Outcome.FAILED, Outcome.REFUSED, Outcome.LATE, Outcome.PARTIAL)


@dataclass(frozen=True, slots=True)
class LossRow:
    """Requests that were lost in the same way.

    Args:
        second: since the first line, where the span of time begins.
        route: of the requests.
        outcome: what their callers lost.
        cause: why.
        requests: how many.
    """

    second: float
    route: str
    outcome: Outcome
    cause: Cause
    requests: int


class LossAccount:
    """Reads lines and counts what was lost.

    Args:
        step: seconds that are counted together, at least.
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
        """Take the lines of one log, whatever a collector put before the JSON."""
        for text in lines:
            if text.strip():
                self._read_line(text)

    def _read_line(self, text: str) -> None:
        try:
            line = msgspec.json.decode(text[max(0, text.find("{")) :])
            if line.get("event") == "log_lines_dropped":
                self.dropped += line["count"]
                return
            time = datetime.fromisoformat(line["time"]).timestamp()
            memory = self._find_history(line["instance"])
        except (msgspec.MsgspecError, ValueError, KeyError, TypeError, AttributeError):
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
        joined: Counter[tuple[int, str, Outcome, Cause]] = Counter()
        for (place, *rest), count in self._counts.items():
            joined[(place // 2, *rest)] += count
        self._counts = joined

    @property
    def lost(self) -> int:
        """Requests that weren't good."""
        return sum(self._counts.values())

    @property
    def explained(self) -> float:
        """Share of the lost requests whose cause is known; 1 when none was lost."""
        if not self._counts:
            return 1.0
        unknown = sum(
            count for key, count in self._counts.items() if key[3] is Cause.UNKNOWN
        )
        return 1 - unknown / self.lost

    def rows(self, by_second: bool) -> list[LossRow]:
        """Return the counts, by second or the most frequent first.

        Args:
            by_second: whether each span of time has rows of its own.
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
