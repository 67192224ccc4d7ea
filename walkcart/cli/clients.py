"""Clients with which the tool reaches the store and the instances."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta
from io import StringIO
from random import Random
from typing import Any, TypeVar

import trio

from walkcart.cli.exits import CommandFailed, Exit
from walkcart.cli.settings import ToolSettings
from walkcart.intent.applying import Applier, read_stored
from walkcart.intent.document import Document, DocumentError
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.decoding import BadData, JsonDecoder
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.spans import Tracer
from walkcart.store.backoff import Backoff
from walkcart.store.budget import CallBudget
from walkcart.store.calls import StoreCalls, StoreUnavailable
from walkcart.store.client import StoreClient
from walkcart.wire.http import ExchangeFailed, HttpConnection, HttpReply, HttpRequest
from walkcart.wire.network import TcpNetwork

T = TypeVar("T")
#: Timeout of a request to an instance, in seconds.
CALL_TIMEOUT = 15.0
#: Maximum size of the body of an instance's reply.
MAX_BODY_BYTES = 16 << 20
#: Time after which the tool gives up on a store that is unavailable.
OUTAGE_TIMEOUT = timedelta(seconds=10)

_ANY_JSON = JsonDecoder(Any)


def run(action: Callable[[], Awaitable[T]]) -> T:
    """Run an asynchronous action with trio and return its result.

    Raises:
        CommandFailed: the store is unavailable or its configuration unreadable.
    """
    try:
        return trio.run(action)
    except StoreUnavailable as error:
        detail = f"the store can't be used: {error.detail}"
        raise CommandFailed(Exit.UNAVAILABLE, detail) from None
    except DocumentError as error:
        detail = f"the stored configuration can't be read: {error}"
        raise CommandFailed(Exit.FAILED, detail) from None


def make_store(settings: ToolSettings) -> StoreClient:
    """Return a client of the store."""
    clock = TrioClock()
    return StoreClient(
        StoreCalls(
            settings.store,
            TcpNetwork(),
            clock,
            CallBudget(20, 20, clock),
            EventLog("tool", clock, StringIO()),
            Metrics(None, "tool"),
            Tracer("tool", "none", 0.0),
        )
    )


def make_applier(settings: ToolSettings) -> Applier:
    """Return an applier of changes to the stored configuration."""
    backoff = Backoff(timedelta(seconds=0.1), timedelta(seconds=1), Random())
    return Applier(make_store(settings), TrioClock(), backoff, OUTAGE_TIMEOUT)


async def fetch_document(settings: ToolSettings) -> Document:
    """Return the stored configuration."""
    document, _ = await read_stored(make_store(settings))
    return document


async def call_instance(
    settings: ToolSettings,
    method: str,
    target: str,
    token: str,
    headers: tuple[tuple[bytes, bytes], ...] = (),
    body: bytes = b"",
) -> HttpReply:
    """Send one request to the instance that the settings name.

    Raises:
        CommandFailed: the instance gave no reply.
    """
    own = (
        (b"authorization", f"Bearer {token}".encode()),
        (b"content-type", b"application/json"),
    )
    request = HttpRequest(method, target, (*own, *headers), body)
    try:
        with trio.fail_after(CALL_TIMEOUT):
            stream = await TcpNetwork().connect(settings.instance)
            connection = HttpConnection(stream, str(settings.instance), MAX_BODY_BYTES)
            try:
                return await connection.exchange(request)
            finally:
                await connection.close()
    except (OSError, ExchangeFailed, trio.TooSlowError) as error:
        detail = f"the instance at {settings.instance} doesn't answer: {error}"
        raise CommandFailed(Exit.UNAVAILABLE, detail) from None


async def fetch_json(settings: ToolSettings, target: str) -> Any:
    """Return the decoded JSON reply of an instance's operator interface.

    Raises:
        CommandFailed: the instance refuses the request or doesn't answer.
    """
    reply = await call_instance(settings, "GET", target, settings.token)
    content = decode_reply(reply.body)
    if reply.status != 200:
        raise CommandFailed(Exit.FAILED, content.get("detail", str(reply.status)))
    return content


def decode_reply(body: bytes) -> Any:
    """Return the decoded JSON body of a reply of an instance.

    Raises:
        CommandFailed: the body isn't JSON.
    """
    try:
        return _ANY_JSON.decode(body)
    except BadData as error:
        detail = f"the instance's reply isn't JSON: {error}"
        raise CommandFailed(Exit.UNAVAILABLE, detail) from None
