"""One question to many shards and back: snapshot, attempts, gathering, coverage."""

from walkcart.lazyimport import make_lazy_getattr

_MODULES = {
    "Answer": "answers",
    "Coverage": "answers",
    "GatherTools": "gathering",
    "Gatherer": "gatherer",
    "MissingShard": "answers",
    "OnceRequest": "singlesender",
    "Question": "questions",
    "RoutedGathering": "routed",
    "RoutedQuestion": "routedquestion",
    "SingleSender": "singlesender",
    "choose_snapshot": "snapshots",
}

__all__ = sorted(_MODULES)

__getattr__ = make_lazy_getattr(__name__, _MODULES)
