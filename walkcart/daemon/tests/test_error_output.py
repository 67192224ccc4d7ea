"""The error output of a process that ends."""

import os
import subprocess
import sys

from walkcart.platform.tests.test_documents import SETTINGS
from walkcart.platform.tests.test_process_signals import FAILING_PROGRAM


def test_error_output_that_nobody_reads_does_not_hold_up_the_end(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS, encoding="utf-8")
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    try:
        while True:
            os.write(writing, b"x" * 65536)
    except BlockingIOError:
        os.set_blocking(writing, True)
    try:
        ended = subprocess.run(
            [sys.executable, "-c", FAILING_PROGRAM],
            env={**os.environ, "WALKCART_NODE_FILE": str(path)},
            stdout=subprocess.PIPE,
            stderr=writing,
            timeout=20,
        )
    finally:
        os.close(reading)
        os.close(writing)
    assert ended.returncode == 1
    assert b"process_failed" in ended.stdout
