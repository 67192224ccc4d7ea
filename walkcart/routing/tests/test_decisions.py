"""Tests of the routing decisions in isolation, with plain data and a given clock."""

from random import Random

import trio
from hypothesis import given
from hypothesis import strategies as st

from walkcart.bench.harness import run_mocked
from walkcart.kernel.clock import TrioClock
from walkcart.routing.admission import Admission, AdmissionRefused
from walkcart.routing.budgets import ShareBudget
from walkcart.routing.ejection import Ejection, may_eject
from walkcart.routing.hedging import FIRST_DELAY, HedgeDelay, may_hedge
from walkcart.routing.latency import HALF_LIFE, DecayedLatency, LatencyWindow
from walkcart.routing.replicas import Candidate, ReplicaChooser


def choose(policy, *candidates):
    return ReplicaChooser(Random(1)).choose(policy, 0, candidates).key


def test_the_leaf_with_fewer_outstanding_requests_goes_first():
    busy = Candidate("busy", 2, 0.0, 0.01)
    idle = Candidate("idle", 0, 0.0, 0.01)
    assert choose("expected_wait", busy, idle) == "idle"
    assert choose("outstanding", busy, idle) == "idle"


def test_slow_leaf_is_avoided_even_when_idle():
    slow = Candidate("slow", 0, 0.0, 0.1)
    fast = Candidate("fast", 2, 0.0, 0.01)
    assert choose("expected_wait", slow, fast) == "fast"


def test_reported_load_is_capped():
    misreporting = Candidate("misreporting", 0, 1000.0, 0.01)
    slow = Candidate("slow", 0, 0.0, 0.2)
    assert choose("expected_wait", misreporting, slow) == "misreporting"


def test_a_leaf_that_reports_no_load_is_detected_by_its_latency():
    misreporting = Candidate("misreporting", 0, 0.0, 0.05)
    honest = Candidate("honest", 0, 2.0, 0.01)
    assert choose("expected_wait", misreporting, honest) == "honest"


def test_a_preferred_leaf_goes_first_until_it_is_much_slower():
    near = Candidate("near", 1, 0.0, 0.01)
    far = Candidate("far", 0, 0.0, 0.01, preferred=False)
    assert choose("expected_wait", near, far) == "near"
    overloaded = Candidate("near", 30, 0.0, 0.01)
    assert choose("expected_wait", overloaded, far) == "far"


def test_cold_leaf_gets_less():
    cold = Candidate("cold", 0, 0.0, 0.01, age=0.0)
    warm = Candidate("warm", 1, 0.0, 0.01)
    assert choose("expected_wait", cold, warm) == "warm"


def test_ejected_leaf_is_used_only_when_no_other_is_left():
    ejected = Candidate("ejected", 0, 0.0, 0.01, ejected=True)
    other = Candidate("other", 9, 0.0, 0.01)
    assert choose("expected_wait", ejected, other) == "other"
    assert choose("expected_wait", ejected) == "ejected"


def test_round_robin_takes_turns():
    chooser = ReplicaChooser(Random(1))
    leaves = [Candidate("a", 0, 0.0, 0.01), Candidate("b", 0, 0.0, 0.01)]
    turns = [chooser.choose("round_robin", 0, leaves).key for _ in range(4)]
    assert turns == ["a", "b", "a", "b"]


@given(st.lists(st.tuples(st.integers(1, 50), st.integers(0, 20)), max_size=60))
def test_extra_requests_stay_within_their_budget(history):
    budget = ShareBudget(burst=5.0)
    tries = taken = 0
    for earned, wanted in history:
        budget.earn(earned, 0.1)
        tries += earned
        taken += sum(budget.try_spend() for _ in range(wanted))
    assert taken <= 5 + tries * 0.1 + 1e-6


def test_latency_decays():
    latency = DecayedLatency()
    latency.observe(0.0, 1.0)
    assert latency.estimate(0.0, 0.01) == 1.0
    assert latency.estimate(20 * HALF_LIFE, 0.01) < 0.011


def test_window_gives_quantiles():
    window = LatencyWindow()
    for number in range(1, 101):
        window.observe(number / 100)
    assert window.quantile(1.0, 0.9) == 0.91
    assert window.quantile(1.0, 0.5) == 0.51


def test_hedge_delay_is_learned_and_stops_when_the_group_is_slow():
    delay = HedgeDelay()
    assert delay.current(0.0) == FIRST_DELAY
    for number in range(600):
        delay.observe(number / 100, 0.008)
    assert delay.current(6.0) == 0.016
    assert not delay.is_group_slow(6.0)
    for number in range(600):
        delay.observe(6 + number / 100, 0.020)
    assert delay.is_group_slow(12.0)


def test_only_few_late_shards_are_hedged():
    assert may_hedge(20, 2)
    assert may_hedge(20, 6)
    assert not may_hedge(20, 10)
    assert may_hedge(1, 1)


def test_ejection_follows_consecutive_failures_and_ends_by_itself():
    ejection = Ejection()
    assert not ejection.record_failure(0.0, True)
    assert not ejection.record_failure(0.0, True)
    assert ejection.record_failure(0.0, True)
    assert ejection.is_ejected(0.5)
    assert not ejection.is_ejected(1.5)
    assert ejection.record_success()


def test_only_a_share_of_a_group_is_ejected():
    assert may_eject(40, 11)
    assert not may_eject(40, 12)
    assert may_eject(2, 0)
    assert not may_eject(2, 1)


def serve(arrivals, slots=4, service=0.05, seconds=20.0):
    """Run arrivals through an admission; return the served counts and refusals.

    Args:
        arrivals: requests per second by partner.
        slots: requests that the simulated service runs at once.
        service: service time of a request, in seconds.
        seconds: duration of the arrivals.
    """

    async def run():
        admission = Admission(TrioClock())
        slot = trio.CapacityLimiter(slots)
        served, refused = {}, []

        async def ask(partner):
            entered = await admission.admit(partner, 1.0, 64, 1.0)
            if isinstance(entered, AdmissionRefused):
                refused.append(entered.retry_after)
                return
            start = trio.current_time()
            async with slot:
                await trio.sleep(service)
            admission.release(partner, trio.current_time() - start)
            served[partner] = served.get(partner, 0) + 1

        async def arrive(nursery, partner, rate):
            for _ in range(int(rate * seconds)):
                nursery.start_soon(ask, partner)
                await trio.sleep(1 / rate)

        async with trio.open_nursery() as nursery:
            for partner, rate in arrivals.items():
                nursery.start_soon(arrive, nursery, partner, rate)
        return served, refused

    return run_mocked(run)


def test_overload_is_refused_early_with_a_retry_time():
    served, refused = serve({"red": 400})
    assert refused
    assert all(wait.total_seconds() > 0 for wait in refused)
    # Four slots of 50 ms make 80 a second.
    assert served["red"] >= 0.9 * 80 * 20


def test_no_partner_starves_another():
    served, _ = serve({"greedy": 400, "modest": 30})
    assert served["modest"] >= 0.9 * 30 * 20


def test_unloaded_service_refuses_nothing():
    served, refused = serve({"red": 20})
    assert not refused
    assert served["red"] == 400
