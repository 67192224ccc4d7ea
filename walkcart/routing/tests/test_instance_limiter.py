"""Tests of the limit on the questions that an overloaded instance works on."""

import heapq
from itertools import count

from walkcart.routing.instancelimiter import (
    MAX_LOOP_DELAY,
    RECOVERY_TIME,
    STANDING_TIME,
    InstanceLimiter,
    Overloaded,
    PendingQuestion,
    Started,
    Waiting,
)

#: Seconds between two samples of the delay; simulations sample five times as often.
INTERVAL = 0.05
#: Questions per second that the simulated instance can work on.
CAPACITY = 40.0
#: Seconds that each question takes.
DURATION = 0.1


class Simulation:
    """Simulates an instance with a fixed capacity and records how each question ends.

    The event loop's delay follows the questions in progress beyond that capacity.
    """

    def __init__(self):
        self.room = InstanceLimiter()
        self.done = {}
        self.refused = {}
        self._ends = []
        self._numbers = count()
        self._free_at = 0.0

    def run(self, arrivals, until):
        """Simulate arrivals: tuples of a time, a name of the group, and an entry."""
        arrivals = sorted(arrivals, key=lambda item: item[0])
        now = 0.0
        while now < until:
            while arrivals and arrivals[0][0] <= now:
                at, name, entry = arrivals.pop(0)
                self._submit((name, at, entry), now)
            while self._ends and self._ends[0][0] <= now:
                _, _, item, started_at = heapq.heappop(self._ends)
                self._record(self.done, item, now)
                self.room.finish(now, now - started_at)
            loop_delay = max(0.0, self.room.in_progress / CAPACITY - DURATION) / 4
            self.room.record_delay(loop_delay, now)
            for item in self.room.start_waiting(now):
                self._start(item, now)
            for item, _ in self.room.remove_late(now):
                self._record(self.refused, item, now)
            now += INTERVAL / 5

    def _submit(self, item, now):
        match self.room.submit(item, item[2], now):
            case Started():
                self._start(item, now)
            case Overloaded():
                self._record(self.refused, item, now)

    def _start(self, item, now):
        self._free_at = max(now, self._free_at) + 1 / CAPACITY
        end = max(self._free_at, now + DURATION)
        heapq.heappush(self._ends, (end, next(self._numbers), item, now))

    def _record(self, result, item, now):
        result.setdefault(item[0], []).append((now - item[1], item[2]))

    def count(self, name):
        return len(self.done.get(name, ()))


def arrive(name, rate, seconds, rank=0, patience=1.2, objective=0.3, **fields):
    """Return arrivals at a constant rate."""
    return [
        (
            n / rate,
            name,
            PendingQuestion(
                rank, n / rate + objective, n / rate + patience, DURATION, **fields
            ),
        )
        for n in range(int(rate * seconds))
    ]


def test_without_a_standing_delay_nothing_waits_and_nothing_is_refused():
    simulation = Simulation()
    simulation.run(arrive("plain", rate=CAPACITY * 0.9, seconds=5.0), until=6.0)
    assert simulation.room.limit == float("inf")
    assert simulation.count("plain") == int(CAPACITY * 0.9 * 5.0)
    assert not simulation.refused


def test_single_late_samples_are_no_overload():
    room = InstanceLimiter()
    now = 0.0
    for number in range(20):
        room.record_delay(1.0 if number % 4 == 0 else 0.0, now)
        now += INTERVAL
    assert room.limit == float("inf")


