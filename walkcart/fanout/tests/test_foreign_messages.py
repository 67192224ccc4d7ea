"""Messages of peers that are duplicates, of other senders or malformed.

Guards against a crash of the whole instance when two senders use the same id: the
second question replaced the first, and when the later of them ended, removing it raised
a `KeyError` that nothing caught. A cancellation or renewal by one sender also acted on
the question of the other.
"""

from io import StringIO
from types import SimpleNamespace

import msgspec
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from walkcart.bench.harness import run_mocked
from walkcart.fanout.delegationserver import (
    MAX_HISTORY,
    RENEWAL_TIMEOUT,
    DelegationServer,
)
from walkcart.fanout.mergedanswer import MergedAnswer
from walkcart.fanout.origins import RequestOrigins
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.settings import HostPort
from walkcart.membership.links import PeerLinks
from walkcart.membership.quarantinegossip import QuarantineGossip
from walkcart.routing.quarantine import MAX_ENTRIES, Quarantine
from walkcart.standins.memory import MemoryNetwork
from walkcart.wire.codec import encode_envelope
from walkcart.wire.delegations import (
    DelegatedAnswer,
    DelegatedCancel,
    DelegatedFailure,
    DelegatedQuestion,
    DelegatedRenewal,
)
from walkcart.wire.messages import Envelope
from walkcart.wire.quarantines import QuarantineEntry, QuarantineNews

#: Seconds that a question takes.
GATHER_TIME = 0.1


class EchoGathering:
    """Answers each question with its target, after `GATHER_TIME` seconds."""

    def __init__(self):
        self.begun = []
        self.fault = False

    async def gather(self, question, top, handover):
        self.begun.append(question.request.target)
        if self.fault:
            raise ValueError("a fault")
        await trio.sleep(GATHER_TIME)
        body = question.request.target.encode()
        return Success(MergedAnswer(body, (), (), 1, 0))


class Harness:
    """A server of delegations, with the messages that it sends."""

    def __init__(self, carrier, links, gathering, sent, log):
        self.carrier = carrier
        self.links = links
        self.gathering = gathering
        self.sent = sent
        self.log = log

    def receive(self, sender, message, age=0.0):
        self.links._handle(sender, message, age)

    def answers(self, kind=DelegatedAnswer):
        return [
            (name, message.id, getattr(message, "body", b""))
            for name, message in self.sent
            if isinstance(message, kind)
        ]


