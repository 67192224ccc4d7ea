"""Which instances may account a share of the rate limits, and when they try to.

All instances rank alike as far as they know the same others, so that few of them try
and each finds the accountant by asking one of them. Who really accounts a share is
decided by a key in the shared store alone.

Examples:
    >>> places = {"a": Site("north", 1.0), "b": Site("south", 2.0)}
    >>> sorted(rank_candidates(0, places)) == sorted(places)
    True
    >>> rank_candidates(0, places)[0] != rank_candidates(1, places)[0]
    True
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from walkcart.routing.shares import rank_by_weight, rank_rendezvous

#: Instances that may take a share.
MAX_CANDIDATES = 3
#: Seconds after which an accountant that isn't heard of may have ended.
SILENT = 3.0
#: Seconds by which each candidate waits longer than the one before it, and by which an
#: instance that accounts a share waits longer than one that accounts none.
STAGGER = 1.0
BUSY_STAGGER = 3.0
#: Seconds between two tries to take a share.
RETRY = 1.0
#: Tries before they become rare: for as long as a lost accountant's lease lasts. Past
#: them the accountant lives and knows other candidates.
QUICK_TRIES = 12
#: Longest time between two tries, in seconds.
LONGEST_RETRY = 30.0
#: Least cores that count: an instance that states none still has a rank.
LEAST_CORES = 0.01


@dataclass(frozen=True, slots=True)
class Site:
    """What a rank depends on.

    Args:
        region: of the instance.
        cores: of its machine.
    """

    region: str
    cores: float


def rank_candidates(share: int, instances: Mapping[str, Site]) -> list[str]:
    """Return the instances that may account a share, in order.

    Those of one region first, another for each share as far as there are several, so
    that most requests find an accountant near; and of those the large ones more often,
    as an accountant works for all others.

    Args:
        share: its number.
        instances: by name.
    """
    regions = sorted({site.region for site in instances.values()})
    regions.sort(key=lambda region: rank_rendezvous("quota", region))

    def rank(name: str) -> tuple[bool, float, str]:
        site = instances[name]
        weight = max(site.cores, LEAST_CORES) ** 2
        order = rank_by_weight(f"quota/{share}", name, weight)
        return (site.region != regions[share % len(regions)], order, name)

    return sorted(instances, key=rank)[:MAX_CANDIDATES]


def find_attempt_delay(place: int, is_busy: bool, was_heard: bool) -> float:
    """Return how long a candidate waits before it tries to take a share, in seconds.

    Args:
        place: of the candidate among them, from 0.
        is_busy: whether it accounts another share.
        was_heard: whether an accountant was heard of, which may live; the time counts
            from then.
    """
    return place * STAGGER + is_busy * BUSY_STAGGER + was_heard * SILENT


def find_retry_delay(tries: int) -> float:
    """Return the seconds until the next try after so many."""
    return float(min(LONGEST_RETRY, RETRY * 2.0 ** max(0, tries - QUICK_TRIES)))
