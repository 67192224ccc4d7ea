"""Assessment of demo runs from recorded outcomes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from walkcart.bench.judgement import PROMISES, Record, judge_run


def test_run_without_failures_passes():
    assert judge_run(Record(answers=168)).passed


@pytest.mark.parametrize("failures", [1, 2, 3])
def test_few_truthful_failures_pass(failures):
    # Runs with a killed leaf have that many failures and must not fail for them.
    assert judge_run(Record(168 - failures, failures)).passed


def test_large_share_of_failures_fails():
    judgement = judge_run(Record(answers=145, failures=23))
    assert not judgement.passed
    assert "23 of 168" in judgement.problems[0]


def test_run_without_answers_fails():
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
def test_worse_run_passes_only_if_better_one_passes(answers, failures, more, broken):
    better = judge_run(Record(answers + more, failures, broken))
    worse = judge_run(Record(answers, failures + more, broken))
    assert better.passed or not worse.passed
