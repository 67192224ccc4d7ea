"""The upper bound on a message's age holds for any clocks and network delays."""

from hypothesis import given, settings
from hypothesis import strategies as st

from walkcart.membership.messageages import ClockReadings, Stamp
from walkcart.wire.codec import decode_envelope, encode_envelope
from walkcart.wire.figures import MAX_FIGURE
from walkcart.wire.messages import Envelope

DELAYS = st.floats(0.0, 5.0)


@settings(deadline=None)
@given(
    st.lists(
        st.tuples(st.floats(0.001, 30.0), DELAYS, DELAYS, st.booleans()), max_size=20
    ),
    st.floats(-1000.0, 1000.0),
    st.floats(-1e-4, 1e-4),
    DELAYS,
)
def test_age_is_never_underestimated(exchanges, ahead, drift, delay):
    """The clocks of two machines differ and drift, and message delays vary."""

    def read_other_clock(time):
        return ahead + time * (1.0 + drift)

    own, other = ClockReadings("own"), ClockReadings("other")
    now = 0.0
    for pause, delay_there, delay_back, is_answered in exchanges:
        now += pause
        stamp = own.make_stamp("other", now)
        now += delay_there
        other.record_stamp("own", stamp, read_other_clock(now))
        if is_answered:
            stamp = other.make_stamp("own", read_other_clock(now))
            now += delay_back
            own.record_stamp("other", stamp, now)
    stamp = own.make_stamp("other", now)
    age = other.find_age(stamp, read_other_clock(now + delay))
    assert age >= delay * (1.0 - 1e-4) - 1e-6


def test_age_is_known_within_one_delay_after_one_exchange():
    own, other = ClockReadings("own"), ClockReadings("other")
    own.record_stamp("other", other.make_stamp("own", 500.0), 10.008)
    age = other.find_age(own.make_stamp("other", 12.0), 502.0)
    assert 0.008 <= age < 0.0090 + 0.008


def test_age_is_unknown_to_a_new_process():
    own, former, new = (ClockReadings(name) for name in ("own", "former", "new"))
    own.record_stamp("other", former.make_stamp("own", 500.0), 10.0)
    assert new.find_age(own.make_stamp("other", 12.0), 0.5) == float("inf")
    own.record_stamp("other", new.make_stamp("own", 0.6), 12.5)
    assert new.find_age(own.make_stamp("other", 13.0), 1.2) < 0.2


@given(st.floats(-MAX_FIGURE, MAX_FIGURE), st.floats(0.0, 1e9), st.booleans())
def test_extreme_reading_of_a_peer_leaves_envelopes_to_it_readable(
    sent_at, elapsed, is_known
):
    """Any program can send a reading at the bound; it was sent back beyond it."""
    own = ClockReadings("own")
    if is_known:
        own.record_stamp("other", Stamp("other", 500.0), 10.0)
    own.record_stamp("other", Stamp("other", sent_at), 11.0)
    stamp = own.make_stamp("other", 12.0 + elapsed)
    envelope = Envelope(
        "own",
        0,
        "",
        0,
        (),
        stamp.life,
        stamp.sent_at,
        stamp.to_life,
        stamp.least_reading,
    )
    assert decode_envelope(encode_envelope(envelope)) == envelope
