"""Budgets for extra requests, as a share of the first tries."""

from __future__ import annotations

#: Extra requests that may be saved up; bounds a burst after a quiet time.
BURST = 20.0


class ShareBudget:
    """Earns a share of an extra request with each first try.

    Over any time the extra requests are at most the share of the first tries in
    it plus the burst, whatever goes wrong meanwhile; that is what keeps an
    outage from becoming a storm of retries.

    Args:
        burst: most extra requests that are saved up; also what it starts with.

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
        """Note `tries` first tries, each of which earns `share`."""
        self._saved = min(self._burst, self._saved + tries * share)

    def try_spend(self) -> bool:
        """Take one extra request; False when there is none."""
        if self._saved < 1.0 - 1e-9:
            return False
        self._saved -= 1.0
        return True
