"""Keys of quarantined requests and rate limits, with contents that can't be used."""

from __future__ import annotations

from datetime import timedelta
from io import StringIO
from random import Random

import msgspec
import pytest
import trio
from hypothesis import example, given
from hypothesis import strategies as st

from walkcart.bench.harness import run_mocked
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.decoding import BadData
from walkcart.kernel.eventlog import EventLog
from walkcart.membership.quarantinekeys import QUARANTINE_PREFIX, QuarantineKeys
from walkcart.membership.quotakeys import QUOTA_PREFIX, decode_key, parse_share
from walkcart.routing.quarantine import Quarantine
from walkcart.store.backoff import Backoff
from walkcart.store.items import Item
from walkcart.wire.fingerprint import FINGERPRINT_BYTES
from walkcart.wire.messages import Envelope
from walkcart.wire.quarantines import QuarantineEntry, QuarantineNews

FINGERPRINT = b"f" * FINGERPRINT_BYTES


def merge_strikes(value):
    """Return the strikes that are known once a stored key was read, and the log."""
    log = StringIO()

    async def run():
        await trio.lowlevel.checkpoint()
        clock = TrioClock()
        quarantine = Quarantine()
        backoff = Backoff(timedelta(seconds=1), timedelta(seconds=1), Random(1))
        keys = QuarantineKeys(
            None,
            quarantine,
            clock,
            backoff,
            EventLog("own", clock, log),
            lambda fingerprint: None,
        )
        keys.merge_item(Item(QUARANTINE_PREFIX + FINGERPRINT.hex(), value, 1))
        held = quarantine.find(FINGERPRINT)
        return held.strikes if held else frozenset()

    return run_mocked(run), log.getvalue()


def test_stored_strikes_are_merged():
    strikes, log = merge_strikes(b"1,22,%d" % (2**48 - 1))
    assert strikes == {1, 22, 2**48 - 1}
    assert not log


@pytest.mark.parametrize(
    "value",
    [b"", b"1,,2", b"-1", b"1.5", b"9" * 30, b"9" * 5000, b"1,2,3,4", b"1_0", b"\xff"],
)
def test_stored_strikes_that_are_none_are_logged(value):
    strikes, log = merge_strikes(value)
    assert not strikes
    assert log.count("peer_bad_message") == 1


@given(st.binary(max_size=60))
@example(b"18446744073709551616,1")
def test_stored_strikes_can_always_be_sent_to_other_instances(value):
    strikes, _ = merge_strikes(value)
    entry = QuarantineEntry(FINGERPRINT, tuple(strikes), 1.0)
    msgspec.msgpack.encode(Envelope("a", 0, "", 0, (QuarantineNews((entry,)),)))


@pytest.mark.parametrize("number", ["", "x", "-1", "\u0663", "\u00b2", "9" * 5000])
def test_key_without_a_share_number_names_no_share(number):
    assert parse_share(QUOTA_PREFIX + number) is None


@pytest.mark.parametrize(
    "starts", ["-1", "18446744073709551616", "9" * 30, "1.5", '"1"']
)
def test_key_of_a_share_with_impossible_starts_is_refused(starts):
    value = msgspec.json.encode({"holder": "a", "started": "b", "starts": 0})
    value = value.replace(b":0", b":" + starts.encode())
    with pytest.raises(BadData):
        decode_key(Item(QUOTA_PREFIX + "0", value, 1))
