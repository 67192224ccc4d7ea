"""Which route a request takes."""

from hypothesis import given
from hypothesis import strategies as st

from walkcart.intent.routes import Route, RouteTable, RoutingDocument, ToService

SEGMENTS = st.lists(st.sampled_from(["a", "b", "ab"]), max_size=3)


def make_table(prefixes):
    routes = [
        Route(prefix, "shop.example", prefix, ToService("s")) for prefix in prefixes
    ]
    return RouteTable(RoutingDocument(1, tuple(routes)))


def as_prefix(segments):
    return "/" + "".join(f"{segment}/" for segment in segments)


@given(
    st.lists(SEGMENTS, max_size=6), SEGMENTS, st.sampled_from(["", "x", "x?q=/a/b/"])
)
def test_the_longest_prefix_wins(prefixes, segments, rest):
    known = {as_prefix(item) for item in prefixes}
    path = as_prefix(segments) + rest
    fitting = [item for item in known if path.partition("?")[0].startswith(item)]
    found = make_table(known).find_route("shop.example", path)
    assert (found.name if found else None) == max(fitting, key=len, default=None)


def test_the_host_is_compared_without_case_and_port():
    table = make_table(["/a/"])
    assert table.find_route("SHOP.example:8080", "/a/x").name == "/a/"
    assert table.find_route("other.example", "/a/x") is None
