"""Whether a run of the demo shows what the README promises, from what was recorded.

Nothing here knows how fast the machine was: a run with more failures never passes where
one with fewer fails.

Examples:
    >>> judge_run(Record(answers=170, failures=1)).passed
    True
    >>> judge_run(Record(answers=170, broken={"one snapshot": 1})).complaints
    ('one snapshot: broken 1 times',)
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

#: What must hold of every reply, each with what the demo looks at.
PROMISES = MappingProxyType(
    {
        "one snapshot": "no answer mixes index versions",
        "own answer": "no answer holds rows of another caller or question",
        "true coverage": "each answer states the shards that its rows are of",
        "true refusals": "no question that was said not to have run ran at a leaf",
        "own checks": "no instance found one of its invariants broken",
    }
)
#: Share of the questions that may end without an answer: a leaf of one of fifty shards
#: is killed under them, and only those that it has at that moment can fail. A product
#: that leaves one caller in twenty without an answer is broken.
MOST_UNANSWERED = 0.05


@dataclass(frozen=True, slots=True)
class Record:
    """What came of a run's questions.

    Args:
        answers: questions with an answer, whole or partial.
        failures: questions with a truthful failure, or no reply.
        broken: how often each promise was seen broken.
    """

    answers: int
    failures: int = 0
    broken: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Judgement:
    """What a run comes to.

    Args:
        complaints: why it doesn't pass; none if it does.
    """

    complaints: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Whether the run shows what is promised."""
        return not self.complaints


def judge_run(record: Record) -> Judgement:
    """Return what a run comes to."""
    complaints = [
        f"{promise}: broken {count} times"
        for promise, count in record.broken.items()
        if count
    ]
    asked = record.answers + record.failures
    if not record.answers:
        complaints.append("no question was answered")
    elif record.failures > MOST_UNANSWERED * asked:
        complaints.append(f"{record.failures} of {asked} questions had no answer")
    return Judgement(tuple(complaints))
