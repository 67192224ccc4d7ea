"""Label selectors.

A selector is a comma-separated list of requirements that must all hold:
``key=value``, ``key!=value``, ``key in (a, b)``, ``key notin (a, b)``, ``key``
(the label exists) and ``!key`` (it doesn't). An empty selector matches everything.

Examples:
    >>> selector = parse_selector("region=hobart, tier in (search, ledger), !old")
    >>> selector.matches({"region": "hobart", "tier": "search"})
    True
    >>> selector.matches({"region": "burnie", "tier": "search"})
    False
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache

Labels = Mapping[str, str]

_KEY = r"[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?"
_VALUE = r"[A-Za-z0-9]([A-Za-z0-9._:-]*[A-Za-z0-9])?"
KEY_PATTERN = re.compile(_KEY)
VALUE_PATTERN = re.compile(_VALUE)
_COMPARISON = re.compile(rf"(?P<key>{_KEY})\s*(?P<sign>!=|=)\s*(?P<value>{_VALUE})")
_MEMBERSHIP = re.compile(
    rf"(?P<key>{_KEY})\s+(?P<sign>in|notin)\s*\((?P<values>[^()]*)\)"
)
_EXISTENCE = re.compile(rf"(?P<sign>!?)\s*(?P<key>{_KEY})")
_COMMA = re.compile(r",(?![^(]*\))")


class SelectorError(ValueError):
    """The text isn't a valid selector."""


@dataclass(frozen=True, slots=True)
class In:
    """Requires that the label exists and has one of `values`."""

    key: str
    values: frozenset[str]


@dataclass(frozen=True, slots=True)
class NotIn:
    """Requires that the label is missing or has none of `values`."""

    key: str
    values: frozenset[str]


@dataclass(frozen=True, slots=True)
class Exists:
    """Requires that the label exists."""

    key: str


@dataclass(frozen=True, slots=True)
class Missing:
    """Requires that the label is missing."""

    key: str


Requirement = In | NotIn | Exists | Missing


@dataclass(frozen=True, slots=True)
class Selector:
    """Requirements that must all hold."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Labels) -> bool:
        """Return whether `labels` meet all requirements."""
        return all(_is_met(item, labels) for item in self.requirements)


def _is_met(requirement: Requirement, labels: Labels) -> bool:
    match requirement:
        case In(key, values):
            return labels.get(key) in values
        case NotIn(key, values):
            return labels.get(key) not in values
        case Exists(key):
            return key in labels
        case Missing(key):
            return key not in labels


@lru_cache(maxsize=4096)
def parse_selector(text: str) -> Selector:
    """Parse a selector.

    Raises:
        SelectorError: a requirement or value is invalid; the message quotes it.
    """
    if not text.strip():
        return Selector()
    return Selector(tuple(_parse_requirement(part) for part in _COMMA.split(text)))


def _parse_requirement(part: str) -> Requirement:
    stripped = part.strip()
    if found := _COMPARISON.fullmatch(stripped):
        values = frozenset({found["value"]})
        return _make_set_requirement(found["sign"] == "=", found["key"], values)
    if found := _MEMBERSHIP.fullmatch(stripped):
        return _make_set_requirement(
            found["sign"] == "in", found["key"], _parse_values(found["values"])
        )
    if found := _EXISTENCE.fullmatch(stripped):
        return Missing(found["key"]) if found["sign"] else Exists(found["key"])
    raise SelectorError(f"can't read {stripped!r} as a requirement")


def _make_set_requirement(
    positive: bool, key: str, values: frozenset[str]
) -> Requirement:
    return In(key, values) if positive else NotIn(key, values)


def _parse_values(text: str) -> frozenset[str]:
    values = frozenset(value.strip() for value in text.split(","))
    for value in values:
        if not VALUE_PATTERN.fullmatch(value):
            raise SelectorError(f"can't read {value!r} as a label's value")
    return values
