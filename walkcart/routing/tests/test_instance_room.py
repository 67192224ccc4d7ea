"""What an instance that has fallen behind works on, holds and refuses."""

import heapq
from itertools import count

from walkcart.routing.instancelimiter import (
    CALM_TIME,
    MOST_DELAY,
    STANDING_TIME,
    InstanceLimiter,
    Overloaded,
    PendingQuestion,
    Started,
    Waiting,
)

INTERVAL = 0.05
#: Questions a second that the emulated instance can work on, and the time of each.
PACE = 40.0
TIME = 0.1


class Play:
    """Serves questions at a fixed pace and notes what became of each.

    The event loop is behind by how much more is in progress than the pace allows.
    """

    def __init__(self):
        self.room = InstanceLimiter()
        self.done = {}
        self.refused = {}
        self._ends = []
        self._numbers = count()
        self._free_at = 0.0

    def run(self, arrivals, until):
        """Play arrivals: a time, a name of its team or rank, and an entry."""
        arrivals = sorted(arrivals, key=lambda item: item[0])
        now = 0.0
        while now < until:
            while arrivals and arrivals[0][0] <= now:
                at, name, entry = arrivals.pop(0)
                self._enter((name, at, entry), now)
            while self._ends and self._ends[0][0] <= now:
                _, _, item, begun = heapq.heappop(self._ends)
                self._note(self.done, item, now)
                self.room.finish(now, now - begun)
            behind = max(0.0, self.room.in_progress / PACE - TIME) / 4
            self.room.record_delay(behind, now)
            for item in self.room.start_waiting(now):
                self._begin(item, now)
            for item, _ in self.room.remove_late(now):
                self._note(self.refused, item, now)
            now += INTERVAL / 5

    def _enter(self, item, now):
        match self.room.submit(item, item[2], now):
            case Started():
                self._begin(item, now)
            case Overloaded():
                self._note(self.refused, item, now)

    def _begin(self, item, now):
        self._free_at = max(now, self._free_at) + 1 / PACE
        end = max(self._free_at, now + TIME)
        heapq.heappush(self._ends, (end, next(self._numbers), item, now))

    def _note(self, found, item, now):
        found.setdefault(item[0], []).append((now - item[1], item[2]))

    def count(self, name):
        return len(self.done.get(name, ()))


def arrive(name, rate, seconds, rank=0, patience=1.2, objective=0.3, **fields):
    """Return arrivals at an even rate."""
    return [
        (
            n / rate,
            name,
            PendingQuestion(
                rank, n / rate + objective, n / rate + patience, TIME, **fields
            ),
        )
        for n in range(int(rate * seconds))
    ]


def test_without_a_standing_delay_nothing_waits_and_nothing_is_refused():
    play = Play()
    play.run(arrive("plain", rate=PACE * 0.9, seconds=5.0), until=6.0)
    assert play.room.limit == float("inf")
    assert play.count("plain") == int(PACE * 0.9 * 5.0)
    assert not play.refused


def test_a_single_late_look_is_no_overload():
    room = InstanceLimiter()
    now = 0.0
    for number in range(20):
        room.record_delay(1.0 if number % 4 == 0 else 0.0, now)
        now += INTERVAL
    assert room.limit == float("inf")


def test_overload_refuses_at_once_and_keeps_nothing_waiting_in_vain():
    play = Play()
    play.run(arrive("plain", rate=PACE * 2, seconds=6.0), until=9.0)
    assert play.refused
    served = play.done["plain"]
    in_time = sum(1 for elapsed, _ in served if elapsed <= 1.2)
    # What was begun before the delay was seen may come late.
    assert in_time >= 0.9 * len(served)
    assert len(served) >= 0.8 * PACE * 6.0
    waits = sorted(elapsed for elapsed, _ in play.refused["plain"])
    assert waits[len(waits) // 2] < 0.05
    assert play.room.waiting == 0


def test_the_urgent_are_served_first_and_the_others_still_are():
    play = Play()
    urgent = arrive("urgent", rate=PACE, seconds=8.0, rank=0)
    lesser = arrive("lesser", rate=PACE, seconds=8.0, rank=2, patience=4.0)
    play.run(urgent + lesser, until=12.0)
    total = 2 * int(PACE * 8.0)
    overall = (play.count("urgent") + play.count("lesser")) / total
    assert play.count("urgent") > play.count("lesser")
    assert play.count("lesser") / int(PACE * 8.0) >= overall / 4


def test_a_team_that_sends_many_times_its_usual_takes_no_room_of_others():
    teams = [
        arrival
        for number in range(8)
        for arrival in arrive(f"small-{number}", 2.0, 8.0, team=f"small-{number}")
    ]
    hot = arrive("hot", PACE * 2, 8.0, team="hot")
    play = Play()
    play.run(teams + hot, until=10.0)
    for number in range(8):
        assert play.count(f"small-{number}") >= 14
    # What the others leave goes to who can use it.
    assert play.count("hot") >= 0.4 * (PACE - 16.0) * 8.0


def test_a_teams_claim_follows_its_weight():
    large = arrive("large", PACE * 1.5, 8.0, team="large", weight=3.0)
    small = arrive("small", PACE * 1.5, 8.0, team="small", weight=1.0)
    play = Play()
    play.run(large + small, until=10.0)
    assert play.count("large") > 1.5 * play.count("small")


def test_who_comes_back_as_told_finds_less_to_do():
    room = InstanceLimiter()
    now = 0.0
    entry = PendingQuestion(rank=0, due=0.3, deadline=0.6, time=TIME)
    for number in range(60):
        room.submit(number, entry, now)
    # The loop stays behind, and ten questions end each tenth of a second.
    found = None
    for _ in range(8):
        now += INTERVAL
        room.record_delay(0.2, now)
        for _ in range(2):
            room.finish(now, elapsed=1.5)
    entry = PendingQuestion(rank=0, due=now + 0.3, deadline=now + 0.3, time=TIME)
    waiting = 0
    while not isinstance(found, Overloaded):
        found = room.submit(f"new-{waiting}", entry, now)
        waiting += isinstance(found, Waiting)
    # Fewer than 40 a second are done; the time told covers all that is ahead.
    ahead = room.waiting + room.in_progress - room.limit
    assert found.retry_after >= ahead / 40.0 * 0.9


def test_the_limit_falls_away_when_the_loop_has_caught_up():
    play = Play()
    play.run(arrive("plain", PACE * 2, 4.0), until=4.0 + CALM_TIME + 4.0)
    assert play.room.limit == float("inf")
    assert play.room.in_progress == 0


def test_a_question_whose_caller_left_is_forgotten():
    room = InstanceLimiter()
    room.in_progress, room.limit = 2, 2.0
    entry = PendingQuestion(rank=0, due=1.0, deadline=9.0)
    assert isinstance(room.submit("gone", entry, 0.0), Waiting)
    room.cancel_waiting("gone")
    room.finish(0.1, elapsed=0.1)
    assert room.start_waiting(0.1) == []


def test_a_limit_needs_a_delay_at_each_look():
    room = InstanceLimiter()
    for number in range(10):
        room.submit(number, PendingQuestion(0, 1.0, 1.0), 0.0)
    now = 0.0
    while now < 3 * STANDING_TIME:
        room.record_delay(2 * MOST_DELAY, now)
        now += INTERVAL
    assert room.limit < 10
