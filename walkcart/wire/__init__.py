"""What passes between processes: verdicts, HTTP/1.1 by h11, peer messages."""

from walkcart.lazyimport import make_lazy_getattr

_MODULES = {
    "Answered": "verdicts",
    "BadMessage": "codec",
    "Envelope": "messages",
    "ExchangeFailed": "http",
    "FailureKind": "http",
    "HttpConnection": "http",
    "HttpReply": "http",
    "HttpRequest": "http",
    "HttpServer": "server",
    "MayHaveRun": "verdicts",
    "Message": "messages",
    "Network": "network",
    "NngTransport": "peers",
    "NotRun": "verdicts",
    "PeerListener": "peers",
    "PeerSender": "peers",
    "PeerTransport": "peers",
    "Reason": "verdicts",
    "ServerLimits": "server",
    "TcpNetwork": "network",
    "Verdict": "verdicts",
    "decode_envelope": "codec",
    "encode_envelope": "codec",
}

__all__ = sorted(_MODULES)

__getattr__ = make_lazy_getattr(__name__, _MODULES)
