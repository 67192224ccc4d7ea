"""Attempts that one question may send after leaves crashed under it."""

from walkcart.fanout.crashwatch import CrashWatch


def test_one_crash_changes_nothing():
    watch = CrashWatch(services=20)
    watch.record_ended("a")
    assert not watch.is_sequential
    assert watch.may_send("a")
    assert watch.count_strikes() == 1


def test_after_two_crashes_without_an_answer_one_leaf_is_asked_at_a_time():
    watch = CrashWatch(services=20)
    watch.record_ended("a")
    watch.record_ended("b")
    assert watch.may_send("a")
    watch.record_sent("a")
    assert not watch.may_send("b")
    watch.record_failed("a")
    assert watch.may_send("b")


def test_a_crash_of_the_only_leaf_asked_stops_the_question():
    watch = CrashWatch(services=20)
    for name in "abc":
        watch.record_ended(name)
    watch.record_sent("a")
    watch.record_ended("d")
    assert not watch.is_stopped
    watch.record_ended("a")
    assert watch.is_stopped
    assert not watch.may_send("b")
    assert watch.count_strikes() == 2


def test_any_answer_ends_the_sequential_mode():
    watch = CrashWatch(services=20)
    for name in "abc":
        watch.record_ended(name)
    watch.record_sent("a")
    watch.record_answer()
    assert watch.may_send("b")
    watch.record_ended("b")
    watch.record_ended("c")
    assert not watch.is_sequential
    assert watch.count_strikes() == 0


def test_a_careful_question_stops_when_its_first_leaf_crashes():
    watch = CrashWatch(services=20, careful=True)
    assert watch.may_send("a")
    watch.record_sent("a")
    assert not watch.may_send("b")
    watch.record_ended("a")
    assert watch.is_stopped
    assert watch.count_strikes() == 1


def test_each_crash_counts_for_a_request_to_a_single_service():
    watch = CrashWatch(services=1)
    watch.record_ended("a")
    assert not watch.is_sequential
    watch.record_ended("a")
    assert watch.count_strikes() == 2


def test_attempts_under_way_together_count_as_one_crash():
    """Both leaves of a request and of its hedge crash at the same moment."""
    watch = CrashWatch(services=1)
    watch.record_ended("a", sent_at=1.0, now=2.0, leaf="one")
    watch.record_ended("a", sent_at=1.5, now=2.0, leaf="two")
    assert watch.count_strikes() == 1
    watch.record_ended("a", sent_at=2.0, now=2.1, leaf="three")
    assert watch.count_strikes() == 2
    assert watch.last_leaf == "three"


def test_a_group_that_another_instance_refused_counts_no_further_crash():
    watch = CrashWatch(services=20)
    watch.record_ended("a")
    watch.record_refused(has_crashed=False, peer="other")
    assert watch.is_stopped
    assert watch.count_strikes() == 1
    watch.record_refused(has_crashed=True, peer="other")
    assert watch.count_strikes() == 2
