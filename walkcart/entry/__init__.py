"""The callers' and operators' interface of an instance."""

from walkcart.entry.app import EntryService
from walkcart.entry.stopping import PlannedStop

__all__ = ["EntryService", "PlannedStop"]
