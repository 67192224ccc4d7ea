"""Admits or refuses requests under which leaves crashed, and reports them to others.

See Also:
    `walkcart.routing.quarantine`, which decides over many runs of a request.
    `walkcart.fanout.crashwatch`, which decides within one run.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from random import Random

import trio

from walkcart.fanout.crashwatch import CrashWatch
from walkcart.fanout.delegationcodec import extract_request
from walkcart.fanout.origins import RequestOrigins
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.routing.quarantine import Quarantine, QuarantineLevel
from walkcart.wire.delegations import DelegatedQuestion
from walkcart.wire.fingerprint import make_fingerprint
from walkcart.wire.verdicts import NotRun, Reason

#: Bytes of the id of a strike: any two of a thousand strikes have the same id with a
#: probability below 1e-8.
STRIKE_BYTES = 6
#: Maximum number of seconds for which a request waits while the same one is tried at
#: one leaf. Most leaves answer within that time; a caller that would have to wait
#: longer is told to retry.
MAX_TRIAL_WAIT = 0.25
#: Retry time that such a caller is told.
TRIAL_RETRY_AFTER = timedelta(seconds=1)

#: Called with the fingerprint of a request whose quarantine record changed.
Listener = Callable[[bytes], None]


class Quarantines:
    """Admits requests, and records whether leaves answered or crashed under them.

    Args:
        quarantine: the records of requests under which leaves crashed.
        clock: source of time.
        instance: name of this instance; it makes the ids of strikes differ between
            instances with the same random source.
        random: source of ids of strikes.
        events: log of decisions.
        metrics: counters of decisions.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        clock: Clock,
        instance: str,
        random: Random,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._instance = instance.encode()
        self._random = random
        self._events = events
        self._metrics = metrics
        self._trials: dict[bytes, trio.Event] = {}
        self._notify: Listener = lambda fingerprint: None
        self._store_refused: Listener = lambda fingerprint: None

    def set_listeners(self, notify: Listener, store_refused: Listener) -> None:
        """Set the listeners for changes that this instance records.

        Args:
            notify: tells the other instances of a changed record.
            store_refused: stores a request that is refused from now on.
        """
        self._notify = notify
        self._store_refused = store_refused

    def find_level(self, fingerprint: bytes) -> QuarantineLevel:
        """Return how a request is handled at present."""
        return self._quarantine.find_level(fingerprint, self._clock.monotonic())

    def is_restricted(
        self, question: DelegatedQuestion, origins: RequestOrigins
    ) -> bool:
        """Return whether a question of another instance is under any restriction.

        It is rejected then: its sender doesn't have the record of this instance yet.
        """
        if not len(self._quarantine):
            return False
        fingerprint = origins.fingerprint(extract_request(question))
        return self.find_level(fingerprint) is not QuarantineLevel.USUAL

    async def admit(self, fingerprint: bytes) -> QuarantineLevel | NotRun:
        """Return how a request is handled, or the verdict if it isn't run.

        Of equal requests that must be tried at one leaf first, one is tried at a time;
        the others wait up to `MAX_TRIAL_WAIT` for its result.
        """
        standing = self.find_level(fingerprint)
        if standing is QuarantineLevel.USUAL:
            return standing
        with trio.move_on_after(MAX_TRIAL_WAIT):
            while standing is QuarantineLevel.CAREFUL and fingerprint in self._trials:
                await self._trials[fingerprint].wait()
                standing = self.find_level(fingerprint)
        if standing is QuarantineLevel.REFUSED:
            return self.refuse(fingerprint)
        if standing is QuarantineLevel.CAREFUL:
            if fingerprint in self._trials:
                detail = "the same request, under which leafs ended, is being tried"
                return NotRun(Reason.QUARANTINED, detail, TRIAL_RETRY_AFTER)
            self._trials[fingerprint] = trio.Event()
        return standing

    def refuse(self, fingerprint: bytes) -> NotRun:
        """Return the verdict on a refused request, with its retry time."""
        self._metrics.count("query.quarantined")
        now = self._clock.monotonic()
        wait = max(0.0, self._quarantine.find_wait(fingerprint, now))
        detail = "leafs end when they run this request"
        retry_after = timedelta(seconds=wait) if wait else TRIAL_RETRY_AFTER
        return NotRun(Reason.QUARANTINED, detail, retry_after)

    def record(self, fingerprint: bytes, watch: CrashWatch, careful: bool) -> None:
        """Record whether leaves answered or crashed under one run of a request.

        Args:
            fingerprint: fingerprint of the request.
            watch: the crash counts of the run.
            careful: whether the run was a trial, in which one leaf had to answer first.
        """
        if watch.answered:
            self._record_answer(fingerprint)
        for _ in range(watch.count_strikes()):
            self._record_strike(fingerprint)
        if careful and (trial := self._trials.pop(fingerprint, None)) is not None:
            trial.set()

    def log_news(self, fingerprint: bytes) -> None:
        """Log a record received from another instance, if it restricts the request."""
        self._log_standing(fingerprint, "told")

    def _record_answer(self, fingerprint: bytes) -> None:
        if self._quarantine.record_answer(fingerprint, self._clock.monotonic()):
            self._events.emit(Events.QUARANTINE_LIFTED, question=fingerprint.hex())
            self._notify(fingerprint)

    def _record_strike(self, fingerprint: bytes) -> None:
        name = make_fingerprint(self._instance, self._random.randbytes(STRIKE_BYTES))
        strike = int.from_bytes(name[:STRIKE_BYTES], "big")
        now = self._clock.monotonic()
        self._quarantine.record_strike(fingerprint, strike, now)
        self._log_standing(fingerprint, "seen")
        self._notify(fingerprint)
        if self.find_level(fingerprint) is QuarantineLevel.REFUSED:
            self._store_refused(fingerprint)

    def _log_standing(self, fingerprint: bytes, source: str) -> None:
        self._metrics.gauge("quarantine.entries", len(self._quarantine))
        standing = self.find_level(fingerprint)
        if standing is not QuarantineLevel.USUAL:
            self._events.emit(
                Events.QUARANTINED,
                question=fingerprint.hex(),
                standing=standing.name.lower(),
                source=source,
            )
