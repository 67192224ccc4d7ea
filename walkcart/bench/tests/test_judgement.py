"""What a run of the demo comes to, from recorded outcomes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from walkcart.bench.judgement import PROMISES, Record, judge_run


def test_a_run_without_failures_passes():
    assert judge_run(Record(answers=168)).passed


@pytest.mark.parametrize("failures", [1, 2, 3])
def test_a_few_truthful_failures_under_a_killed_leaf_break_no_promise(failures):
    # So many were seen in runs that failed for them.
    assert judge_run(Record(168 - failures, failures)).passed


def test_a_share_of_failures_that_a_user_would_call_broken_fails():
    judgement = judge_run(Record(answers=145, failures=23))
    assert not judgement.passed
    assert "23 of 168" in judgement.complaints[0]


def test_a_run_without_any_answer_fails():
    assert not judge_run(Record(answers=0)).passed
    assert not judge_run(Record(answers=0, failures=40)).passed


@pytest.mark.parametrize("promise", list(PROMISES))
def test_each_broken_promise_fails(promise):
    assert not judge_run(Record(168, broken={promise: 1})).passed


@given(
    st.integers(0, 300),
    st.integers(0, 300),
    st.integers(0, 50),
    st.dictionaries(st.sampled_from(list(PROMISES)), st.integers(0, 3)),
)
def test_a_worse_run_never_passes_where_a_better_one_fails(
    answers, failures, more, broken
):
    better = judge_run(Record(answers + more, failures, broken))
    worse = judge_run(Record(answers, failures + more, broken))
    assert better.passed or not worse.passed
