"""Decisions under load: small modules whose inputs are plain data and a clock."""

from walkcart.routing.admission import Admission, Admitted, TurnedAway
from walkcart.routing.budgets import ShareBudget
from walkcart.routing.ejection import Ejection
from walkcart.routing.hedging import HedgeDelay
from walkcart.routing.latency import DecayedLatency, LatencyWindow
from walkcart.routing.replicas import Candidate, ReplicaChooser
from walkcart.routing.shares import ConnectionShares

__all__ = [
    "Admission",
    "Admitted",
    "Candidate",
    "ConnectionShares",
    "DecayedLatency",
    "Ejection",
    "HedgeDelay",
    "LatencyWindow",
    "ReplicaChooser",
    "ShareBudget",
    "TurnedAway",
]
