"""Long messages between instances go in pieces; unfinished ones take bounded memory."""

import pytest

from walkcart.wire.codec import MAX_ENVELOPE_BYTES, BadMessage
from walkcart.wire.pieces import (
    MAX_PIECE_BYTES,
    MAX_UNFINISHED,
    MAX_UNFINISHED_BYTES,
    PIECE_MARK,
    PieceJoiner,
    split_message,
)


@pytest.mark.parametrize(
    "size", [0, 1, MAX_PIECE_BYTES, MAX_PIECE_BYTES + 1, MAX_ENVELOPE_BYTES]
)
def test_messages_of_all_lengths_come_back(size):
    message = (b"abcdefg" * (size // 7 + 1))[:size]
    pieces = list(split_message(message))
    assert all(len(piece) <= MAX_PIECE_BYTES for piece in pieces)
    joiner = PieceJoiner()
    *before, last = [joiner.add(piece) for piece in pieces]
    assert before == [None] * (len(pieces) - 1)
    assert last == message


def test_pieces_of_several_messages_may_alternate():
    messages = [bytes([number]) * 200_000 for number in range(3)]
    joiner = PieceJoiner()
    joined = [
        joiner.add(piece)
        for pieces in zip(*map(split_message, messages), strict=True)
        for piece in pieces
    ]
    assert [message for message in joined if message] == messages


@pytest.mark.parametrize("number", [1, 2])
def test_message_without_one_of_its_pieces_is_dropped(number):
    pieces = list(split_message(b"x" * 250_000))
    del pieces[number]
    joiner = PieceJoiner()
    for piece in pieces[:number]:
        assert joiner.add(piece) is None
    for piece in pieces[number:]:
        with pytest.raises(BadMessage):
            joiner.add(piece)
    assert joiner.unfinished_bytes == 0


@pytest.mark.parametrize("data", [b"", b"x" * 8, b"\xff" * 100, b"\x00" * 12])
def test_bytes_that_are_no_piece_are_rejected(data):
    with pytest.raises(BadMessage):
        PieceJoiner().add(PIECE_MARK + data)


@pytest.mark.parametrize("size", [MAX_PIECE_BYTES + 1, MAX_ENVELOPE_BYTES])
def test_messages_that_are_never_finished_take_bounded_memory(size):
    joiner = PieceJoiner()
    for _ in range(3 * MAX_UNFINISHED):
        *pieces, _ = split_message(b"x" * size)
        for piece in pieces:
            joiner.add(piece)
        assert joiner.unfinished_bytes <= MAX_UNFINISHED_BYTES
        assert joiner.unfinished <= MAX_UNFINISHED
    message = b"y" * MAX_ENVELOPE_BYTES
    assert [joiner.add(piece) for piece in split_message(message)][-1] == message
