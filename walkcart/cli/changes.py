"""Commands that change the configuration, or say what a change would do."""

from __future__ import annotations

import getpass
import uuid
from pathlib import Path

from cleo.helpers import argument, option

from walkcart.cli.clients import fetch_document, make_applier, run
from walkcart.cli.command import COMMON, ToolCommand
from walkcart.cli.edits import (
    LABELLED,
    Edit,
    drain_leaves,
    end_drain,
    label_leaves,
    label_object,
    read_labels,
)
from walkcart.cli.exits import CommandFailed, Exit
from walkcart.cli.settings import ToolSettings
from walkcart.cli.waiting import describe_race, wait_in_force
from walkcart.intent.applying import (
    Accepted,
    ChangeConflict,
    Outcome,
    Proposal,
    Refused,
    Unchanged,
    Unknown,
)
from walkcart.intent.diffing import (
    Difference,
    diff_configurations,
    merge_configurations,
)
from walkcart.intent.loading import load_toml
from walkcart.intent.model import Configuration
from walkcart.intent.selectors import SelectorError, parse_selector
from walkcart.intent.validation import validate_configuration

FILES = argument("files", "TOML files.", multiple=True)
ALLOW_EMPTY = option("allow-empty", None, "Take selectors that match nothing.")
PRUNE = option("prune", None, "Remove objects that the files lack.")
APPLYING = [
    option("wait", None, "Return when it is in force at every live instance."),
    option("wait-seconds", None, "Longest wait.", flag=False, default="10"),
    option("author", None, "Who changes; the user's name by default.", flag=False),
    option("dry-run", None, "Say what would change; write nothing."),
    ALLOW_EMPTY,
]


def load_files(paths: list[str]) -> Configuration:
    """Return the objects of all files.

    Raises:
        CommandFailed: a file can't be read or holds faults.
    """
    merged = Configuration()
    faults: list[str] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            faults.append(f"{path}: {error}")
            continue
        loaded = load_toml(text)
        faults += [f"{path}: {fault}" for fault in loaded.faults]
        merged = merge_configurations(merged, loaded.configuration, prune=False)
    if faults:
        raise CommandFailed(Exit.INVALID, *faults)
    return merged


def check_configuration(configuration: Configuration, allow_empty: bool) -> None:
    """Check a configuration.

    Raises:
        CommandFailed: with all that is wrong.
    """
    report = validate_configuration(configuration)
    problems = [str(fault) for fault in report.faults]
    if not allow_empty:
        problems += [f"{fault} (--allow-empty takes it)" for fault in report.warnings]
    if problems:
        raise CommandFailed(Exit.INVALID, *problems)


class ValidateCommand(ToolCommand):
    """``walkcart validate``."""

    name = "validate"
    description = "Checks files without touching anything."
    arguments = [FILES]
    options = [*COMMON, ALLOW_EMPTY]
    help = "Example: walkcart validate examples/swapline.toml"

    def act(self, settings: ToolSettings) -> Exit:
        """Check the files on their own."""
        check_configuration(
            load_files(self.argument("files")), self.option("allow-empty")
        )
        self.write_plain("valid")
        return Exit.OK


class DiffCommand(ToolCommand):
    """``walkcart diff``."""

    name = "diff"
    description = "Shows what applying files would change."
    arguments = [FILES]
    options = [*COMMON, PRUNE]
    help = "Example: walkcart diff examples/swapline.toml --output json"

    def act(self, settings: ToolSettings) -> Exit:
        """Compare the files with the store."""
        update = load_files(self.argument("files"))
        document = run(lambda: fetch_document(settings))
        base = document.configuration
        wanted = merge_configurations(base, update, self.option("prune"))
        show_differences(self, settings, diff_configurations(base, wanted))
        return Exit.OK


def show_differences(
    command: ToolCommand, settings: ToolSettings, found: tuple[Difference, ...]
) -> None:
    """Print differences, a row for each object or changed field."""
    rows = []
    for difference in found:
        if not difference.fields:
            rows.append([difference.object, difference.kind.value, "", "", ""])
        for name, old, new in difference.fields:
            rows.append([difference.object, difference.kind.value, name, old, new])
    command.show(settings, found, ["object", "change", "field", "old", "new"], rows)


