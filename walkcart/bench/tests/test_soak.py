"""A few seeds of the long randomised runs; more seeds are run by hand."""

from walkcart.bench.soak import run_soak


def check(seed):
    report = run_soak(seed, 0.7)
    assert report.broken == []
    assert report.outcomes["query complete"] > 100


def test_seed_3():
    check(3)


def test_seed_7():
    # Guards against instances that open connections without a pause.
    check(7)


def test_seed_16():
    # Guards against garbage that instances pass on.
    check(16)


def test_same_seed_gives_same_run():
    first, second = run_soak(5, 0.2), run_soak(5, 0.2)
    assert first.outcomes == second.outcomes
    assert first.faults == second.faults
