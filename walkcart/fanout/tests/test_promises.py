"""Guarantees of answers under failure: one snapshot, true coverage, no mix-ups."""

import trio

from walkcart.bench.caller import Caller, find_violations
from walkcart.bench.faults import IndexRoll, Repartition, bring_about
from walkcart.bench.harness import make_caller, open_estate, run_mocked
from walkcart.bench.world import make_partner


async def ask_while(world, fault, seconds=6.0, gap=0.02):
    """Ask all instances in turn during a fault.

    Args:
        world: the simulated system.
        fault: coroutine function that brings the fault about.
        seconds: for how long questions are asked.
        gap: seconds between two questions.

    Returns:
        Pairs of a reply and the violations that it shows.
    """
    caller = make_caller(world)
    addresses = [item.address for item in world.instances.values()]
    found = []

    async def ask(number):
        query = {"number": number}
        asked = await caller.query(addresses[number % 3], "parts", query)
        found.append((asked, find_violations(asked, "red", query)))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(fault)
        for number in range(int(seconds / gap)):
            nursery.start_soon(ask, number)
            await trio.sleep(gap)
    return found


def check_complete(found):
    assert found
    for asked, violations in found:
        assert not violations
        assert asked.status == 200, asked.content
        assert asked.content["coverage"]["complete"]


def test_index_roll_mixes_no_versions_and_keeps_answers_complete():
    async def run():
        async with open_estate() as world:

            async def roll():
                for version in (2, 3, 4):
                    await bring_about(IndexRoll(0.5, version, 0.1), world, "parts")

            return await ask_while(world, roll)

    found = run_mocked(run)
    check_complete(found)
    seen = {asked.content["snapshot"]["version"] for asked, _ in found}
    assert len(seen) >= 3


def test_leaves_that_cannot_pin_are_answered_from_one_version():
    async def run():
        async with open_estate() as world:
            for name, item in world.leaves.items():
                item.leaf.faults.no_pin = name.endswith("0")

            async def roll():
                await bring_about(IndexRoll(0.5, 2, 0.3), world, "parts")

            return await ask_while(world, roll, seconds=5.0)

    found = run_mocked(run)
    assert all(not violations for _, violations in found)
    assert all(asked.status == 200 for asked, _ in found)


def test_leaf_that_answers_late_from_the_old_version_is_not_mixed_in():
    async def run():
        async with open_estate() as world:
            for item in world.leaves.values():
                item.leaf.load_version(2)
            late = world.leaves["parts-l1-2-0"].leaf
            late.faults.no_pin = late.faults.late_version = True
            late.faults.slow = 5.0
            return await ask_while(world, trio.lowlevel.checkpoint, seconds=2.0)

    found = run_mocked(run)
    assert all(not violations for _, violations in found)


def test_repartition_mixes_no_layouts():
    async def run():
        async with open_estate() as world:

            async def repartition():
                await bring_about(Repartition(0.5, 6), world, "parts")

            return await ask_while(world, repartition)

    found = run_mocked(run)
    check_complete(found)
    layouts = [asked.content["snapshot"]["layout"] for asked, _ in found]
    assert layouts[0] == 1
    assert layouts[-1] == 2


def test_shard_without_leaves_is_listed_as_missing():
    async def run():
        async with open_estate() as world:
            caller = make_caller(world)
            for name in ("parts-l1-1-0", "parts-l1-1-1"):
                world.kill_leaf(name)
            address = world.instances["instance-0"].address
            partial = await caller.query(address, "parts", 1)
            whole = await caller.query(
                address, "parts", 1, ((b"walkcart-least-coverage", b"1"),)
            )
            return partial, whole

    partial, whole = run_mocked(run)
    assert partial.content["coverage"]["answered"] == [0, 2, 3]
    assert partial.content["coverage"]["missing"] == [
        {"shard": 1, "reason": "unreachable"}
    ]
    assert not find_violations(partial, "red", 1)
    assert (whole.status, whole.verdict) == (502, "may_have_run")


def test_partial_leaf_lowers_the_coverage():
    async def run():
        async with open_estate() as world:
            for name in ("parts-l1-3-0", "parts-l1-3-1"):
                world.leaves[name].leaf.faults.partial = True
            address = world.instances["instance-0"].address
            return await make_caller(world).query(address, "parts", 1)

    asked = run_mocked(run)
    coverage = asked.content["coverage"]
    assert coverage["partial"] == [3]
    assert coverage["answered"] == [0, 1, 2]
    assert not coverage["complete"]


