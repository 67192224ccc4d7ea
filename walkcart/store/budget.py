"""A budget for calls to the store, which counts each of them."""

from __future__ import annotations

from datetime import timedelta

from walkcart.kernel.clock import Clock


class CallBudget:
    """A token bucket: so many calls a second, with a burst.

    Args:
        rate: calls a second.
        burst: calls at once after a quiet time.
        clock: source of time.
    """

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._then = clock.monotonic()

    async def acquire(self) -> None:
        """Take one call, waiting until there is one."""
        self._refill()
        self._tokens -= 1
        if self._tokens < 0:
            await self._clock.sleep(timedelta(seconds=-self._tokens / self._rate))

    def _refill(self) -> None:
        now = self._clock.monotonic()
        earned = (now - self._then) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._then = now
