"""What one question may still do once leafs ended under it.

The load it answers: a question that ends each leaf which runs it. Sent again to the
other replica of each shard, as after any loss, it takes all leafs of a service down
within 0.3 s. Where leafs crash together for reasons of their own, the same question
would be answered by those that are left, so one of these is asked first.

See Also:
    `walkcart.routing.quarantine`, which remembers over many tries.
"""

from __future__ import annotations

#: Leafs that ended under a question, without an answer of any other, from which on it
#: is sent to no more than one further leaf at a time. One alone is an ordinary loss.
ENDED_THRESHOLD = 2


class CrashWatch:
    """Counts the leafs that ended under one try of a question.

    Args:
        services: that are asked.
        careful: whether one leaf is to answer before the others are asked.
    """

    def __init__(self, services: int, careful: bool = False) -> None:
        self._has_several_services = services > 1
        self._careful = careful
        #: The service whose leaf is asked by itself, while it is.
        self._sole_service: str | None = None
        self.ended = 0
        self.answered = False
        #: Whether a leaf ended that was asked by itself, or another instance knows that
        #: the question ends leafs.
        self.is_stopped = False

    @property
    def is_sequential(self) -> bool:
        """Whether leafs are asked one at a time, until one answers."""
        if self.answered:
            return False
        many = self._has_several_services and self.ended >= ENDED_THRESHOLD
        return self._careful or self.is_stopped or many

    @property
    def checks_liveness(self) -> bool:
        """Whether a leaf ended under the question, and none has answered since.

        A leaf is then seen to live before it is asked. Where many crash at the same
        moment, one that was down already would be taken for another that this question
        ended: 9 innocent ones of 400 were, when all leafs of a test crashed at once.
        """
        return not self.answered and (self._careful or self.ended > 0)

    def may_send(self, service: str) -> bool:
        """Return whether a leaf of a service may be asked now."""
        if not self.is_sequential:
            return True
        return not self.is_stopped and self._sole_service is None

    def record_sent(self, service: str) -> None:
        """Note that a leaf of a service is asked."""
        if self.is_sequential:
            self._sole_service = service

    def record_answer(self) -> None:
        """Note that a leaf ran the question to its end and lives."""
        self.answered = True
        self.is_stopped = False

    def record_ended(self, service: str, count: int = 1) -> None:
        """Note that leafs of a service ended under the question."""
        was_lone = self._sole_service == service
        self.ended += count
        self._clear_sole_service(service)
        if was_lone and not self.answered:
            self.is_stopped = True

    def record_failed(self, service: str) -> None:
        """Note that an attempt ended otherwise, without an answer."""
        self._clear_sole_service(service)

    def record_refused(self) -> None:
        """Note that another instance knows that the question ends leafs."""
        if not self.answered:
            self.is_stopped = True

    def count_strikes(self) -> int:
        """Return how many independent losses this try shows."""
        if self.answered or not self.ended:
            return 0
        if self._careful:
            return 1
        if not self._has_several_services:
            return min(self.ended, ENDED_THRESHOLD)
        return 2 if self.is_stopped else 1

    def _clear_sole_service(self, service: str) -> None:
        if self._sole_service == service:
            self._sole_service = None
