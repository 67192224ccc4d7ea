"""Limits the attempts of one question under which leaves crashed.

A question may crash each leaf that runs it. Sent again to the other replica of each
shard, as after any loss, it takes all leaves of a service down within 0.3 s. Where
leaves crash together for another reason, those that are left would answer the same
question, so one of them is asked first.

See Also:
    `walkcart.routing.quarantine`, which keeps the record over many requests.
"""

from __future__ import annotations

#: Number of leaves that crash under an unanswered question before it is sent to one
#: leaf at a time. A single crash is an ordinary loss.
ENDED_THRESHOLD = 2


class CrashWatch:
    """Counts the leaves that crashed under one run of a question.

    Args:
        services: number of services that the question goes to.
        careful: whether one leaf must answer before the others are asked.
        known_strikes: the strikes that were known of the question when it was admitted.
    """

    def __init__(
        self,
        services: int,
        careful: bool = False,
        known_strikes: frozenset[int] = frozenset(),
    ) -> None:
        self.has_several_services = services > 1
        self._careful = careful
        self.known_strikes = known_strikes
        #: Crashes of leaves that were asked after the crash before.
        self._successive = 0
        #: Time of the last of these, in seconds.
        self._successive_at = float("-inf")
        #: Whether a leaf crashed that was asked alone.
        self._has_crashed_alone = False
        #: Id of the leaf of the last strike.
        self.last_leaf = ""
        #: Times of the first and the last crash, in seconds; infinite if unknown.
        self.first_ended_at = float("inf")
        self.last_ended_at = float("inf")
        #: The service with the only attempt under way in sequential mode, or None.
        self._sole_service: str | None = None
        self.ended = 0
        self.answered = False
        #: Whether nothing more may be sent: the only leaf that was asked crashed, or
        #: another instance reports that the question crashes leaves.
        self.is_stopped = False

    @property
    def is_sequential(self) -> bool:
        """Whether leaves are asked one at a time, until one answers."""
        if self.answered:
            return False
        many = self.has_several_services and self.ended >= ENDED_THRESHOLD
        return self._careful or self.is_stopped or many

    @property
    def checks_liveness(self) -> bool:
        """Whether a leaf must prove that it is alive before it is asked.

        This holds while a leaf has crashed under the question and none has answered.
        Where many leaves crash at the same moment, one that was already down would be
        counted as crashed by this question: 9 of 400 harmless questions were blamed
        when all leaves of a test crashed at once.
        """
        return not self.answered and (self._careful or self.ended > 0)

    def may_send(self, service: str) -> bool:
        """Return whether an attempt at a leaf of `service` may be sent now."""
        if not self.is_sequential:
            return True
        return not self.is_stopped and self._sole_service is None

    def record_sent(self, service: str) -> None:
        """Record that an attempt was sent to a leaf of `service`."""
        if self.is_sequential:
            self._sole_service = service

    def record_answer(self) -> None:
        """Record that a leaf ran the question to its end and is alive."""
        self.answered = True
        self.is_stopped = False

    def record_ended(
        self,
        service: str,
        count: int = 1,
        sent_at: float = float("inf"),
        now: float = float("inf"),
        leaf: str = "",
    ) -> None:
        """Record that leaves crashed under the question.

        Args:
            service: their service.
            count: number of leaves.
            sent_at: when the attempt was sent, in seconds. Of attempts that were under
                way together only one counts for a single service.
            now: the current time, in seconds; infinite if unknown.
            leaf: id of the leaf, if a single one crashed.
        """
        was_sole = self._sole_service == service
        self.ended += count
        is_successive = sent_at >= self._successive_at
        if is_successive:
            self._successive += 1
            self._successive_at = now
            self.first_ended_at = min(self.first_ended_at, now)
            self.last_ended_at = now
        if was_sole or (is_successive and not self.has_several_services):
            self.last_leaf = leaf
        self._clear_sole_service(service)
        if was_sole and not self.answered:
            self.is_stopped = self._has_crashed_alone = True

    def record_failed(self, service: str) -> None:
        """Record that an attempt failed in another way, without an answer."""
        self._clear_sole_service(service)

    def record_refused(self, has_crashed: bool, peer: str) -> None:
        """Record that another instance reports that the question crashes leaves.

        Args:
            has_crashed: whether a leaf that it asked alone crashed; otherwise it didn't
                run the question, because of strikes that it knows.
            peer: name of the other instance.
        """
        if self.answered:
            return
        self.is_stopped = True
        if has_crashed:
            self._has_crashed_alone = True
            self.last_leaf = peer

    def count_strikes(self) -> int:
        """Return how many independent crashes this run counts for the quarantine."""
        if self.answered or not self.ended:
            return 0
        if self._careful:
            return 1
        if not self.has_several_services:
            return min(self._successive, ENDED_THRESHOLD)
        return 2 if self._has_crashed_alone else 1

    def _clear_sole_service(self, service: str) -> None:
        if self._sole_service == service:
            self._sole_service = None
