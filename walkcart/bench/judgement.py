"""Checks whether a run of the demo keeps the promises of the README.

The result doesn't depend on the speed of the machine. If a run fails, no run with more
failures passes.

Examples:
    >>> judge_run(Record(answers=170, failures=1)).passed
    True
    >>> judge_run(Record(answers=170, broken={"one snapshot": 1})).problems
    ('one snapshot: broken 1 times',)
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

#: The promises about every reply, each with what the demo checks.
PROMISES = MappingProxyType(
    {
        "one snapshot": "no answer mixes index versions",
        "own answer": "no answer holds rows of another caller or question",
        "true coverage": "each answer states the shards that its rows are of",
        "true refusals": "no question that was said not to have run ran at a leaf",
        "own checks": "no instance found one of its invariants broken",
    }
)
#: Maximum share of questions that may end without an answer. The demo kills a leaf of
#: one of fifty shards, which can only fail the questions in progress there. Software
#: that leaves one question in twenty without an answer is broken.
MAX_UNANSWERED_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class Record:
    """The outcomes of the questions of a run.

    Args:
        answers: number of questions with a complete or partial answer.
        failures: number of questions with a truthful failure or no reply.
        broken: number of times that each promise was broken.
    """

    answers: int
    failures: int = 0
    broken: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Judgement:
    """The assessment of a run.

    Args:
        problems: the reasons why it fails; empty if it passes.
    """

    problems: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Whether the run keeps the promises."""
        return not self.problems


def judge_run(record: Record) -> Judgement:
    """Assess a run from its recorded outcomes."""
    problems = [
        f"{promise}: broken {count} times"
        for promise, count in record.broken.items()
        if count
    ]
    asked = record.answers + record.failures
    if not record.answers:
        problems.append("no question was answered")
    elif record.failures > MAX_UNANSWERED_SHARE * asked:
        problems.append(f"{record.failures} of {asked} questions had no answer")
    return Judgement(tuple(problems))
