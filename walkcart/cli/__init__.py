"""The operators' command-line tool, ``walkcart``."""
