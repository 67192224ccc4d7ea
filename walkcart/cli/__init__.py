"""The operators' tool, ``walkcart``."""
