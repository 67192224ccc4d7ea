"""One question to many shards and back: snapshot, attempts, gathering, coverage."""

from walkcart.lazyimport import attach_names

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

__getattr__ = attach_names(__name__, _MODULES)
