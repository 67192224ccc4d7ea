"""Modules that libraries import but an instance on the platform doesn't need.

Loaded modules take most of a small instance's memory. Some of them are never used, as
an instance's connections aren't encrypted and its event loop is trio's.
"""

from __future__ import annotations

from walkcart.lazyimport import block_modules, defer_modules

#: Modules that are loaded only when used. They are for encryption with OpenSSL, other
#: event loops and host names that aren't ASCII, which an instance doesn't need.
DEFERRED_MODULES = ("asyncio", "hmac", "idna", "ssl")
#: Modules whose import is made to fail. `_hashlib` loads OpenSSL; without it, `hashlib`
#: falls back to the interpreter's own hashes.
REFUSED = ("_hashlib",)


def skip_unused_modules() -> None:
    """Keep unused modules from being loaded; call before importing any library."""
    defer_modules(DEFERRED_MODULES)
    block_modules(REFUSED)
