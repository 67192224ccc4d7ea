"""Admits or refuses requests under which leaves crashed, and reports them to others.

See Also:
    `walkcart.routing.quarantine`, which decides over many runs of a request.
    `walkcart.fanout.crashwatch`, which decides within one run.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import trio

from walkcart.fanout.crashwatch import CrashWatch
from walkcart.fanout.delegationcodec import extract_request
from walkcart.fanout.origins import RequestOrigins
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.routing.quarantine import (
    STRIKE_BYTES,
    Quarantine,
    QuarantineLevel,
    make_strike,
)
from walkcart.wire.delegations import DelegatedQuestion
from walkcart.wire.fingerprint import make_fingerprint
from walkcart.wire.verdicts import NotRun, Reason

#: Seconds over which the instances' first trials after a refusal are spread. All know
#: of a strike within 0.2 s, so of seven instances mostly one tries a request.
MAX_TRIAL_DELAY = 4.0
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
        instance: name of this instance.
        events: log of decisions.
        metrics: counters of decisions.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        clock: Clock,
        instance: str,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._instance = instance
        self._events = events
        self._metrics = metrics
        self._trials: dict[bytes, trio.Event] = {}
        self._notify: Listener = lambda fingerprint: None
        self._store_refused: Listener = lambda fingerprint: None

    def set_listeners(self, notify: Listener, store_refused: Listener) -> None:
        """Set the listeners for changes that this instance records.

        Args:
            notify: tells the other instances of a changed record.
            store_refused: stores a request that is refused from now on, by strikes of
                more than one crash.
        """
        self._notify = notify
        self._store_refused = store_refused

    def find_level(self, fingerprint: bytes) -> QuarantineLevel:
        """Return how a request is handled at present."""
        return self._quarantine.find_level(fingerprint, self._clock.monotonic())

    def find_strikes(self, fingerprint: bytes) -> frozenset[int]:
        """Return the strikes that are known of a request at present."""
        return self._quarantine.find_strikes(fingerprint)

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
        known = watch.known_strikes
        for number in range(watch.count_strikes()):
            source = self._instance if watch.has_several_services else ""
            struck_at = watch.first_ended_at
            if careful or number:
                # This leaf was seen to live.
                source = watch.last_leaf
                struck_at = watch.last_ended_at
            strike = make_strike(fingerprint, known, source)
            known |= {strike}
            self._record_strike(fingerprint, strike, struck_at)
        if careful and (trial := self._trials.pop(fingerprint, None)) is not None:
            trial.set()

    def log_news(self, fingerprint: bytes) -> None:
        """Log a record received from another instance, if it restricts the request."""
        self._log_standing(fingerprint, "told")

    def _record_answer(self, fingerprint: bytes) -> None:
        if self._quarantine.record_answer(fingerprint, self._clock.monotonic()):
            self._events.emit(Events.QUARANTINE_LIFTED, question=fingerprint.hex())
            self._notify(fingerprint)

    def _record_strike(self, fingerprint: bytes, strike: int, struck_at: float) -> None:
        # A run may end seconds after the crash; strikes of one crash have one time.
        at = min(struck_at, self._clock.monotonic())
        self._quarantine.record_strike(fingerprint, strike, at, began_at=at)
        self._log_standing(fingerprint, "seen")
        self._notify(fingerprint)
        held = self._quarantine.find(fingerprint)
        if held is None or held.may_be_one_crash:
            return
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


def find_trial_delay(instance: str) -> float:
    """Return the delay of an instance's first trials; it differs between instances.

    Args:
        instance: name of the instance.
    """
    digest = int.from_bytes(make_fingerprint(instance.encode())[:STRIKE_BYTES], "big")
    return MAX_TRIAL_DELAY * digest / 256**STRIKE_BYTES
