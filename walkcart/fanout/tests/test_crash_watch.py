"""What one question may do once leafs ended under it."""

from walkcart.fanout.crashwatch import CrashWatch


def test_one_loss_changes_nothing():
    watch = CrashWatch(services=20)
    watch.record_ended("a")
    assert not watch.is_sequential
    assert watch.may_send("a")
    assert watch.count_strikes() == 1


def test_after_two_losses_without_an_answer_one_leaf_is_asked_at_a_time():
    watch = CrashWatch(services=20)
    watch.record_ended("a")
    watch.record_ended("b")
    assert watch.may_send("a")
    watch.record_sent("a")
    assert not watch.may_send("b")
    watch.record_failed("a")
    assert watch.may_send("b")


def test_a_leaf_that_was_asked_by_itself_and_ends_settles_it():
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


def test_any_answer_frees_the_question():
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


def test_a_careful_question_is_over_with_its_first_leaf():
    watch = CrashWatch(services=20, careful=True)
    assert watch.may_send("a")
    watch.record_sent("a")
    assert not watch.may_send("b")
    watch.record_ended("a")
    assert watch.is_stopped
    assert watch.count_strikes() == 1


def test_losses_of_a_request_to_one_leaf_each_count():
    watch = CrashWatch(services=1)
    watch.record_ended("a")
    assert not watch.is_sequential
    watch.record_ended("a")
    assert watch.count_strikes() == 2
