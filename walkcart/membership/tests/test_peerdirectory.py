"""Addresses of instances, as other instances and operators store them."""

import pytest

from walkcart.kernel.settings import BadValue, HostPort, parse_peer_address
from walkcart.membership.peerdirectory import parse_address

BAD_ADDRESSES = [
    "nowhere",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:\u0663",
    "0.0.0.0:1",
    "[::]:1",
    "239.1.2.3:1",
    "[ff02::1]:1",
    "[fe80::1%eth0]:1",
    "[::1%\xe9]:1",
]


@pytest.mark.parametrize("text", ["", *BAD_ADDRESSES])
def test_instance_without_a_usable_address_gets_no_messages(text):
    assert parse_address(text) is None
    with pytest.raises(BadValue):
        parse_peer_address(text)


def test_addresses_of_both_families_are_parsed():
    assert parse_address("10.0.0.1:7") == HostPort("10.0.0.1", 7)
    assert parse_address("[fd00::1]:65535") == HostPort("fd00::1", 65535)
