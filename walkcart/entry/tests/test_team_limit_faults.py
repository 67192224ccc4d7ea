"""Teams' rate limits over several instances, with single and combined failures."""

from datetime import timedelta

import pytest
import trio

from walkcart.entry.tests.quotascenarios import (
    LARGE,
    SMALL,
    check_served,
    check_shares_repeatedly,
    run_scenario,
    send_usual_load,
)
from walkcart.routing.quotas import MAX_SHARES
from walkcart.wire.verdicts import Reason


def test_share_of_a_killed_accountant_is_taken_over_and_few_requests_are_refused():
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_usual_load, fleet, 30)
            await trio.sleep(5)
            killed = fleet.find_accountant(0)
            killed.kill()
            await trio.sleep(11)
            assert fleet.find_accountant(0) not in (None, killed)
        check_served(fleet)

    run_scenario(act)


def test_restarted_accountant_takes_its_share_back_at_once():
    async def act(fleet):
        member = fleet.find_accountant(1)
        member.kill()
        await trio.sleep(1)
        await member.start(fleet.nursery)
        await trio.sleep(0.1)
        assert fleet.find_accountant(1) is member

    run_scenario(act)


def test_small_team_is_served_at_once_after_all_instances_restarted():
    async def act(fleet):
        for member in fleet.members:
            member.kill()
        await trio.sleep(1)
        for member in fleet.members:
            await member.start(fleet.nursery)
        await trio.sleep(0.1)
        for number in range(3):
            assert await fleet.request(fleet.members[number], "small") is None

    run_scenario(act)


def test_request_whose_deadline_passes_between_two_asks_is_refused():
    async def act(fleet):
        member = next(m for m in fleet.members if not m.held())
        fleet.cut(member)
        refusals = []

        async def ask():
            refusals.append(await member.limits.admit(LARGE, 0.05))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            # As on a busy processor: the first ask's wait ends long after the deadline.
            await trio.sleep(0.01)
            member.clock.skipped += 1.0
        assert [refusal.reason for refusal in refusals] == [Reason.LIMIT_UNKNOWN]

    run_scenario(act)


def test_planned_stop_hands_over_the_share_at_once():
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_usual_load, fleet, 15)
            await trio.sleep(5)
            member = fleet.find_accountant(2)
            await member.stop()
            await trio.sleep(0.1)
            assert fleet.find_accountant(2) not in (None, member)
        check_served(fleet)

    run_scenario(act)


def test_store_outage_of_five_seconds_changes_nothing():
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_usual_load, fleet, 20)
            await trio.sleep(5)
            before = [fleet.find_accountant(share) for share in range(MAX_SHARES)]
            fleet.store.silent = True
            await trio.sleep(5)
            fleet.store.silent = False
            await trio.sleep(1)
            after = [fleet.find_accountant(share) for share in range(MAX_SHARES)]
            assert after == before
        check_served(fleet)
        assert not fleet.refused["large"]

    run_scenario(act)


def test_accountant_that_the_store_refuses_ends_before_another_begins():
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_usual_load, fleet, 25)
            await trio.sleep(5)
            member = fleet.find_accountant(0)
            fleet.store.refused_instances.add(member.name)
            await trio.sleep(11)
            assert fleet.find_accountant(0) not in (None, member)
        check_served(fleet)

    run_scenario(act)


def test_accountants_that_the_store_refuses_hand_over_their_shares():
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_usual_load, fleet, 20)
            await trio.sleep(5)
            before = [fleet.find_accountant(share) for share in range(4)]
            fleet.store.refused_instances |= {member.name for member in before}
            # A share is offered after three seconds and one check interval, and another
            # instance tries to take it at its next check.
            await trio.sleep(4.5)
            after = [fleet.find_accountant(share) for share in range(4)]
            assert None not in after
            assert not set(after) & set(before)
            reads = fleet.store.reads
            await trio.sleep(5)
            # Instances that tried to take a share and lost don't read for it any more.
            assert fleet.store.reads == reads
        check_served(fleet)
        assert not fleet.refused["large"]

    run_scenario(act, 24)


