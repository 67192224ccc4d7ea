"""Decisions under load: small modules whose inputs are plain data and a clock."""

from walkcart.lazyimport import make_lazy_getattr

_MODULES = {
    "Admission": "admission",
    "Admitted": "admission",
    "Candidate": "replicas",
    "ConnectionShares": "shares",
    "DecayedLatency": "latency",
    "Ejection": "ejection",
    "HedgeDelay": "hedging",
    "LatencyWindow": "latency",
    "RepeatBudget": "repeats",
    "ReplicaChooser": "replicas",
    "ShareBudget": "budgets",
    "AdmissionRefused": "admission",
    "WeightedSplit": "splits",
}

__all__ = sorted(_MODULES)

__getattr__ = make_lazy_getattr(__name__, _MODULES)
