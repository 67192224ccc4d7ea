"""Tests of the gate that delays or refuses questions under overload."""

from dataclasses import replace
from datetime import timedelta
from io import StringIO
from random import Random

import trio

from walkcart.bench.harness import run_mocked
from walkcart.entry.overloadgate import OverloadGate
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.metrics import Metrics
from walkcart.routing.retryafter import MAX_SPREAD
from walkcart.wire.http import HttpRequest
from walkcart.wire.verdicts import NotRun, Reason

#: Seconds for which each question is in progress.
TIME = 0.1


def make_gate(log=None):
    clock = TrioClock()
    events = EventLog("one", clock, log or StringIO())
    return OverloadGate(clock, Random(1), events, Metrics(None, "one"))


def make_question(timeout=5.0, rank=0):
    now = trio.current_time()
    request = HttpRequest("GET", "/x")
    return RoutedQuestion(
        "q", "kind", request, ("s",), now + timeout, now + 0.2, rank=rank
    )


async def serve(gate, question, found, name, time=TIME):
    """Hold a question in progress for a time; record the total time and any refusal."""
    start = trio.current_time()
    async with gate.admit(question) as refusal:
        if refusal is None:
            await trio.sleep(time)
    found[name] = (trio.current_time() - start, refusal)


def limit_to(gate, limit):
    """Set a limit, as after a persistent delay of the event loop."""
    gate.room.limit = float(limit)


def test_without_a_limit_all_questions_start_at_once():
    async def run():
        gate, found = make_gate(), {}
        async with trio.open_nursery() as nursery:
            for name in range(50):
                nursery.start_soon(serve, gate, make_question(), found, name)
        return found

    found = run_mocked(run)
    assert len(found) == 50
    assert all(abs(time - TIME) < 0.001 for time, _ in found.values())


def test_under_a_limit_urgent_questions_start_first_and_all_are_served():
    async def run():
        gate, found = make_gate(), {}
        limit_to(gate, 2)
        async with trio.open_nursery() as nursery:
            for name in range(6):
                nursery.start_soon(serve, gate, make_question(rank=1), found, name)
            await trio.sleep(0.01)
            nursery.start_soon(serve, gate, make_question(rank=0), found, "urgent")
        return found

    found = run_mocked(run)
    assert all(refusal is None for _, refusal in found.values())
    assert found["urgent"][0] < 2 * TIME + 0.001
    assert max(time for time, _ in found.values()) >= 4 * TIME - 0.02


def test_question_that_would_be_late_is_refused_at_once_with_a_sound_retry_time():
    async def run():
        log = StringIO()
        gate, found = make_gate(log), {}
        limit_to(gate, 2)
        async with trio.open_nursery() as nursery:
            for name in range(20):
                nursery.start_soon(serve, gate, make_question(), found, name)
            await trio.sleep(0.55)
            question = make_question(timeout=0.3)
            await serve(gate, question, found, "hasty")
            waiting = gate.room.waiting
        return found, waiting, log.getvalue()

    found, waiting, log = run_mocked(run)
    time, refusal = found.pop("hasty")
    assert time == 0
    assert isinstance(refusal, NotRun)
    assert refusal.reason is Reason.NO_ROOM
    # Two questions at a time, of 100 ms each: the queue is empty after this time.
    drained = timedelta(seconds=waiting * TIME / 2)
    assert 0.8 * drained <= refusal.retry_after <= 2 * MAX_SPREAD * drained
    assert "room_refused" in log
    assert all(refusal is None for _, refusal in found.values())


def test_caller_that_cancels_while_waiting_frees_its_place():
    async def run():
        gate, found = make_gate(), {}
        limit_to(gate, 1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, gate, make_question(), found, "first")
            await trio.sleep(0.01)
            with trio.move_on_after(0.02):
                await serve(gate, make_question(), found, "gone")
            nursery.start_soon(serve, gate, make_question(), found, "next")
        return found, gate.room.in_progress, gate.room.waiting

    found, in_progress, waiting = run_mocked(run)
    assert set(found) == {"first", "next"}
    assert in_progress == waiting == 0


def test_busy_event_loop_sets_a_limit_and_an_idle_one_removes_it():
    async def run():
        log = StringIO()
        gate, found, limits = make_gate(log), {}, []
        async with trio.open_nursery() as nursery:
            for name in range(20):
                question = replace(make_question(), id=f"q-{name}")
                nursery.start_soon(serve, gate, question, found, name, 6.0)
            for _ in range(12):
                await trio.sleep(0.05)
                gate.record_loop_delay(0.2, trio.current_time())
                limits.append(gate.room.limit)
            await nursery.start(gate.run)
            await trio.sleep(5)
            limits.append(gate.room.limit)
            nursery.cancel_scope.cancel()
        return limits, log.getvalue()

    limits, log = run_mocked(run)
    assert min(limits) < 20
    assert limits[-1] == float("inf")
    assert "room_limited" in log
    assert "room_free" in log


def find_retry_after(refused):
    """Return the retry time of an overloaded gate, in seconds.

    Args:
        refused: number of questions that were refused lately when their turn had come,
            as those of a team above its limit are.
    """

    async def refuse():
        return NotRun(Reason.RATE_LIMITED)

    async def run():
        gate, found = make_gate(), {}
        for name in range(4):
            await serve(gate, make_question(), found, name, time=1.0)
        for _ in range(refused):
            async with gate.admit(make_question(), refuse) as refusal:
                assert refusal.reason is Reason.RATE_LIMITED
        limit_to(gate, 1)
        async with trio.open_nursery() as nursery:
            for name in ("first", "second", "late"):
                question = make_question(timeout=1.5 if name == "late" else 9.0)
                nursery.start_soon(serve, gate, question, found, name, 1.0)
                await trio.sleep(0)
        return found["late"][1].retry_after.total_seconds()

    return run_mocked(run)


def test_refused_questions_do_not_shorten_the_time_to_come_back():
    """Refusals for a team's limit counted as completions, so the drain looked fast."""
    assert find_retry_after(refused=200) == find_retry_after(refused=0)


def test_refused_question_makes_room_for_the_next():
    async def refuse():
        return NotRun(Reason.RATE_LIMITED)

    async def run():
        gate, found = make_gate(), {}
        limit_to(gate, 1)
        async with gate.admit(make_question(), refuse):
            assert gate.room.in_progress == 0
            await serve(gate, make_question(), found, "next")
        return found["next"], gate.room.in_progress

    (waited, refusal), in_progress = run_mocked(run)
    assert refusal is None
    assert waited == TIME
    assert in_progress == 0
