"""Messages of peers that come twice, are foreign or make no sense.

The story: an instance ended with all that it had in hand, since two others had given
two questions the same id. The second replaced the first, and when the second of them
ended there was nothing left to remove (`KeyError`), which nothing held. A cancellation
and a renewal of one also acted on the question of the other.
"""

from io import StringIO
from types import SimpleNamespace

import msgspec
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from walkcart.bench.harness import run_mocked
from walkcart.fanout.delegationserver import RENEWAL_TIMEOUT, DelegationServer
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

WORK = 0.1


class Gathering:
    """Answers each question after a while with its target."""

    def __init__(self):
        self.begun = []
        self.fault = False

    async def gather(self, question, top, handover):
        self.begun.append(question.request.target)
        if self.fault:
            raise ValueError("a fault")
        await trio.sleep(WORK)
        body = question.request.target.encode()
        return Success(MergedAnswer(body, (), (), 1, 0))


class Carried:
    """A carrier with the messages that it sends, by receiver."""

    def __init__(self, carrier, links, gathering, sent, log):
        self.carrier = carrier
        self.links = links
        self.gathering = gathering
        self.sent = sent
        self.log = log

    def take(self, sender, message, age=0.0):
        self.links._handle(sender, message, age)

    def answers(self, kind=DelegatedAnswer):
        return [
            (name, message.id, getattr(message, "body", b""))
            for name, message in self.sent
            if isinstance(message, kind)
        ]


def play(act):
    async def run():
        log = StringIO()
        clock = TrioClock()
        events = EventLog("me", clock, log)
        metrics = Metrics(None, "me")
        site = MemoryNetwork().at("here")
        transport = site.transport()
        listener = await transport.listen(HostPort("127.0.0.1", 0))
        own = SimpleNamespace(name="me", incarnation=0, peer_address="")
        book = SimpleNamespace(own=own, find=lambda name: None)
        links = PeerLinks(listener, transport, book, events, metrics)
        sent = []
        links.send = lambda name, message: sent.append((name, message)) or True
        quarantine = Quarantine()
        QuarantineGossip(
            quarantine, links, clock, lambda: [], lambda: False, lambda item: None
        )
        gathering = Gathering()
        quarantines = SimpleNamespace(is_kept=lambda message, origins: False)
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
            carried = Carried(carrier, links, gathering, sent, log)
            carried.quarantine = quarantine
            carried.transport, carried.address = transport, listener.address
            result = await act(carried)
            nursery.cancel_scope.cancel()
        return result

    return run_mocked(run)


def make_question(id, target="/x", request="r"):
    return DelegatedQuestion(
        id, request, "k", "GET", target, (), b"", ("s",), 1, 1.0, 2, 1.0, 0.5
    )


def test_a_question_that_comes_twice_is_gathered_once():
    async def act(carried):
        carried.take("a", make_question("q"))
        carried.take("a", make_question("q"))
        await trio.sleep(WORK * 2)
        carried.take("a", make_question("q"))
        await trio.sleep(WORK * 2)
        return carried.gathering.begun, carried.answers()

    assert play(act) == (["/x"], [("a", "q", b"/x")])


def test_a_question_that_comes_again_late_is_not_said_to_be_not_run():
    """Its sender would have it run again elsewhere, beside this one."""

    async def act(carried):
        carried.take("a", make_question("q"))
        await trio.sleep(WORK / 2)
        carried.take("a", make_question("q"), age=0.3)
        carried.carrier.stop_taking()
        carried.take("a", make_question("q"))
        await trio.sleep(WORK)
        carried.take("a", make_question("q"), age=0.4)
        await trio.sleep(2)
        carried.take("a", make_question("q"), age=2.4)
        return carried.answers(DelegatedFailure), carried.answers()

    assert play(act) == ([], [("a", "q", b"/x")])


def test_a_copy_under_the_name_of_another_is_not_begun():
    async def act(carried):
        carried.take("a", make_question("q"))
        carried.take("nobody", make_question("q"))
        await trio.sleep(WORK * 2)
        return carried.gathering.begun, carried.answers()

    assert play(act) == (["/x"], [("a", "q", b"/x")])


def test_two_senders_may_use_the_same_id():
    async def act(carried):
        carried.take("a", make_question("q", "/a", "of a"))
        carried.take("b", make_question("q", "/b", "of b"))
        await trio.sleep(WORK * 2)
        return sorted(carried.answers())

    assert play(act) == [("a", "q", b"/a"), ("b", "q", b"/b")]


def test_nobody_cancels_or_renews_a_question_of_another():
    async def act(carried):
        carried.take("a", make_question("q"))
        carried.take("b", make_question("r"))
        await trio.sleep(WORK / 2)
        carried.take("c", DelegatedCancel("q"))
        await trio.sleep(WORK)
        answers = carried.answers()
        carried.gathering.gather_time = 1
        carried.take("a", make_question("s"))
        for _ in range(4):
            await trio.sleep(RENEWAL_TIMEOUT / 4)
            carried.take("c", DelegatedRenewal("s"))
        return answers, carried.carrier.carrying

    answers, carrying = play(act)
    assert sorted(answers) == [("a", "q", b"/x"), ("b", "r", b"/x")]
    assert carrying == 0


def test_a_fault_of_one_question_ends_that_one_and_its_sender_is_told():
    async def act(carried):
        carried.gathering.fault = True
        carried.take("a", make_question("q"))
        await trio.sleep(WORK)
        carried.gathering.fault = False
        carried.take("a", make_question("r"))
        await trio.sleep(WORK * 2)
        failures = [
            (message.id, message.may_have_run)
            for _, message in carried.sent
            if isinstance(message, DelegatedFailure)
        ]
        return failures, carried.answers(), carried.log.getvalue()

    failures, answers, log = play(act)
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
def test_no_order_of_messages_ends_the_instance_or_answers_another(told):
    async def act(carried):
        asked = {}
        for sender, message, pause in told:
            if isinstance(message, DelegatedQuestion):
                target = f"/{sender}/{message.id}"
                message = msgspec.structs.replace(
                    message, target=target, request=sender
                )
                asked.setdefault((sender, message.id), target.encode())
            carried.take(sender, message)
            await trio.sleep(pause)
        await trio.sleep(RENEWAL_TIMEOUT + WORK)
        for sender, id, body in carried.answers():
            assert body == asked[sender, id]
        assert carried.carrier.carrying == 0
        assert len(carried.quarantine) <= MAX_ENTRIES

    play(act)


def test_bytes_that_are_no_envelope_end_nothing():
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

    async def act(carried):
        sender = await carried.transport.dial(carried.address)
        for data in wrong:
            await sender.send(data)
        await trio.sleep(0.1)
        carried.take("a", make_question("r"))
        await trio.sleep(WORK * 2)
        return carried.answers()

    assert play(act) == [("a", "r", b"/x")]
