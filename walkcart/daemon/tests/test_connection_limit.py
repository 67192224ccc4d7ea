"""How many connections callers may have."""

from dataclasses import replace

import pytest

from walkcart.daemon import tenantentry
from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.platformworld import make_settings


@pytest.mark.parametrize(
    "descriptors, expected", [(64, 19), (1535, 801), (8192, 4795), (0, 19)]
)
def test_callers_leave_the_descriptors_that_files_need(
    monkeypatch, descriptors, expected
):
    limit = 64 if descriptors < 100 else 1 << 20
    monkeypatch.setattr(tenantentry, "getrlimit", lambda number: (limit, limit))
    settings = make_settings("one", "north-a", HostPort("127.0.0.1", 1))
    settings = replace(settings, descriptors=descriptors)
    assert tenantentry._find_max_connections(settings) == expected