def test_stalled_shard_gives_a_partial_answer_at_the_deadline():
    async def run():
        async with open_estate() as world:
            for name in ("parts-l1-0-0", "parts-l1-0-1"):
                world.leaves[name].leaf.faults.hang = True
            address = world.instances["instance-0"].address
            headers = ((b"walkcart-deadline-ms", b"300"),)
            return await make_caller(world).query(address, "parts", 1, headers)

    asked = run_mocked(run)
    assert asked.elapsed < 0.31
    assert asked.content["coverage"]["answered"] == [1, 2, 3]


def test_each_of_thousands_of_questions_gets_its_own_answer():
    async def run():
        async with open_estate(instances=3) as world:
            for item in world.leaves.values():
                item.leaf.faults.repeat_reply = 0.02
                item.leaf.faults.cut_body = 0.02
                item.leaf.faults.wrong_attempt = 0.02
                item.leaf.faults.stall_share = 0.05
            callers = {name: make_caller(world, name) for name in ("red", "blue")}
            addresses = [item.address for item in world.instances.values()]
            violations, whole = [], 0

            async def ask(number):
                nonlocal whole
                partner = ("red", "blue")[number % 2]
                query = {"number": number}
                asked = await callers[partner].query(
                    addresses[number % 3], "parts", query
                )
                violations.extend(find_violations(asked, partner, query))
                whole += asked.status == 200

            async with trio.open_nursery() as nursery:
                for number in range(2000):
                    nursery.start_soon(ask, number)
                    await trio.sleep(0.01)
            return violations, whole

    violations, whole = run_mocked(run)
    assert not violations
    assert whole > 1900


def test_no_caller_widens_its_scope():
    async def run():
        async with open_estate() as world:
            caller = make_caller(world)
            address = world.instances["instance-0"].address
            forged = (
                (b"walkcart-scope", b"blue"),
                (b"walkcart-attempt", b"x"),
                (b"x-scope", b"blue"),
            )
            first = await caller.query(address, "parts", {"scope": "blue"}, forged)
            path = await caller.request(
                address, "POST", "/v1/services/parts/query?scope=blue", b'{"query":1}'
            )
            stranger = Caller(world.network("client"), "guess")
            refused = await stranger.query(address, "parts", 1)
            return first, path, refused

    first, path, refused = run_mocked(run)
    for asked in (first, path):
        assert {row["scope"] for row in asked.content["answer"]["rows"]} == {"red"}
    assert (refused.status, refused.verdict) == (401, "not_run")


def test_refused_questions_ran_at_no_leaf():
    async def run():
        async with open_estate(intent="deadline = 1.0\nqueries_in_progress = 2\n") as w:
            caller = make_caller(w)
            address = w.instances["instance-0"].address
            refused = []

            async def ask(number):
                asked = await caller.query(address, "parts", {"number": number})
                if asked.verdict == "not_run":
                    refused.append((number, asked))

            async with trio.open_nursery() as nursery:
                for number in range(400):
                    nursery.start_soon(ask, number)
                    await trio.sleep(0.001)
            ran = {run.body for item in w.leaves_ever for run in item.runs}
            return refused, ran

    refused, ran = run_mocked(run)
    assert refused
    for number, asked in refused:
        assert b'{"number":%d}' % number not in ran
        assert asked.status == 503
        assert asked.content["retry_after_ms"] > 0
        assert int(asked.headers[b"retry-after"]) >= 1


def test_revoked_credential_is_refused():
    async def run():
        async with open_estate() as world:
            outcome = await world.apply(make_partner("red", "new-token"))
            await world.wait_in_force(outcome.revision)
            address = world.instances["instance-0"].address
            return await make_caller(world).query(address, "parts", 1)

    assert run_mocked(run).status == 401


def test_question_refused_by_every_leaf_is_reported_as_not_run():
    async def run():
        async with open_estate() as world:
            for item in world.leaves.values():
                item.leaf.faults.shed = True
            address = world.instances["instance-0"].address
            asked = await make_caller(world).query(address, "parts", "x")
            ran = [run for item in world.leaves_ever for run in item.runs]
            return asked, [run for run in ran if run.body == b'"x"']

    asked, ran = run_mocked(run)
    assert not ran
    assert (asked.status, asked.verdict) == (503, "not_run")
    assert asked.content["retry_after_ms"] == 1000
