"""The rate limit of an instance's calls to the store."""

from __future__ import annotations

from datetime import timedelta

from walkcart.kernel.clock import Clock


class CallBudget:
    """A token bucket whose tokens are calls to the store.

    Args:
        rate: calls a second.
        burst: number of calls that may follow at once after a quiet time.
        clock: source of time.
    """

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._refilled_at = clock.monotonic()

    async def acquire(self) -> None:
        """Take one token, and wait until the bucket has earned it."""
        self._refill()
        self._tokens -= 1
        if self._tokens < 0:
            await self._clock.sleep(timedelta(seconds=-self._tokens / self._rate))

    def _refill(self) -> None:
        now = self._clock.monotonic()
        earned = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._refilled_at = now