def run_harness(act):
    async def run():
        log = StringIO()
        clock = TrioClock()
        events = EventLog("me", clock, log)
        metrics = Metrics(None, "me")
        site = MemoryNetwork().at("here")
        transport = site.transport()
        listener = await transport.listen(HostPort("127.0.0.1", 0))
        own = SimpleNamespace(name="me", incarnation=0, peer_address="")
        members = SimpleNamespace(own=own, find=lambda name: None)
        links = PeerLinks(listener, transport, members, events, metrics)
        sent = []
        links.send = lambda name, message: sent.append((name, message)) or True
        quarantine = Quarantine()
        QuarantineGossip(
            quarantine, links, clock, lambda: [], lambda: False, lambda item: None
        )
        gathering = EchoGathering()
        quarantines = SimpleNamespace(is_restricted=lambda message, origins: False)
        origins = RequestOrigins(RouteKeeper(clock, events, metrics), b"team")
        carrier = DelegationServer(
            links,
            clock,
            gathering.gather,
            lambda kind: 0.01,
            events,
            quarantines,
            origins,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(links.run)
            await nursery.start(carrier.run)
            harness = Harness(carrier, links, gathering, sent, log)
            harness.quarantine = quarantine
            harness.transport, harness.address = transport, listener.address
            result = await act(harness)
            nursery.cancel_scope.cancel()
        return result

    return run_mocked(run)


def make_question(id, target="/x", request="r"):
    return DelegatedQuestion(
        id, request, "k", "GET", target, (), b"", ("s",), 1, 1.0, 2, 1.0, 0.5
    )


def test_a_question_that_arrives_twice_is_gathered_once():
    async def act(harness):
        harness.receive("a", make_question("q"))
        harness.receive("a", make_question("q"))
        await trio.sleep(GATHER_TIME * 2)
        harness.receive("a", make_question("q"))
        await trio.sleep(GATHER_TIME * 2)
        return harness.gathering.begun, harness.answers()

    assert run_harness(act) == (["/x"], [("a", "q", b"/x")])


def test_a_late_copy_of_a_question_is_not_reported_as_not_run():
    """Otherwise its sender would have it run elsewhere too."""

    async def act(harness):
        harness.receive("a", make_question("q"))
        await trio.sleep(GATHER_TIME / 2)
        harness.receive("a", make_question("q"), age=0.3)
        harness.carrier.stop_accepting()
        harness.receive("a", make_question("q"))
        await trio.sleep(GATHER_TIME)
        harness.receive("a", make_question("q"), age=0.4)
        await trio.sleep(2)
        harness.receive("a", make_question("q"), age=2.4)
        return harness.answers(DelegatedFailure), harness.answers()

    assert run_harness(act) == ([], [("a", "q", b"/x")])


def test_a_copy_from_another_sender_is_not_begun():
    async def act(harness):
        harness.receive("a", make_question("q"))
        harness.receive("nobody", make_question("q"))
        await trio.sleep(GATHER_TIME * 2)
        return harness.gathering.begun, harness.answers()

    assert run_harness(act) == (["/x"], [("a", "q", b"/x")])


def test_flood_of_cancellations_fills_no_memory():
    async def act(harness):
        for number in range(3 * MAX_HISTORY):
            harness.receive("a", DelegatedCancel(f"q-{number}"))
        remembered = len(harness.carrier._closed_at)
        harness.receive("a", make_question("q"))
        await trio.sleep(GATHER_TIME * 2)
        return remembered, harness.answers()

    assert run_harness(act) == (MAX_HISTORY, [("a", "q", b"/x")])


def test_two_senders_may_use_the_same_id():
    async def act(harness):
        harness.receive("a", make_question("q", "/a", "of a"))
        harness.receive("b", make_question("q", "/b", "of b"))
        await trio.sleep(GATHER_TIME * 2)
        return sorted(harness.answers())

    assert run_harness(act) == [("a", "q", b"/a"), ("b", "q", b"/b")]


def test_a_sender_cannot_cancel_or_renew_a_question_of_another():
    async def act(harness):
        harness.receive("a", make_question("q"))
        harness.receive("b", make_question("r"))
        await trio.sleep(GATHER_TIME / 2)
        harness.receive("c", DelegatedCancel("q"))
        await trio.sleep(GATHER_TIME)
        answers = harness.answers()
        harness.gathering.gather_time = 1
        harness.receive("a", make_question("s"))
        for _ in range(4):
            await trio.sleep(RENEWAL_TIMEOUT / 4)
            harness.receive("c", DelegatedRenewal("s"))
        return answers, harness.carrier.active_count

    answers, active = run_harness(act)
    assert sorted(answers) == [("a", "q", b"/x"), ("b", "r", b"/x")]
    assert active == 0


def test_an_exception_ends_only_its_question_and_is_reported_to_the_sender():
    async def act(harness):
        harness.gathering.fault = True
        harness.receive("a", make_question("q"))
        await trio.sleep(GATHER_TIME)
        harness.gathering.fault = False
        harness.receive("a", make_question("r"))
        await trio.sleep(GATHER_TIME * 2)
        failures = [
            (message.id, message.may_have_run)
            for _, message in harness.sent
            if isinstance(message, DelegatedFailure)
        ]
        return failures, harness.answers(), harness.log.getvalue()

    failures, answers, log = run_harness(act)
    assert failures == [("q", True)]
    assert answers == [("a", "r", b"/x")]
    assert "question of a" in log and "Traceback" in log


names = st.sampled_from("abc")
ids = st.sampled_from(["q", "r", "", "x" * 300])
floats = st.floats(allow_nan=True, allow_infinity=True)
messages = st.one_of(
    ids.map(make_question),
    st.builds(DelegatedCancel, ids, st.booleans()),
    ids.map(DelegatedRenewal),
    st.builds(
        DelegatedAnswer, ids, st.binary(), st.just(()), st.just(()), st.just(0), floats
    ),
    st.builds(
        QuarantineNews,
        st.lists(
            st.builds(
                QuarantineEntry,
                st.binary(max_size=14),
                st.lists(st.integers(-3, 9), max_size=5).map(tuple),
                floats,
                floats,
            ),
            max_size=4,
        ).map(tuple),
    ),
)


@settings(max_examples=60)
@given(st.lists(st.tuples(names, messages, st.sampled_from([0.0, 0.05, 0.3]))))
def test_no_order_of_messages_stops_the_server_or_misdirects_an_answer(told):
    async def act(harness):
        asked = {}
        for sender, message, pause in told:
            if isinstance(message, DelegatedQuestion):
                target = f"/{sender}/{message.id}"
                message = msgspec.structs.replace(
                    message, target=target, request=sender
                )
                asked.setdefault((sender, message.id), target.encode())
            harness.receive(sender, message)
            await trio.sleep(pause)
        await trio.sleep(RENEWAL_TIMEOUT + GATHER_TIME)
        for sender, id, body in harness.answers():
            assert body == asked[sender, id]
        assert harness.carrier.active_count == 0
        assert len(harness.quarantine) <= MAX_ENTRIES

    run_harness(act)


def test_malformed_envelopes_do_not_stop_the_server():
    good = Envelope("a", 0, "", 0, (make_question("q"),), "life", 1.0)
    wrong = [
        b"",
        b"\xc1",
        b"\x00" * 2000,
        encode_envelope(good)[:-5],
        msgspec.msgpack.encode(["a", 0, "", 0, [["NoSuchMessage", 1]]]),
        msgspec.msgpack.encode(["a", 0, "", 0, [["DQn", 1, 2, 3]]]),
        msgspec.msgpack.encode(["a", "x", {}, None]),
        msgspec.msgpack.encode(["a", 0, "", 0, [], "life", float("nan"), "", 1e308]),
    ]

    async def act(harness):
        sender = await harness.transport.dial(harness.address)
        for data in wrong:
            await sender.send(data)
        await trio.sleep(0.1)
        harness.receive("a", make_question("r"))
        await trio.sleep(GATHER_TIME * 2)
        return harness.answers()

    assert run_harness(act) == [("a", "r", b"/x")]
