"""The base of all messages between instances."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of the messages."""
