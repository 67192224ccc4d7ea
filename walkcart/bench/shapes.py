"""The users' deployments: groups, sites and latencies as the users state them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Shape:
    """One user's deployment, reduced to one sharded service.

    Args:
        name: the name of the user.
        service: the name of the sharded service.
        shards: number of shards of the service.
        regions: (region, data centre) pairs of leaves and instances.
        inter_region_latency: one-way latency between regions, in seconds.
        client_latency: one-way latency to clients, in seconds.
        partners: the names of the partners, whose tokens are ``NAME-token``.
        intent: the TOML fields of the routing intent.
    """

    name: str
    service: str
    shards: int
    regions: tuple[tuple[str, str], ...]
    inter_region_latency: float
    client_latency: float
    partners: tuple[str, ...]
    intent: str

    def latency(self, one: str, other: str) -> float:
        """Return the one-way latency between two sites, in seconds."""
        if "client" in (one, other):
            return self.client_latency
        regions = {site: region for region, site in self.regions}
        if regions.get(one, "") != regions.get(other, "") and "platform" not in (
            one,
            other,
        ):
            return self.inter_region_latency
        return 0.0 if one == other else 0.0005


SWAPLINE = Shape(
    name="swapline",
    service="pack-finder",
    shards=20,
    regions=(("hobart", "hobart-a"), ("hobart", "hobart-b")),
    inter_region_latency=0.008,
    client_latency=0.001,
    partners=("courier", "fleet"),
    intent="deadline = 0.6\nhedge_budget = 0.1\nleast_coverage = 0.8\n",
)
TRENTSIDE = Shape(
    name="trentside",
    service="stores-ledger",
    shards=30,
    regions=(("nottingham", "nottingham-a"), ("nottingham", "nottingham-b")),
    inter_region_latency=0.012,
    client_latency=0.003,
    partners=("fitters", "members"),
    intent="deadline = 2.0\nhedge_budget = 0.1\nretry_budget = 0.5\n",
)
SWAPLINE_REGIONS = Shape(
    name="swapline-regions",
    service="pack-finder",
    shards=20,
    regions=(
        ("hobart", "hobart-a"),
        ("launceston", "launceston-a"),
        ("burnie", "burnie-a"),
    ),
    inter_region_latency=0.008,
    client_latency=0.001,
    partners=("courier", "fleet"),
    intent="deadline = 0.6\nhedge_budget = 0.1\nleast_coverage = 0.8\n",
)
SHAPES = {shape.name: shape for shape in (SWAPLINE, TRENTSIDE, SWAPLINE_REGIONS)}
