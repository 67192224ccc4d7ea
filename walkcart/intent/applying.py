"""Applies changes to the stored configuration by compare-and-swap.

A change is accepted, and gets a revision, when its write takes effect. If the reply to
the write is lost, the document is read back and searched for the change's id. If
another change came first, a change of the same objects is a conflict that shows both
sides; a change of other objects is retried on top of the new revision.
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
    """The change is stored with this revision."""

    revision: int
    differences: tuple[Difference, ...]


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The change has no effect on the configuration at this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The change isn't valid; nothing was written."""

    faults: tuple[ConfigurationFault, ...]


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Another operator changed the same objects first; nothing was written.

    Args:
        change: the first conflicting change of the other operator.
        mine: differences that this change would have made.
        theirs: differences that others have made in the meantime.
    """

    change: Change
    mine: tuple[Difference, ...]
    theirs: tuple[Difference, ...]


@dataclass(frozen=True, slots=True)
class Unknown:
    """The store was unavailable until the change was given up.

    Args:
        id: id of the change, to look for in ``walkcart get --changes``.
        may_be_accepted: False if the change certainly wasn't accepted.
    """

    id: str
    may_be_accepted: bool


Outcome = Accepted | Unchanged | Refused | ChangeConflict | Unknown


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change that an operator requests.

    Args:
        id: unique id.
        author: person who requests the change.
        edit: function that returns the new configuration for the present one. It may be
            called several times.
        allow_empty: whether selectors may match nothing.
    """

    id: str
    author: str
    edit: Edit
    allow_empty: bool = False


async def read_stored(store: StoreClient) -> tuple[Document, int]:
    """Return the stored document and the entry's revision in the store.

    Without an entry these are the empty document and 0.

    Raises:
        StoreUnavailable: the store gave no usable reply.
        DocumentError: the stored value isn't a configuration.
    """
    return _read_entry(await store.get(CONFIGURATION_KEY))


def _read_entry(entry: Entry | None) -> tuple[Document, int]:
    if entry is None:
        return EMPTY_DOCUMENT, 0
    return read_document(entry.value), entry.revision


class Applier:
    """Applies changes to the stored configuration.

    Args:
        store: client of the key-value service.
        clock: source of time.
        backoff: waits between attempts during an outage.
        outage_timeout: time after which attempts to reach the store are given up.
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
        self._outage_timeout = outage_timeout

    async def apply(self, proposal: Proposal) -> Outcome:
        """Apply `proposal` and return its outcome.

        Raises:
            DocumentError: the stored value isn't a configuration.
        """
        until = self._clock.monotonic() + self._outage_timeout.total_seconds()
        first: Document | None = None
        may_be_accepted = False
        while True:
            try:
                document, revision = await read_stored(self._store)
                accepted = _find_change(document, proposal.id)
                if accepted is not None:
                    return Accepted(accepted.revision, _diff_since(first, document))
                if first is not None:
                    conflict = _find_conflict(first, document, proposal)
                    if conflict is not None:
                        return conflict
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
        """Try one write; return None if another change was written first."""
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


def _diff_since(first: Document | None, document: Document) -> tuple[Difference, ...]:
    if first is None:
        return ()
    return diff_configurations(first.configuration, document.configuration)


def _find_conflict(
    first: Document, now: Document, proposal: Proposal
) -> ChangeConflict | None:
    """Return the conflict if a change after `first` touched the same objects."""
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
    "ChangeConflict",
    "DocumentError",
    "Outcome",
    "Proposal",
    "Refused",
    "Unchanged",
    "Unknown",
    "read_stored",
]
