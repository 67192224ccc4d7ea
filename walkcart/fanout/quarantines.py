"""Requests under which leafs ended: what they may still do, and who is told.

See Also:
    `walkcart.routing.quarantine`, which decides over many tries.
    `walkcart.fanout.crashwatch`, which decides within one.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from random import Random

import trio

from walkcart.fanout.crashwatch import CrashWatch
from walkcart.fanout.delegationcodec import read_request
from walkcart.fanout.origins import RequestOrigins
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.routing.quarantine import Quarantine, QuarantineLevel
from walkcart.wire.delegations import DelegatedQuestion
from walkcart.wire.fingerprint import make_fingerprint
from walkcart.wire.verdicts import NotRun, Reason

#: Bytes of the number that names a strike: two of a thousand are alike with a
#: probability below 1e-8.
STRIKE_BYTES = 6
#: Seconds for which a request waits while the same one is tried at a leaf. Most leafs
#: answer within that; a caller that waits longer is better told to come back.
TRIAL_PATIENCE = 0.25
#: When to come back then.
TRIAL_TIME = timedelta(seconds=1)

#: Told the fingerprint of a request of which more is known than before.
Listener = Callable[[bytes], None]


class Quarantines:
    """Admits requests, and notes how leafs fared under them.

    Args:
        quarantine: what is remembered.
        clock: source of time.
        instance: name of this instance; two with the same source of chance name their
            strikes differently by it.
        random: names strikes.
        events: where decisions are logged.
        metrics: where they are counted.
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
        self._tell: Listener = lambda fingerprint: None
        self._keep: Listener = lambda fingerprint: None

    def set_listeners(self, notify: Listener, store_refused: Listener) -> None:
        """Name who is told of what is noted here.

        Args:
            notify: tells the other instances.
            store_refused: stores a request that is refused from now on.
        """
        self._tell = notify
        self._keep = store_refused

    def find_standing(self, fingerprint: bytes) -> QuarantineLevel:
        """Return what a request may do."""
        return self._quarantine.find_level(fingerprint, self._clock.monotonic())

    def is_restricted(
        self, question: DelegatedQuestion, origins: RequestOrigins
    ) -> bool:
        """Return whether a question of another instance isn't asked as a whole.

        Its sender doesn't know yet what is known here.
        """
        if not len(self._quarantine):
            return False
        fingerprint = origins.fingerprint(read_request(question))
        return self.find_standing(fingerprint) is not QuarantineLevel.USUAL

    async def admit(self, fingerprint: bytes) -> QuarantineLevel | NotRun:
        """Return what a request may do, or why it isn't run.

        Of requests that are tried at one leaf first, one at a time is; the others wait
        a moment for what comes of it.
        """
        standing = self.find_standing(fingerprint)
        if standing is QuarantineLevel.USUAL:
            return standing
        with trio.move_on_after(TRIAL_PATIENCE):
            while standing is QuarantineLevel.CAREFUL and fingerprint in self._trials:
                await self._trials[fingerprint].wait()
                standing = self.find_standing(fingerprint)
        if standing is QuarantineLevel.REFUSED:
            return self.refuse(fingerprint)
        if standing is QuarantineLevel.CAREFUL:
            if fingerprint in self._trials:
                detail = "the same request, under which leafs ended, is being tried"
                return NotRun(Reason.QUARANTINED, detail, TRIAL_TIME)
            self._trials[fingerprint] = trio.Event()
        return standing

    def refuse(self, fingerprint: bytes) -> NotRun:
        """Return the verdict on a request that isn't run, and when it may be."""
        self._metrics.count("query.quarantined")
        now = self._clock.monotonic()
        wait = max(0.0, self._quarantine.find_wait(fingerprint, now))
        detail = "leafs end when they run this request"
        retry_after = timedelta(seconds=wait) if wait else TRIAL_TIME
        return NotRun(Reason.QUARANTINED, detail, retry_after)

    def record(self, fingerprint: bytes, watch: CrashWatch, careful: bool) -> None:
        """Note how leafs fared under one try of a request.

        Args:
            fingerprint: of the request.
            watch: of the try.
            careful: whether one leaf was to answer first.
        """
        if watch.answered:
            self._note_answer(fingerprint)
        for _ in range(watch.count_strikes()):
            self._note_strike(fingerprint)
        if careful and (trial := self._trials.pop(fingerprint, None)) is not None:
            trial.set()

    def log_news(self, fingerprint: bytes) -> None:
        """Log what another instance told, where it changes what a request may do."""
        self._log_standing(fingerprint, "told")

    def _note_answer(self, fingerprint: bytes) -> None:
        if self._quarantine.record_answer(fingerprint, self._clock.monotonic()):
            self._events.emit(Events.QUARANTINE_LIFTED, question=fingerprint.hex())
            self._tell(fingerprint)

    def _note_strike(self, fingerprint: bytes) -> None:
        name = make_fingerprint(self._instance, self._random.randbytes(STRIKE_BYTES))
        strike = int.from_bytes(name[:STRIKE_BYTES], "big")
        now = self._clock.monotonic()
        self._quarantine.record_strike(fingerprint, strike, now)
        self._log_standing(fingerprint, "seen")
        self._tell(fingerprint)
        if self.find_standing(fingerprint) is QuarantineLevel.REFUSED:
            self._keep(fingerprint)

    def _log_standing(self, fingerprint: bytes, source: str) -> None:
        self._metrics.gauge("quarantine.entries", len(self._quarantine))
        standing = self.find_standing(fingerprint)
        if standing is not QuarantineLevel.USUAL:
            self._events.emit(
                Events.QUARANTINED,
                question=fingerprint.hex(),
                standing=standing.name.lower(),
                source=source,
            )
