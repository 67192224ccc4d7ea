"""Selects the instances that may account a share of the rate limits.

All instances that know the same fleet compute the same ranking. So only a few
candidates try to take a share, and any instance finds the accountant by asking one of
them. A key in the shared store alone decides which one is the accountant.

Examples:
    >>> sites = {"a": Site("north", 1.0), "b": Site("south", 2.0)}
    >>> sorted(rank_candidates(0, sites)) == sorted(sites)
    True
    >>> rank_candidates(0, sites)[0] != rank_candidates(1, sites)[0]
    True
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from walkcart.routing.shares import rank_by_weight, rank_rendezvous

#: Number of instances that may take a share.
MAX_CANDIDATES = 3
#: Seconds of silence after which an accountant may have ended.
SILENCE_TIMEOUT = 3.0
#: Seconds that each candidate waits longer than the one before it.
CANDIDATE_DELAY = 1.0
#: Seconds that an instance with a share waits longer than one without.
BUSY_DELAY = 3.0
#: Seconds between two attempts to take a share.
RETRY_INTERVAL = 1.0
#: Attempts before the backoff begins. They last as long as a lost accountant's lease;
#: after that the accountant must be alive and know other candidates.
QUICK_ATTEMPTS = 12
#: Upper bound of that interval during the backoff, in seconds.
MAX_RETRY_INTERVAL = 30.0
#: Lower bound of the cores that count, so that an instance that states none has a rank.
MIN_CORES = 0.01


@dataclass(frozen=True, slots=True)
class Site:
    """The properties of an instance that determine its rank.

    Args:
        region: region of the instance.
        cores: processor cores of its machine.
    """

    region: str
    cores: float


def rank_candidates(share: int, instances: Mapping[str, Site]) -> list[str]:
    """Return the names of the instances that may account a share, in order of rank.

    Instances of one region come first. The region differs from share to share where
    there are several, so that most requests find an accountant nearby. Within a region
    large machines come first more often, since an accountant works for all others.

    Args:
        share: index of the share.
        instances: the instances by name.
    """
    regions = sorted({site.region for site in instances.values()})
    regions.sort(key=lambda region: rank_rendezvous("quota", region))

    def rank(name: str) -> tuple[bool, float, str]:
        site = instances[name]
        weight = max(site.cores, MIN_CORES) ** 2
        order = rank_by_weight(f"quota/{share}", name, weight)
        return (site.region != regions[share % len(regions)], order, name)

    return sorted(instances, key=rank)[:MAX_CANDIDATES]


def find_attempt_delay(place: int, is_busy: bool, was_heard: bool) -> float:
    """Return how long a candidate waits before it tries to take a share, in seconds.

    Args:
        place: rank of the candidate, from 0.
        is_busy: whether it accounts another share.
        was_heard: whether an accountant of the share was heard from, which may still
            be alive. The delay then counts from the last time.
    """
    return place * CANDIDATE_DELAY + is_busy * BUSY_DELAY + was_heard * SILENCE_TIMEOUT


def find_retry_delay(attempts: int) -> float:
    """Return the seconds until the next attempt, after `attempts` attempts."""
    return float(
        min(
            MAX_RETRY_INTERVAL,
            RETRY_INTERVAL * 2.0 ** max(0, attempts - QUICK_ATTEMPTS),
        )
    )
