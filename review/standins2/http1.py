"""A small HTTP/1.1 reader and writer on asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer.

    `start` is the first line without its line end; header names are in lower case.
    """

    start: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Return the first header of that name."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ", 2)[1])


async def read_message(reader: asyncio.StreamReader, answer: bool = False) -> Message | None:
    """Read one message; None if the connection ended before its first byte.

    Raises:
        asyncio.IncompleteReadError: the connection ended within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            message.headers.append((name.strip().lower(), value.strip()))
    if message.get("transfer-encoding").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        message.body = b"".join(parts)
    elif message.get("content-length"):
        message.body = await reader.readexactly(int(message.get("content-length")))
    elif answer and message.status not in (204, 304):
        message.body = await reader.read()
    return message


def render(start: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return the bytes of a message with its length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
