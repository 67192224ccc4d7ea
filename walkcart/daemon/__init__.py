"""The daemon, ``walkcartd``: one instance."""

from walkcart.daemon.assembly import Instance, assemble_instance

__all__ = ["Instance", "assemble_instance"]
