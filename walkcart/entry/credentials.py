"""Authentication of partners and operators by bearer token.

A partner's scope comes from the configuration alone; nothing that a caller sends
can widen it.
"""

from __future__ import annotations

import hmac
from hashlib import sha256

from walkcart.entry.requests import BadRequest
from walkcart.intent.document import Document
from walkcart.intent.model import Partner
from walkcart.wire.http import HttpRequest
from walkcart.wire.verdicts import NotRun, Reason

AUTHORIZATION = b"authorization"
SCHEME = "bearer "


def read_token(request: HttpRequest) -> str | None:
    """Return the bearer token of a request; None if there is none."""
    value = request.header(AUTHORIZATION) or ""
    if not value.lower().startswith(SCHEME):
        return None
    return value[len(SCHEME) :].strip() or None


def hash_token(token: str) -> str:
    """Return the hash by which a configuration stores a token: SHA-256 in hex."""
    return sha256(token.encode()).hexdigest()


class Authenticator:
    """Finds the partner that sent a request."""

    def __init__(self) -> None:
        self._revision = -1
        self._partners: dict[str, Partner] = {}

    def find_partner(self, request: HttpRequest, document: Document) -> Partner:
        """Return the partner whose credential the request carries.

        Raises:
            BadRequest: the request has no token, or no partner has it.
        """
        if document.revision != self._revision:
            partners = document.configuration.partners
            self._partners = {item.credential_sha256: item for item in partners}
            self._revision = document.revision
        token = read_token(request)
        partner = self._partners.get(hash_token(token)) if token else None
        if partner is None:
            detail = "expected the bearer token of a partner"
            raise BadRequest(NotRun(Reason.UNAUTHENTICATED, detail))
        return partner


def check_operator(request: HttpRequest, token: str) -> None:
    """Check that a request carries the operators' token.

    Raises:
        BadRequest: it doesn't, or no such token is configured.
    """
    given = read_token(request) or ""
    if not token or not hmac.compare_digest(given.encode(), token.encode()):
        detail = "expected the operators' bearer token"
        raise BadRequest(NotRun(Reason.UNAUTHENTICATED, detail))