class ChangeCommand(ToolCommand):
    """Base of the commands that apply an edit."""

    def apply(self, settings: ToolSettings, edit: Edit) -> Exit:
        """Apply `edit` and tell the outcome."""
        if self.option("dry-run"):
            return self._try(settings, edit)
        author = self.option("author") or getpass.getuser()
        allow_empty = self.option("allow-empty")
        proposal = Proposal(str(uuid.uuid4()), author, edit, allow_empty)

        async def act() -> Outcome:
            return await make_applier(settings).apply(proposal)

        return self._tell(settings, run(act))

    def _try(self, settings: ToolSettings, edit: Edit) -> Exit:
        document = run(lambda: fetch_document(settings))
        wanted = edit(document.configuration)
        check_configuration(wanted, self.option("allow-empty"))
        found = diff_configurations(document.configuration, wanted)
        show_differences(self, settings, found)
        return Exit.OK

    def _tell(self, settings: ToolSettings, outcome: Outcome) -> Exit:
        match outcome:
            case Accepted(revision):
                self.write_plain(f"accepted as revision {revision}")
                return self._wait(settings, revision)
            case Unchanged(revision):
                self.write_plain(f"nothing to change at revision {revision}")
                return self._wait(settings, revision)
            case Refused(faults):
                lines = [str(fault) for fault in faults]
                raise CommandFailed(Exit.INVALID, *lines)
            case ChangeConflict():
                raise CommandFailed(Exit.CONFLICT, *describe_race(outcome))
            case Unknown(id, True):
                detail = f"the store can't say whether change {id} was accepted"
                hint = "look for it in `walkcart get --changes`"
                raise CommandFailed(Exit.UNAVAILABLE, detail, hint)
            case Unknown(id, False):
                detail = f"the store can't be used; change {id} was not accepted"
                raise CommandFailed(Exit.UNAVAILABLE, detail)

    def _wait(self, settings: ToolSettings, revision: int) -> Exit:
        if not self.option("wait"):
            return Exit.OK
        try:
            limit = float(self.option("wait-seconds"))
        except ValueError:
            raise CommandFailed(Exit.USAGE, "--wait-seconds: a number") from None
        behind = run(lambda: wait_in_force(settings, revision, limit))
        if behind:
            names = ", ".join(behind)
            detail = f"accepted, but not in force yet at: {names}"
            raise CommandFailed(Exit.NOT_IN_FORCE, detail)
        self.write_plain(f"revision {revision} is in force at every live instance")
        return Exit.OK


class ApplyCommand(ChangeCommand):
    """``walkcart apply``."""

    name = "apply"
    description = "Brings the objects of files into force."
    arguments = [FILES]
    options = [*COMMON, *APPLYING, PRUNE]
    help = "Example: walkcart apply examples/swapline.toml --wait"

    def act(self, settings: ToolSettings) -> Exit:
        """Merge the files into the stored configuration."""
        update = load_files(self.argument("files"))
        prune = self.option("prune")
        return self.apply(
            settings, lambda base: merge_configurations(base, update, prune)
        )


class LabelCommand(ChangeCommand):
    """``walkcart label``."""

    name = "label"
    description = "Sets or removes labels of an object, or of leaves by selector."
    arguments = [
        argument("kind", "service, partner, shard_group or leaf."),
        argument("target", "A name; for leaves a selector."),
        argument("labels", "key=value sets, key- removes.", multiple=True),
    ]
    options = [*COMMON, *APPLYING]
    help = (
        "Examples: walkcart label service pack-finder tier=search\n"
        "          walkcart label leaf 'data-centre=hobart-a' busy=yes"
    )

    def act(self, settings: ToolSettings) -> Exit:
        """Change labels."""
        kind, target = self.argument("kind"), self.argument("target")
        added, removed = read_labels(self.argument("labels"))
        if kind == "leaf":
            check_selector(target)
            return self.apply(settings, label_leaves(target, added, removed))
        if kind not in LABELLED:
            expected = f"{kind!r}: expected leaf, {', '.join(LABELLED)}"
            raise CommandFailed(Exit.USAGE, expected)
        return self.apply(settings, label_object(kind, target, added, removed))


class DrainCommand(ChangeCommand):
    """``walkcart drain``."""

    name = "drain"
    description = "Stops new work to the leaves that a selector matches."
    arguments = [argument("selector", "Leaves.")]
    options = [*COMMON, *APPLYING, option("end", None, "Take the drain back.")]
    help = "Example: walkcart drain 'data-centre=hobart-a' --wait"

    def act(self, settings: ToolSettings) -> Exit:
        """Drain, or end a drain."""
        selector = self.argument("selector")
        check_selector(selector)
        edit = end_drain(selector) if self.option("end") else drain_leaves(selector)
        return self.apply(settings, edit)


def check_selector(text: str) -> None:
    """Check a selector.

    Raises:
        CommandFailed: it isn't one, or it is empty.
    """
    try:
        parse_selector(text)
    except SelectorError as error:
        raise CommandFailed(Exit.USAGE, f"selector: {error}") from None
    if not text.strip():
        raise CommandFailed(Exit.USAGE, "selector: an empty one matches every leaf")
