"""Idempotency keys whose time can't be meant are refused."""

from datetime import UTC, datetime, timedelta
from uuid import UUID

import pytest

from walkcart.once.keys import BadKey, parse_key

NOW = datetime(2026, 12, 4, tzinfo=UTC)


def make_key_issued(milliseconds):
    return str(UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62))


@pytest.mark.parametrize("milliseconds", [0, 10**13, 253_402_300_800_000, 2**48 - 1])
def test_key_of_an_impossible_year_is_refused(milliseconds):
    with pytest.raises(BadKey):
        parse_key(make_key_issued(milliseconds), NOW)


def test_key_issued_now_is_accepted():
    issued = NOW - timedelta(seconds=1)
    key = make_key_issued(int(issued.timestamp() * 1000))
    assert parse_key(key, NOW).issued == issued
