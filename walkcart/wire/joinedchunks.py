"""Makes h11 return the data of short chunks together.

Each event of h11 takes several times as long as the reading of a short chunk, so that a
body of many of them costs seconds of processor time.
"""

from __future__ import annotations

from h11 import Connection, Data, EndOfMessage, _readers
from h11._receivebuffer import ReceiveBuffer

from walkcart.wire.bodies import PIECES_PER_TURN

#: Size in bytes from which data is returned alone: joining it would copy it.
MIN_SEPARATE_DATA = 1024


class JoinedChunksReader(_readers.ChunkedReader):
    """Reads a body in chunks as h11 does, several short chunks at once."""

    def __init__(self) -> None:
        super().__init__()
        #: Number of pieces whose data was returned.
        self.pieces = 0
        self._end: EndOfMessage | None = None

    def __call__(self, buf: ReceiveBuffer) -> Data | EndOfMessage | None:
        """Return the next data or the end of the body, or None if more must come."""
        if self._end is not None:
            return self._end
        event = super().__call__(buf)
        if type(event) is not Data:
            return event
        self.pieces += 1
        if len(event.data) >= MIN_SEPARATE_DATA:
            return event
        data = bytearray(event.data)
        for _ in range(PIECES_PER_TURN - 1):
            event = super().__call__(buf)
            if type(event) is EndOfMessage:
                self._end = event
            if type(event) is not Data:
                break
            self.pieces += 1
            data += event.data
            if len(data) >= MIN_SEPARATE_DATA:
                break
        return Data(data=data)


def count_pieces(connection: Connection) -> int:
    """Return how many pieces of the present body were read; 0 if it has no chunks."""
    reader = connection._reader
    return reader.pieces if isinstance(reader, JoinedChunksReader) else 0


def use_joined_chunks() -> None:
    """Replace h11's reader of bodies in chunks in this process."""
    _readers.READERS[_readers.SEND_BODY]["chunked"] = JoinedChunksReader
