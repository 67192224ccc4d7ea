"""Trials of the routing decisions on requests to emulated leaves.

Several instances with walkcart's own decision code (pool, placement, sends,
gathering, budget, delegation, entry) run in one process on a mocked clock. Leaves,
their connections and the callers are emulated, without sockets or HTTP. Runs with the
same seed are identical.

See Also:
    ``python -m walkcart.bench routed``, which runs scenarios under policies.
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