def test_long_store_outage_ends_in_refusals_with_that_reason():
    async def act(fleet):
        fleet.store.silent = True
        await trio.sleep(12)
        await fleet.send("large", 10.0, 3)
        assert not fleet.admitted["large"]
        reasons = {refusal.reason for _, refusal in fleet.refused["large"]}
        assert reasons == {Reason.LIMIT_UNKNOWN}
        fleet.store.silent = False
        await trio.sleep(4)
        assert all(fleet.find_accountant(share) for share in range(MAX_SHARES))

    run_scenario(act)


def test_suspended_accountant_grants_nothing_when_it_resumes():
    async def act(fleet):
        member = fleet.find_accountant(0)
        # Meanwhile the others have taken its share, and its own tasks haven't run yet.
        member.clock.skipped += 60.0
        assert member.shares.find_account(0) is None

    run_scenario(act)


def test_partitioned_instance_admits_nothing():
    async def act(fleet):
        member = next(m for m in fleet.members if not m.held())
        fleet.cut(member)
        for _ in range(20):
            refusal = await fleet.request(member, "large")
            assert refusal.reason is Reason.LIMIT_UNKNOWN
            assert refusal.retry_after <= timedelta(seconds=1)
            await trio.sleep(0.1)
        fleet.heal(member)
        await trio.sleep(3)
        assert await fleet.request(member, "large") is None

    run_scenario(act)


def test_broken_link_to_the_nearest_accountant_causes_short_waits_and_no_refusal():
    async def act(fleet):
        near = fleet.find_accountant(0)
        member = next(
            m for m in fleet.members if m.region == near.region and not m.held()
        )
        fleet.cut(member, [near])
        for _ in range(30):
            assert await fleet.request(member, "large") is None
            await trio.sleep(0.2)
        waits = sorted(fleet.waits)
        assert waits[-1] < 0.3
        # After a timeout it isn't asked for a while: most requests don't wait for it.
        assert waits[len(waits) // 2] < 0.05

    run_scenario(act)


def test_restarts_of_all_instances_at_once_keep_the_bound():
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send, "large", 100.0, 30)
            for _ in range(4):
                await trio.sleep(3.5)
                for member in fleet.members:
                    member.kill()
                await trio.sleep(0.2)
                for member in fleet.members:
                    await member.start(fleet.nursery)
        fleet.check_windows("large", LARGE.limit)

    run_scenario(act)


@pytest.mark.parametrize("seed", range(4))
def test_combined_failures_keep_the_bound(seed):
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send, "large", 40.0, 40)
            nursery.start_soon(fleet.send, "small", 6.0, 40)
            nursery.start_soon(check_shares_repeatedly, fleet, 40)
            until = trio.current_time() + 38
            while trio.current_time() < until:
                await trio.sleep(fleet.random.uniform(0.1, 3.0))
                await inject_failure(fleet)
        fleet.check_windows("large", LARGE.limit)
        fleet.check_windows("small", SMALL.limit)

    run_scenario(act, seed=seed)


async def inject_failure(fleet):
    """Inject or end one random failure, more often of an accountant than of others."""
    holders = [member for member in fleet.members if member.held()]
    member = fleet.random.choice([*fleet.members, *holders, *holders])
    gone = member.scope.cancel_called
    match fleet.random.choice(
        ["kill", "stop", "cut", "heal", "refuse", "accept", "down"]
    ):
        case "kill" | "stop" if gone:
            await member.start(fleet.nursery)
        case "kill":
            member.kill()
        case "stop":
            await member.stop()
        case "cut":
            others = fleet.random.sample(fleet.members, 4)
            fleet.cut(member, others)
        case "heal":
            for each in fleet.members:
                fleet.heal(each)
        case "refuse":
            fleet.store.refused_instances.add(member.name)
        case "accept":
            fleet.store.refused_instances.clear()
        case _:
            fleet.store.silent = not fleet.store.silent
