"""Runs the operators' tool as a process of its own."""

import subprocess
import sys


def run_alone(*words):
    """Return how the tool ended, with what it printed."""
    return subprocess.run(
        [sys.executable, "-m", "walkcart.cli.main", *words],
        capture_output=True,
        text=True,
    )
