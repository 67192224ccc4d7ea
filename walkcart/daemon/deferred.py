"""What an instance on the platform doesn't load, though its libraries import it.

Modules take most of a small instance's memory. Its connections aren't encrypted and
its event loop is trio's, so some of them are never used.
"""

from __future__ import annotations

from walkcart.lazyimport import block_modules, defer_modules

#: Imported for uses that an instance doesn't have, each with a library: OpenSSL, event
#: loops, names of hosts that aren't ASCII.
DEFERRED_MODULES = ("asyncio", "hmac", "idna", "ssl")
#: Loads OpenSSL for hashes that the interpreter has of its own, which `hashlib` gives
#: when this can't be imported.
REFUSED = ("_hashlib",)


def skip_unused_modules() -> None:
    """Keep these modules from being loaded; to be called before any library."""
    defer_modules(DEFERRED_MODULES)
    block_modules(REFUSED)
