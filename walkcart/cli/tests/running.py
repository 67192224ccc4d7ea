"""Runs the operators' tool in a separate process."""

import subprocess
import sys


def run_alone(*arguments):
    """Run the tool with arguments; return the completed process with its output."""
    return subprocess.run(
        [sys.executable, "-m", "walkcart.cli.main", *arguments],
        capture_output=True,
        text=True,
    )
