"""Budgets for extra requests, as a share of the first attempts."""

from __future__ import annotations

#: Extra requests that may be saved up; this bounds a burst after a quiet time.
BURST = 20.0


class ShareBudget:
    """Earns a share of an extra request with each first attempt.

    In any period the extra requests are at most that share of the first attempts
    plus the burst, whatever goes wrong meanwhile. This keeps an outage from becoming
    a storm of retries.

    Args:
        burst: maximum number of saved extra requests; also the initial number.

    Examples:
        >>> budget = ShareBudget(burst=1.0)
        >>> budget.try_spend(), budget.try_spend()
        (True, False)
        >>> budget.earn(20, share=0.05)
        >>> budget.try_spend()
        True
    """

    __slots__ = ("_burst", "_saved")

    def __init__(self, burst: float = BURST) -> None:
        self._burst = burst
        self._saved = burst

    def earn(self, tries: int, share: float) -> None:
        """Record `tries` first attempts, each of which earns `share`."""
        self._saved = min(self._burst, self._saved + tries * share)

    def try_spend(self) -> bool:
        """Spend one extra request; return False when none is left."""
        if self._saved < 1.0 - 1e-9:
            return False
        self._saved -= 1.0
        return True
