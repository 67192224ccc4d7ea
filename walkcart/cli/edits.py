"""Edits of the configuration that the tool's commands make."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b

from walkcart.cli.exits import CommandFailed, Exit
from walkcart.intent.model import KINDS, Configuration, LabelRule, RoutingIntent
from walkcart.intent.selectors import KEY_PATTERN, VALUE_PATTERN

Edit = Callable[[Configuration], Configuration]
#: Priority of the routing intents that drain leaves.
DRAIN_PRIORITY = 1000
#: Kinds of objects whose labels can be changed.
LABELLED_KINDS = ("service", "partner", "shard_group")


def read_labels(texts: list[str]) -> tuple[dict[str, str], list[str]]:
    """Return the labels to set, given as ``key=value``, and to remove, as ``key-``.

    Raises:
        CommandFailed: a text has neither form.
    """
    added: dict[str, str] = {}
    removed: list[str] = []
    for text in texts:
        key, separator, value = text.partition("=")
        if separator and KEY_PATTERN.fullmatch(key) and VALUE_PATTERN.fullmatch(value):
            added[key] = value
        elif not separator and text.endswith("-") and KEY_PATTERN.fullmatch(text[:-1]):
            removed.append(text[:-1])
        else:
            raise CommandFailed(Exit.USAGE, f"{text!r}: expected key=value or key-")
    return added, removed


def label_object(
    kind: str, name: str, added: dict[str, str], removed: list[str]
) -> Edit:
    """Return an edit that changes the labels of one object."""

    def edit(base: Configuration) -> Configuration:
        place = KINDS[kind][1]
        items = getattr(base, place)
        if all(item.name != name for item in items):
            raise CommandFailed(Exit.FAILED, f"no {kind} is named {name!r}")
        changed = tuple(
            replace(item, labels=_change_labels(item.labels, added, removed))
            if item.name == name
            else item
            for item in items
        )
        return replace(base, **{place: changed})

    return edit


def label_leaves(selector: str, added: dict[str, str], removed: list[str]) -> Edit:
    """Return an edit that changes the labels of the leaves that a selector matches."""
    name = make_object_name("labels", selector)

    def edit(base: Configuration) -> Configuration:
        held = {item.name: item for item in base.label_rules}
        before = held[name].labels if name in held else {}
        labels = _change_labels(before, added, removed)
        if labels:
            held[name] = LabelRule(name, selector, labels)
        else:
            held.pop(name, None)
        return replace(base, label_rules=_sort_by_name(held))

    return edit


def drain_leaves(selector: str) -> Edit:
    """Return an edit that stops new work for the leaves that a selector matches."""
    intent = RoutingIntent(
        make_object_name("drain", selector), "", DRAIN_PRIORITY, exclude=selector
    )

    def edit(base: Configuration) -> Configuration:
        held = {item.name: item for item in base.routing_intents}
        held[intent.name] = intent
        return replace(base, routing_intents=_sort_by_name(held))

    return edit


def end_drain(selector: str) -> Edit:
    """Return an edit that undoes `drain_leaves`."""
    name = make_object_name("drain", selector)

    def edit(base: Configuration) -> Configuration:
        held = {item.name: item for item in base.routing_intents}
        if name not in held:
            raise CommandFailed(Exit.FAILED, f"nothing is drained by {selector!r}")
        del held[name]
        return replace(base, routing_intents=_sort_by_name(held))

    return edit


def make_object_name(purpose: str, selector: str) -> str:
    """Return the name of the object that a command creates for a selector."""
    digest = blake2b(selector.encode(), digest_size=5).hexdigest()
    return f"{purpose}-{digest}"


def _change_labels(
    labels: dict[str, str], added: dict[str, str], removed: list[str]
) -> dict[str, str]:
    merged = {**labels, **added}
    return {key: value for key, value in merged.items() if key not in removed}


def _sort_by_name(held: dict) -> tuple:
    return tuple(held[name] for name in sorted(held))
