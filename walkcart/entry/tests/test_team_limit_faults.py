"""Teams' rate limits over several instances, with one failure each, and many."""

from datetime import timedelta

import pytest
import trio

from walkcart.entry.tests.quotaplays import (
    LARGE,
    SMALL,
    check_served,
    play,
    send_usual,
    watch_shares,
)
from walkcart.routing.quotas import MAX_SHARES
from walkcart.wire.verdicts import Reason


def test_a_killed_accountants_share_is_taken_and_little_is_refused():
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_usual, fleet, 30)
            await trio.sleep(5)
            killed = fleet.find_accountant(0)
            killed.kill()
            await trio.sleep(11)
            assert fleet.find_accountant(0) not in (None, killed)
        check_served(fleet)

    play(act)


def test_a_restarted_accountant_takes_its_share_back_at_once():
    async def act(fleet):
        member = fleet.find_accountant(1)
        member.kill()
        await trio.sleep(1)
        await member.start(fleet.nursery)
        await trio.sleep(0.1)
        assert fleet.find_accountant(1) is member

    play(act)


def test_after_all_ended_small_teams_are_served_at_once():
    async def act(fleet):
        for member in fleet.members:
            member.kill()
        await trio.sleep(1)
        for member in fleet.members:
            await member.start(fleet.nursery)
        await trio.sleep(0.1)
        for number in range(3):
            assert await fleet.request(fleet.members[number], "small") is None

    play(act)


def test_a_request_whose_time_is_over_between_two_asks_is_refused():
    async def act(fleet):
        member = next(m for m in fleet.members if not m.held())
        fleet.cut(member)
        refusals = []

        async def ask():
            refusals.append(await member.limits.admit(LARGE, 0.05))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            # A busy processor: the first ask's wait ends long after the deadline.
            await trio.sleep(0.01)
            member.clock.skipped += 1.0
        assert [refusal.reason for refusal in refusals] == [Reason.LIMIT_UNKNOWN]

    play(act)


def test_a_planned_stop_hands_the_share_on_at_once():
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_usual, fleet, 15)
            await trio.sleep(5)
            member = fleet.find_accountant(2)
            await member.stop()
            await trio.sleep(0.1)
            assert fleet.find_accountant(2) not in (None, member)
        check_served(fleet)

    play(act)


def test_a_store_that_is_down_for_some_seconds_changes_nothing():
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_usual, fleet, 20)
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

    play(act)


def test_an_accountant_that_the_store_turns_away_ends_before_another_begins():
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_usual, fleet, 25)
            await trio.sleep(5)
            member = fleet.find_accountant(0)
            fleet.store.turned_away.add(member.name)
            await trio.sleep(11)
            assert fleet.find_accountant(0) not in (None, member)
        check_served(fleet)

    play(act)


def test_accountants_that_the_store_turns_away_hand_their_shares_on():
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_usual, fleet, 20)
            await trio.sleep(5)
            before = [fleet.find_accountant(share) for share in range(4)]
            fleet.store.turned_away |= {member.name for member in before}
            # Three seconds and a look until it is offered, a look until it is tried.
            await trio.sleep(4.5)
            after = [fleet.find_accountant(share) for share in range(4)]
            assert None not in after
            assert not set(after) & set(before)
            reads = fleet.store.reads
            await trio.sleep(5)
            # Those that asked and didn't get one look for it no longer.
            assert fleet.store.reads == reads
        check_served(fleet)
        assert not fleet.refused["large"]

    play(act, 24)


def test_a_store_that_is_down_for_long_ends_in_refusals_that_say_so():
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

    play(act)


def test_a_suspended_accountant_grants_nothing_when_it_wakes():
    async def act(fleet):
        member = fleet.find_accountant(0)
        # The others have taken the share meanwhile; its tasks haven't run yet.
        member.clock.skipped += 60.0
        assert member.shares.find_account(0) is None

    play(act)


def test_an_instance_that_is_cut_off_lets_nothing_run():
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

    play(act)


def test_a_silent_link_to_the_near_accountant_costs_a_moment_and_no_refusal():
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
        # It is left out for a while each time: most requests don't wait for it.
        assert waits[len(waits) // 2] < 0.05

    play(act)


def test_all_instances_at_once_start_anew_within_the_bound():
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

    play(act)


@pytest.mark.parametrize("seed", range(4))
def test_any_troubles_together_keep_the_bound(seed):
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send, "large", 40.0, 40)
            nursery.start_soon(fleet.send, "small", 6.0, 40)
            nursery.start_soon(watch_shares, fleet, 40)
            until = trio.current_time() + 38
            while trio.current_time() < until:
                await trio.sleep(fleet.random.uniform(0.1, 3.0))
                await trouble(fleet)
        fleet.check_windows("large", LARGE.limit)
        fleet.check_windows("small", SMALL.limit)

    play(act, seed=seed)


async def trouble(fleet):
    """Bring one trouble about, of the accountants more often than of others."""
    holders = [member for member in fleet.members if member.held()]
    member = fleet.random.choice([*fleet.members, *holders, *holders])
    gone = member.scope.cancel_called
    match fleet.random.choice(["kill", "stop", "cut", "heal", "away", "back", "down"]):
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
        case "away":
            fleet.store.turned_away.add(member.name)
        case "back":
            fleet.store.turned_away.clear()
        case _:
            fleet.store.silent = not fleet.store.silent
