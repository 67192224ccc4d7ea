"""What passes between processes: verdicts, HTTP/1.1 by h11, peer messages."""

from walkcart.wire.codec import BadMessage, decode_envelope, encode_envelope
from walkcart.wire.http import (
    ExchangeFailed,
    FailureKind,
    HttpConnection,
    HttpReply,
    HttpRequest,
)
from walkcart.wire.messages import Envelope, Message
from walkcart.wire.network import Network, TcpNetwork
from walkcart.wire.peers import NngTransport, PeerListener, PeerSender, PeerTransport
from walkcart.wire.server import HttpServer, ServerLimits
from walkcart.wire.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

__all__ = [
    "Answered",
    "BadMessage",
    "Envelope",
    "ExchangeFailed",
    "FailureKind",
    "HttpConnection",
    "HttpReply",
    "HttpRequest",
    "HttpServer",
    "MayHaveRun",
    "Message",
    "Network",
    "NngTransport",
    "NotRun",
    "PeerListener",
    "PeerSender",
    "PeerTransport",
    "Reason",
    "ServerLimits",
    "TcpNetwork",
    "Verdict",
    "decode_envelope",
    "encode_envelope",
]
