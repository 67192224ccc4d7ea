"""Keys and teams that are added, removed or moved, also during requests and outages."""

import pytest
import trio

from walkcart.platform.tests.platformworld import make_key_headers, make_team
from walkcart.platform.tests.teamworld import (
    DATA_CENTRES,
    FITTERS,
    IN_FORCE_TIME,
    RIDERS,
    ROUTES,
    TEAMS,
    ask_all,
    list_arrived_requests,
    list_team_headers,
    with_teams,
)


def test_key_changes_are_in_force_within_a_second_at_every_instance():
    steps = [
        ([make_team("riders", RIDERS), make_team("fitters", FITTERS, "new")], "new"),
        ([make_team("riders", RIDERS), make_team("fitters", FITTERS)], "new"),
        ([make_team("riders"), make_team("fitters", FITTERS)], RIDERS),
        ([make_team("fitters", FITTERS)], RIDERS),
        ([make_team("fitters", FITTERS, RIDERS)], RIDERS),
        (TEAMS, RIDERS),
        (None, "anything"),
        (TEAMS, "anything"),
    ]
    allowed = [True, False, False, False, True, True, True, False]

    async def act(world):
        seen = []
        for teams, key in steps:
            world.configure(*ROUTES, teams=teams)
            await trio.sleep(IN_FORCE_TIME)
            seen.append(await ask_all(world, key))
        return seen

    seen = with_teams(act)
    assert seen == [[200 if may else 401] * 3 for may in allowed]


def test_moved_key_belongs_to_its_new_team():
    async def act(world):
        world.configure(*ROUTES, teams=[make_team("fitters", RIDERS, FITTERS)])
        await trio.sleep(IN_FORCE_TIME)
        assert await ask_all(world, RIDERS, "/all/x") == [200] * 3
        return list_arrived_requests(world)

    assert list_team_headers(with_teams(act)) == {((b"fitters",), False)}


@pytest.mark.parametrize(
    "teams",
    [
        [TEAMS[1]],
        [make_team("riders"), TEAMS[1]],
        [make_team("riders", "other"), make_team("fitters", RIDERS)],
    ],
)
@pytest.mark.parametrize("path", ["/one/x", "/all/x"])
def test_no_new_attempt_starts_for_a_request_whose_key_was_removed(teams, path):
    async def act(world):
        for leaf in world.leafs.values():
            leaf.faults.delay, leaf.faults.drop = 1.5, True
        replies = []

        async def ask(name):
            headers = make_key_headers(RIDERS)
            reply = await world.ask(path, name, deadline_ms=6000, headers=headers)
            replies.append((reply.status, trio.current_time()))

        async with trio.open_nursery() as nursery:
            for name in DATA_CENTRES:
                nursery.start_soon(ask, name)
            await trio.sleep(0.05)
            world.configure(*ROUTES, teams=teams)
            await trio.sleep(IN_FORCE_TIME)
            before = len(list_arrived_requests(world))
            lost_at = trio.current_time() + 0.5
        return before, len(list_arrived_requests(world)), lost_at, replies

    before, after, lost_at, replies = with_teams(act)
    assert before == after > 0
    assert all(status in (502, 503, 504) for status, _ in replies)
    # Once the last attempt has failed, nothing more is awaited.
    assert all(at < lost_at + 0.5 for _, at in replies)


def test_new_key_is_asked_to_retry_at_an_instance_with_an_old_configuration():
    async def act(world):
        world.store.faults.refusal = 503
        await trio.sleep(5)
        late = [
            await world.ask("/one/x", name, headers=make_key_headers("new"))
            for name in DATA_CENTRES
        ]
        known = await ask_all(world, RIDERS)
        without = await world.ask("/one/x", "north-a")
        world.store.faults.refusal = 0
        world.configure(*ROUTES, teams=[*TEAMS, make_team("new", "new")])
        await trio.sleep(3)
        return late, known, without.status, await ask_all(world, "new")

    late, known, without, after = with_teams(act)
    assert {reply.status for reply in late} == {503}
    assert all(0 < float(reply.header(b"retry-after")) <= 0.1 for reply in late)
    assert known == [200] * 3
    assert without == 401
    assert after == [200] * 3


def test_no_key_is_rejected_before_a_configuration_is_known():
    async def act(world):
        world.store.faults.refusal = 503
        world.tenants["north-a"].scope.cancel()
        for name in ("south-a", "east-a"):
            world.network.cut("north-a", name)
        await trio.sleep(0.1)
        await world.start_instance("north-a", "north-a")
        early = [
            (await world.ask("/one/x", "north-a", headers=make_key_headers(key))).status
            for key in (RIDERS, "unknown")
        ]
        world.store.faults.refusal = 0
        await world.wait_ready("north-a")
        later = [
            (await world.ask("/one/x", "north-a", headers=make_key_headers(key))).status
            for key in (RIDERS, "unknown")
        ]
        return early, later

    assert with_teams(act) == ([503, 503], [200, 401])
