"""Tests of the choice of the instance that gathers a group."""

from walkcart.routing.peerchoice import SWITCH_FACTOR, PeerStats
from walkcart.routing.shares import rank_by_weight

#: Processor time of a group of 24 parts, in seconds, with 2.15 cores and with 0.5.
LARGE, SMALL = 0.0067, 0.028


def make_stats(**times):
    stats = PeerStats()
    for name, time in times.items():
        for _ in range(5):
            stats.record_answer(name, 1.0, time)
    return stats


def choose(stats, names, **work):
    return stats.choose(names, 1.0, work or dict.fromkeys(names, 0.0))


def test_the_first_peer_keeps_a_group_while_others_are_about_as_fast():
    stats = make_stats(first=0.06, other=0.06 / SWITCH_FACTOR + 0.001)
    assert choose(stats, ["first", "other"]) == "first"


def test_a_peer_that_takes_much_longer_loses_the_group():
    stats = make_stats(first=0.1, other=0.05)
    assert choose(stats, ["first", "other"]) == "other"


def test_a_small_machine_is_avoided_though_its_answers_take_equally_long():
    stats = make_stats(small=0.06, large=0.06)
    names = ["small", "large"]
    assert choose(stats, names, small=SMALL, large=LARGE) == "large"


def test_a_large_machine_with_many_questions_in_progress_loses_the_next():
    stats = make_stats(small=0.06, large=0.06)
    for _ in range(12):
        stats.record_sent("large", 1.0)
    assert choose(stats, ["large", "small"], small=SMALL, large=LARGE) == "small"


def test_groups_are_spread_by_cores():
    cores = {"a": 2.15, "b": 2.15, "c": 0.516, "d": 0.516}
    firsts = [
        min(cores, key=lambda name: rank_by_weight(key, name, cores[name]))
        for key in map(str, range(2000))
    ]
    share = sum(cores[name] > 1 for name in firsts) / len(firsts)
    assert abs(share - 4.3 / 5.332) < 0.03


def test_a_silent_peer_is_greeted_and_used_again_once_it_was_heard_from():
    stats = make_stats(first=0.06, other=0.06)
    names = ["first", "other"]
    stats.record_timeout("first", 1.0)
    assert choose(stats, names) == "other"
    assert stats.find_peers_to_greet(names, 1.4) == []
    assert stats.find_peers_to_greet(names, 1.6) == ["first"]
    assert stats.find_peers_to_greet(names, 1.7) == []
    assert stats.choose(names, 60.0, dict.fromkeys(names, 0.0)) == "other"
    stats.record_greeting("first")
    assert stats.choose(names, 60.0, dict.fromkeys(names, 0.0)) == "first"
    assert stats.find_peers_to_greet(names, 60.0) == []


def test_a_late_answer_shows_that_a_peer_is_back():
    stats = make_stats(first=0.06)
    stats.record_timeout("first", 1.0)
    stats.record_answer("first", 1.2, 0.3)
    assert choose(stats, ["first"]) is None
    assert stats.choose(["first"], 1.6, {"first": 0.0}) == "first"
