"""Trials of the decisions on routed requests, over emulated leafs.

Several instances with the real code that decides (pool, placement, sends, gathering,
budget, delegation, entry) run in one process on a mocked clock. Leafs, their
connections and the callers are emulated; there are no sockets and no HTTP. The same
seed gives the same run.

See Also:
    ``python -m walkcart.bench routed``, which plays scenarios under policies.
"""

from walkcart.bench.routed.policies import POLICIES, Policy
from walkcart.bench.routed.scenarios import SCENARIOS, Scenario, Shape
from walkcart.bench.routed.trials import TrialResult, run_trial

__all__ = [
    "POLICIES",
    "SCENARIOS",
    "Policy",
    "Scenario",
    "Shape",
    "TrialResult",
    "run_trial",
]
