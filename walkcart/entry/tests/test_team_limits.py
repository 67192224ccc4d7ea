"""Teams' rate limits over several instances: usual load, overload, changed limits."""

from datetime import timedelta

import pytest
import trio

from walkcart.entry.tests.quotafleet import BOUNDS, REGIONS
from walkcart.entry.tests.quotascenarios import (
    FREE,
    LARGE,
    USUAL,
    check_served,
    run_scenario,
    send_usual_load,
)
from walkcart.intent.teams import RateLimit
from walkcart.routing.quotas import (
    DEPTH_FRACTION,
    MAX_SHARES,
    MAX_STARTS,
    START_FRACTION,
)
from walkcart.wire.verdicts import Reason


@pytest.mark.parametrize("count", [7, 72, 300])
def test_usual_load_is_not_refused_and_makes_few_store_calls(count):
    async def act(fleet):
        store = fleet.store
        accountants = [fleet.find_accountant(share) for share in range(MAX_SHARES)]
        assert {member.region for member in accountants} == set(REGIONS)
        writes, reads = store.writes, store.reads
        store.renewals = 0
        await send_usual_load(fleet, 20)
        check_served(fleet)
        assert not fleet.refused["large"]
        # One write for each share, which records that it has been held for long.
        assert store.writes - writes <= MAX_SHARES
        assert store.reads == reads
        assert store.renewals <= MAX_SHARES * 21
        # An accountant in the instance's own region answers within a few ms.
        waits = sorted(fleet.waits)
        assert waits[len(waits) // 2] < 0.006

    run_scenario(act, count)


def test_nothing_is_stored_or_sent_if_no_team_has_a_limit():
    async def act(fleet):
        before = [m.metrics.read("peer.sent") for m in fleet.members]
        await fleet.send("free", 50.0, 10)
        store = fleet.store
        assert store.writes == store.reads == store.renewals == 0
        assert [m.metrics.read("peer.sent") for m in fleet.members] == before
        assert not fleet.refused["free"]

    run_scenario(act, teams=(FREE,))


def test_removing_all_limits_ends_the_calls_to_the_store():
    async def act(fleet):
        fleet.change_limit("large", None)
        fleet.change_limit("small", None)
        await trio.sleep(10)
        assert not any(member.held() for member in fleet.members)
        before = fleet.store.renewals
        await trio.sleep(10)
        assert fleet.store.renewals == before
        fleet.store.expire()
        assert not fleet.store.items

    run_scenario(act)


@pytest.mark.parametrize("count", [1, 2, 9])
def test_team_above_its_limit_gets_all_of_it_through_any_number_of_instances(count):
    async def act(fleet):
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            some = fleet.members[:count]
            rate = 12.0 * USUAL * 8
            nursery.start_soon(fleet.send, "large", rate, 30, some)
            nursery.start_soon(fleet.send, "small", 0.5, 30)
        fleet.check_windows("large", LARGE.limit)
        assert not fleet.refused["small"]
        served = len(fleet.admitted["large"])
        taken = trio.current_time() - start
        assert 0.93 * 12.0 * taken <= served
        for _, refusal in fleet.refused["large"]:
            assert refusal.reason is Reason.RATE_LIMITED
            assert timedelta() < refusal.retry_after < timedelta(seconds=8)
        # Most refusals are decided from what the instance knows, without a call.
        asked = sum(m.metrics.read("quota.asked") for m in fleet.members)
        assert asked < 4 * (served + len(fleet.refused["large"]))

    run_scenario(act)


def test_request_that_came_before_a_change_does_not_restore_the_old_limit():
    low = RateLimit(2.0, 1.0)

    async def act(fleet):
        former = fleet.teams["large"]
        fleet.change_limit("large", low)
        member = fleet.members[0]
        start = trio.current_time()
        while trio.current_time() < start + 10:
            # Admitted under the former document, asked for under the new one.
            if await member.limits.admit(former, 1.0) is None:
                fleet.admitted["large"].append(trio.current_time())
            await trio.sleep(0.02)
        fleet.check_windows("large", low, since=start + 1.0)

    run_scenario(act)


def test_lowered_limit_takes_effect_within_a_second_and_a_window():
    low = RateLimit(2.0, 1.0)

    async def act(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send, "large", 60.0, 25)
            await trio.sleep(8)
            fleet.change_limit("large", low)
            changed_at = trio.current_time()
        fleet.check_windows("large", LARGE.limit)
        fleet.check_windows("large", low, since=changed_at + 1.0)

    run_scenario(act)


def test_bounds_leave_a_reserve_for_the_delivery_to_the_leaves():
    # The scenarios above check the times of admission. Requests reach the leaves later,
    # so the bounds need a reserve.
    limit = LARGE.limit
    used = limit.rate * BOUNDS.window + limit.burst
    used += BOUNDS.slack * (DEPTH_FRACTION + MAX_STARTS * START_FRACTION)
    used += limit.rate * 0.75 * BOUNDS.tolerance * BOUNDS.window
    assert used + BOUNDS.slack / 6 <= BOUNDS.max_requests(limit)
