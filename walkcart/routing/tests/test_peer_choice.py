"""Which instance gathers a group."""

from walkcart.routing.peerchoice import SWITCH_FACTOR, PeerStats
from walkcart.routing.shares import rank_by_weight

#: Seconds of processor for a group of 24 parts, at 2.15 cores and at 0.5.
LARGE, SMALL = 0.0067, 0.028


def make_accounts(**times):
    accounts = PeerStats()
    for name, time in times.items():
        for _ in range(5):
            accounts.record_answer(name, 1.0, time)
    return accounts


def choose(accounts, names, **work):
    return accounts.choose(names, 1.0, work or dict.fromkeys(names, 0.0))


def test_the_first_one_keeps_a_group_while_others_are_about_as_fast():
    accounts = make_accounts(first=0.06, other=0.06 / SWITCH_FACTOR + 0.001)
    assert choose(accounts, ["first", "other"]) == "first"


def test_one_that_takes_much_longer_loses_the_group():
    accounts = make_accounts(first=0.1, other=0.05)
    assert choose(accounts, ["first", "other"]) == "other"


def test_a_small_machine_is_spared_though_most_answers_take_as_long_there():
    accounts = make_accounts(small=0.06, large=0.06)
    names = ["small", "large"]
    assert choose(accounts, names, small=SMALL, large=LARGE) == "large"


def test_a_large_machine_with_many_questions_in_progress_loses_the_next():
    accounts = make_accounts(small=0.06, large=0.06)
    for _ in range(12):
        accounts.record_sent("large", 1.0)
    assert choose(accounts, ["large", "small"], small=SMALL, large=LARGE) == "small"


def test_groups_are_spread_by_cores():
    cores = {"a": 2.15, "b": 2.15, "c": 0.516, "d": 0.516}
    firsts = [
        min(cores, key=lambda name: rank_by_weight(key, name, cores[name]))
        for key in map(str, range(2000))
    ]
    share = sum(cores[name] > 1 for name in firsts) / len(firsts)
    assert abs(share - 4.3 / 5.332) < 0.03


def test_one_that_stayed_silent_is_greeted_and_asked_again_once_it_was_heard_of():
    accounts = make_accounts(first=0.06, other=0.06)
    names = ["first", "other"]
    accounts.record_timeout("first", 1.0)
    assert choose(accounts, names) == "other"
    assert accounts.find_peers_to_greet(names, 1.4) == []
    assert accounts.find_peers_to_greet(names, 1.6) == ["first"]
    assert accounts.find_peers_to_greet(names, 1.7) == []
    assert accounts.choose(names, 60.0, dict.fromkeys(names, 0.0)) == "other"
    accounts.record_greeting("first")
    assert accounts.choose(names, 60.0, dict.fromkeys(names, 0.0)) == "first"
    assert accounts.find_peers_to_greet(names, 60.0) == []


def test_an_answer_that_comes_late_shows_that_an_instance_is_back():
    accounts = make_accounts(first=0.06)
    accounts.record_timeout("first", 1.0)
    accounts.record_answer("first", 1.2, 0.3)
    assert choose(accounts, ["first"]) is None
    assert accounts.choose(["first"], 1.6, {"first": 0.0}) == "first"
