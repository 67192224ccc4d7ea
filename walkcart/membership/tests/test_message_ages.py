"""How old a message is: the bound holds whatever clocks and ways are."""

from hypothesis import given, settings
from hypothesis import strategies as st

from walkcart.membership.messageages import ClockReadings

WAYS = st.floats(0.0, 5.0)


@settings(deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.001, 30.0), WAYS, WAYS, st.booleans()), max_size=20),
    st.floats(-1000.0, 1000.0),
    st.floats(-1e-4, 1e-4),
    WAYS,
)
def test_an_age_is_never_taken_to_be_less_than_it_is(exchanges, ahead, drift, way):
    """Clocks of two machines differ, run apart, and messages take what they take."""

    def show_other(time):
        return ahead + time * (1.0 + drift)

    own, other = ClockReadings("own"), ClockReadings("other")
    now = 0.0
    for pause, there, back, comes_back in exchanges:
        now += pause
        stamp = own.make_stamp("other", now)
        now += there
        other.record_stamp("own", stamp, show_other(now))
        if comes_back:
            stamp = other.make_stamp("own", show_other(now))
            now += back
            own.record_stamp("other", stamp, now)
    stamp = own.make_stamp("other", now)
    age = other.find_age(stamp, show_other(now + way))
    assert age >= way * (1.0 - 1e-4) - 1e-6


def test_an_age_is_known_to_within_one_way_after_one_exchange():
    own, other = ClockReadings("own"), ClockReadings("other")
    own.record_stamp("other", other.make_stamp("own", 500.0), 10.008)
    age = other.find_age(own.make_stamp("other", 12.0), 502.0)
    assert 0.008 <= age < 0.0090 + 0.008


def test_a_process_that_has_just_started_knows_no_age():
    own, former, new = (ClockReadings(name) for name in ("own", "former", "new"))
    own.record_stamp("other", former.make_stamp("own", 500.0), 10.0)
    assert new.find_age(own.make_stamp("other", 12.0), 0.5) == float("inf")
    own.record_stamp("other", new.make_stamp("own", 0.6), 12.5)
    assert new.find_age(own.make_stamp("other", 13.0), 1.2) < 0.2
