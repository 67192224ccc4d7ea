"""Acceptance of a change: one compare-and-swap on the configuration.

A change is accepted when its write took effect, and only then has it a
revision. A lost reply is settled by reading back and looking for the change's
id. A change that raced with another on the same objects is a conflict that
shows both sides; on other objects it is made again on top.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from walkcart.intent.diffing import Difference, diff_configurations
from walkcart.intent.document import (
    CONFIGURATION_KEY,
    EMPTY_DOCUMENT,
    Change,
    Document,
    DocumentError,
    make_document,
    read_document,
)
from walkcart.intent.loading import ConfigurationFault
from walkcart.intent.model import Configuration
from walkcart.intent.validation import validate_configuration
from walkcart.kernel.clock import Clock
from walkcart.store.backoff import Backoff
from walkcart.store.calls import StoreUnavailable
from walkcart.store.client import (
    VALUE_LIMIT,
    Conflict,
    Entry,
    StoreClient,
    Written,
)

Edit = Callable[[Configuration], Configuration]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in the store with this revision."""

    revision: int
    differences: tuple[Difference, ...]


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The configuration at this revision is already as wanted."""

    revision: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The change isn't valid; nothing was written."""

    faults: tuple[ConfigurationFault, ...]


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Another operator changed the same objects first; nothing was written.

    Args:
        change: the other one.
        mine: what this change would have done.
        theirs: what the other did.
    """

    change: Change
    mine: tuple[Difference, ...]
    theirs: tuple[Difference, ...]


@dataclass(frozen=True, slots=True)
class Unknown:
    """The store can't say whether the change took effect.

    Args:
        id: of the change; found again in ``walkcart get --changes``.
        may_be_accepted: False when it surely is not.
    """

    id: str
    may_be_accepted: bool


Outcome = Accepted | Unchanged | Refused | ChangeConflict | Unknown


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change that is wanted.

    Args:
        id: unique.
        author: who wants it.
        edit: makes the new configuration from the present one.
        allow_empty: whether selectors may match nothing.
    """

    id: str
    author: str
    edit: Edit
    allow_empty: bool = False


async def read_stored(store: StoreClient) -> tuple[Document, int]:
    """Return the stored document and the entry's revision; empty when absent.

    Raises:
        StoreUnavailable: no usable reply.
        DocumentError: the stored value isn't a configuration.
    """
    return _read_entry(await store.get(CONFIGURATION_KEY))


def _read_entry(entry: Entry | None) -> tuple[Document, int]:
    if entry is None:
        return EMPTY_DOCUMENT, 0
    return read_document(entry.value), entry.revision


class Applier:
    """Brings changes into the store.

    Args:
        store: the key-value service.
        clock: source of time.
        backoff: waits between tries during an outage.
        outage_timeout: how long an outage is waited out.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        backoff: Backoff,
        outage_timeout: timedelta,
    ) -> None:
        self._store = store
        self._clock = clock
        self._backoff = backoff
        self._patience = outage_timeout

    async def apply(self, proposal: Proposal) -> Outcome:
        """Bring `proposal` into the store.

        Raises:
            DocumentError: the stored value isn't a configuration.
        """
        until = self._clock.monotonic() + self._patience.total_seconds()
        first: Document | None = None
        may_be_accepted = False
        while True:
            try:
                document, revision = await read_stored(self._store)
                accepted = _find_change(document, proposal.id)
                if accepted is not None:
                    return Accepted(accepted.revision, _differences(first, document))
                if first is not None:
                    raced = _find_race(first, document, proposal)
                    if raced is not None:
                        return raced
                first = first or document
                outcome = await self._write(proposal, document, revision)
                if outcome is not None:
                    return outcome
            except StoreUnavailable as error:
                may_be_accepted = may_be_accepted or error.uncertain
                if self._clock.monotonic() >= until:
                    return Unknown(proposal.id, may_be_accepted)
                await self._clock.sleep(self._backoff.next_delay())

    async def _write(
        self, proposal: Proposal, document: Document, revision: int
    ) -> Outcome | None:
        """Try one write; None when another came first."""
        wanted = proposal.edit(document.configuration)
        differences = diff_configurations(document.configuration, wanted)
        if not differences:
            return Unchanged(document.revision)
        report = validate_configuration(wanted)
        problems = report.faults
        if not proposal.allow_empty:
            problems += report.warnings
        if problems:
            return Refused(problems)
        change = self._make_change(proposal, document, differences)
        new = make_document(document, wanted, change)
        if len(new.data) > VALUE_LIMIT:
            expected = f"at most {VALUE_LIMIT} bytes, not {len(new.data)}"
            return Refused((ConfigurationFault("configuration", expected),))
        match await self._store.put(CONFIGURATION_KEY, new.data, revision):
            case Written():
                return Accepted(new.revision, differences)
            case Conflict():
                return None

    def _make_change(
        self, proposal: Proposal, base: Document, differences: tuple[Difference, ...]
    ) -> Change:
        touched = tuple(item.object for item in differences)
        time = self._clock.now().isoformat()
        return Change(proposal.id, base.revision + 1, proposal.author, time, touched)


def _find_change(document: Document, id: str) -> Change | None:
    return next((item for item in document.changes if item.id == id), None)


def _differences(first: Document | None, document: Document) -> tuple[Difference, ...]:
    if first is None:
        return ()
    return diff_configurations(first.configuration, document.configuration)


def _find_race(
    first: Document, now: Document, proposal: Proposal
) -> ChangeConflict | None:
    """Return the race if a change since `first` touched the same objects."""
    wanted = proposal.edit(first.configuration)
    mine = diff_configurations(first.configuration, wanted)
    mine_touched = {item.object for item in mine}
    for change in now.changes:
        if change.revision > first.revision and mine_touched & set(change.touched):
            theirs = diff_configurations(first.configuration, now.configuration)
            return ChangeConflict(change, mine, theirs)
    return None


__all__ = [
    "Accepted",
    "Applier",
    "DocumentError",
    "Outcome",
    "Proposal",
    "ChangeConflict",
    "Refused",
    "Unchanged",
    "Unknown",
    "read_stored",
]
