"""Questions of a fleet of 195 instances, most of which are asked each few seconds.

Where all of them gather, nearly each pair meets for the first time with a question, at
a link that isn't up yet: the question is taken back, and so are its late parts, and it
fails long before its deadline though nothing has run.
"""

from itertools import compress
from random import Random

import trio
from trio.testing import MockClock

from walkcart.bench.routed.callers import CallerKind
from walkcart.bench.routed.instances import TrialInstance
from walkcart.bench.routed.leafs import LeafShape
from walkcart.bench.routed.policies import Policy
from walkcart.bench.routed.scenarios import Scenario, Shape
from walkcart.bench.routed.trials import Trial
from walkcart.membership.links import PeerLinks

INSTANCES = 195
SHARDS = 87
#: As the users state them for their largest fleet.
SWEEP = CallerKind("sweep", 18.2, 0.030, 0.335, 2.0, 0.95, value=2.0)
LOOKUP = CallerKind("lookup", 6.07, 0.0101, 0.112, 1.0, 0.85)
SECONDS = 4.0


def make_shape(instances=INSTANCES):
    leaf = LeafShape(connections=120)
    return Shape(SHARDS, 2, 0, instances, (SWEEP, LOOKUP), leaf)


def play(scenario, instances=INSTANCES, prepare=lambda trial: None):
    async def run():
        trial = Trial(make_shape(instances), Policy("walkcart"), Random(1))
        prepare(trial)
        result = await trial.play(scenario)
        return trial, result

    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    return trio.run(run, clock=MockClock(autojump_threshold=0))


def test_the_first_questions_of_a_large_fleet_are_answered():
    _, result = play(Scenario("first", seconds=SECONDS, cold=True))
    sweep = result.kinds["sweep"]
    assert sweep.asked > 50
    assert sweep.failed == 0
    assert sweep.refused == 0
    assert sweep.in_time > 0.9


def test_links_of_an_instance_do_not_grow_with_the_fleet(monkeypatch):
    links = []
    init = PeerLinks.__init__

    def note(self, *words, **more):
        init(self, *words, **more)
        links.append(self)

    monkeypatch.setattr(PeerLinks, "__init__", note)
    play(Scenario("links", seconds=2.0, cold=True))
    counts = sorted(len(item._links) for item in links)
    assert len(counts) == INSTANCES
    # Three gatherers in each of three data centres, and those that answer them.
    assert counts[len(counts) // 2] <= 12


def test_gatherers_that_end_cost_a_detour_and_no_question(monkeypatch):
    """All gatherers of a data centre end at once, without a word."""
    scopes = {}
    start = TrialInstance.start

    async def start_apart(self, nursery):
        async def run(task_status):
            with trio.CancelScope() as scopes[self.record.name]:
                async with trio.open_nursery() as inner:
                    await start(self, inner)
                    task_status.started()

        await nursery.start(run)

    def end_gatherers(trial):
        first = trial.instances[0]
        gatherers = first.gathering.delegates._tools.gatherers
        ended = gatherers.of("south-a")
        for name in ended:
            scopes[name].cancel()
        # Their own callers go elsewhere.
        left = [item.record.name not in ended for item in trial.instances]
        for callers in trial.callers:
            callers._handlers = list(compress(callers._handlers, left))

    monkeypatch.setattr(TrialInstance, "start", start_apart)
    acts = ((1.5, end_gatherers),)
    _, result = play(Scenario("ends", acts, seconds=SECONDS, cold=True))
    sweep = result.kinds["sweep"]
    # What they were at work on may have run: one question each at the most.
    assert sweep.failed <= 3 / sweep.asked
    assert sweep.in_time > 0.85
