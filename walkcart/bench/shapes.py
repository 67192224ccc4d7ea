"""The users' shapes: groups, sites and latencies as the brief gives them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Shape:
    """One user's estate, cut down to one sharded service.

    Args:
        name: of the user.
        service: the sharded service.
        shards: of the service.
        regions: (region, data centre) pairs of leaves and instances.
        between_regions: one-way seconds.
        to_clients: one-way seconds.
        partners: names; the token of each is ``NAME-token``.
        intent: TOML fields of the routing intent.
    """

    name: str
    service: str
    shards: int
    regions: tuple[tuple[str, str], ...]
    between_regions: float
    to_clients: float
    partners: tuple[str, ...]
    intent: str

    def latency(self, one: str, other: str) -> float:
        """Return the one-way seconds between two sites."""
        if "client" in (one, other):
            return self.to_clients
        regions = {site: region for region, site in self.regions}
        if regions.get(one, "") != regions.get(other, "") and "platform" not in (
            one,
            other,
        ):
            return self.between_regions
        return 0.0 if one == other else 0.0005


SWAPLINE = Shape(
    name="swapline",
    service="pack-finder",
    shards=20,
    regions=(("hobart", "hobart-a"), ("hobart", "hobart-b")),
    between_regions=0.008,
    to_clients=0.001,
    partners=("courier", "fleet"),
    intent="deadline = 0.6\nhedge_budget = 0.1\nleast_coverage = 0.8\n",
)
TRENTSIDE = Shape(
    name="trentside",
    service="stores-ledger",
    shards=30,
    regions=(("nottingham", "nottingham-a"), ("nottingham", "nottingham-b")),
    between_regions=0.012,
    to_clients=0.003,
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
    between_regions=0.008,
    to_clients=0.001,
    partners=("courier", "fleet"),
    intent="deadline = 0.6\nhedge_budget = 0.1\nleast_coverage = 0.8\n",
)
SHAPES = {shape.name: shape for shape in (SWAPLINE, TRENTSIDE, SWAPLINE_REGIONS)}