def test_overload_refuses_at_once_and_leaves_nothing_waiting():
    simulation = Simulation()
    simulation.run(arrive("plain", rate=CAPACITY * 2, seconds=6.0), until=9.0)
    assert simulation.refused
    served = simulation.done["plain"]
    in_time = sum(1 for elapsed, _ in served if elapsed <= 1.2)
    # Questions that were started before the delay was detected may be late.
    assert in_time >= 0.9 * len(served)
    assert len(served) >= 0.8 * CAPACITY * 6.0
    waits = sorted(elapsed for elapsed, _ in simulation.refused["plain"])
    assert waits[len(waits) // 2] < 0.05
    assert simulation.room.waiting == 0


def test_urgent_questions_are_served_first_and_others_do_not_starve():
    simulation = Simulation()
    urgent = arrive("urgent", rate=CAPACITY, seconds=8.0, rank=0)
    less_urgent = arrive(
        "less_urgent", rate=CAPACITY, seconds=8.0, rank=2, patience=4.0
    )
    simulation.run(urgent + less_urgent, until=12.0)
    total = 2 * int(CAPACITY * 8.0)
    overall = (simulation.count("urgent") + simulation.count("less_urgent")) / total
    assert simulation.count("urgent") > simulation.count("less_urgent")
    assert simulation.count("less_urgent") / int(CAPACITY * 8.0) >= overall / 4


def test_a_team_that_sends_many_times_its_usual_load_takes_no_capacity_of_others():
    teams = [
        arrival
        for number in range(8)
        for arrival in arrive(f"small-{number}", 2.0, 8.0, team=f"small-{number}")
    ]
    hot = arrive("hot", CAPACITY * 2, 8.0, team="hot")
    simulation = Simulation()
    simulation.run(teams + hot, until=10.0)
    for number in range(8):
        assert simulation.count(f"small-{number}") >= 14
    # The hot team gets the capacity that the others leave.
    assert simulation.count("hot") >= 0.4 * (CAPACITY - 16.0) * 8.0


def test_a_teams_capacity_follows_its_weight():
    large = arrive("large", CAPACITY * 1.5, 8.0, team="large", weight=3.0)
    small = arrive("small", CAPACITY * 1.5, 8.0, team="small", weight=1.0)
    simulation = Simulation()
    simulation.run(large + small, until=10.0)
    assert simulation.count("large") > 1.5 * simulation.count("small")


def test_the_retry_time_covers_the_questions_ahead():
    room = InstanceLimiter()
    now = 0.0
    entry = PendingQuestion(rank=0, due=0.3, deadline=0.6, time=DURATION)
    for number in range(60):
        room.submit(number, entry, now)
    # The loop stays behind, and two questions end every 50 ms.
    result = None
    for _ in range(8):
        now += INTERVAL
        room.record_delay(0.2, now)
        for _ in range(2):
            room.finish(now, elapsed=1.5)
    entry = PendingQuestion(rank=0, due=now + 0.3, deadline=now + 0.3, time=DURATION)
    waiting = 0
    while not isinstance(result, Overloaded):
        result = room.submit(f"new-{waiting}", entry, now)
        waiting += isinstance(result, Waiting)
    # Fewer than 40 a second end; the retry time must cover all questions ahead.
    ahead = room.waiting + room.in_progress - room.limit
    assert result.retry_after >= ahead / 40.0 * 0.9


def test_the_limit_is_lifted_when_the_loop_has_caught_up():
    simulation = Simulation()
    simulation.run(arrive("plain", CAPACITY * 2, 4.0), until=4.0 + RECOVERY_TIME + 4.0)
    assert simulation.room.limit == float("inf")
    assert simulation.room.in_progress == 0


def test_a_question_whose_caller_left_is_removed():
    room = InstanceLimiter()
    room.in_progress, room.limit = 2, 2.0
    entry = PendingQuestion(rank=0, due=1.0, deadline=9.0)
    assert isinstance(room.submit("gone", entry, 0.0), Waiting)
    room.cancel_waiting("gone")
    room.finish(0.1, elapsed=0.1)
    assert room.start_waiting(0.1) == []


def test_a_standing_delay_sets_a_limit():
    room = InstanceLimiter()
    for number in range(10):
        room.submit(number, PendingQuestion(0, 1.0, 1.0), 0.0)
    now = 0.0
    while now < 3 * STANDING_TIME:
        room.record_delay(2 * MAX_LOOP_DELAY, now)
        now += INTERVAL
    assert room.limit < 10
