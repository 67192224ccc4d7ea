"""The error output of a process that ends."""

import os
import subprocess
import sys


def test_error_output_that_nobody_reads_does_not_hold_up_the_end():
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    try:
        while True:
            os.write(writing, b"x" * 65536)
    except BlockingIOError:
        os.set_blocking(writing, True)
    environment = {
        name: text for name, text in os.environ.items() if name != "WALKCART_NODE_FILE"
    }
    try:
        ended = subprocess.run(
            [sys.executable, "-m", "walkcart.daemon.platform"],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=writing,
            timeout=20,
        )
    finally:
        os.close(reading)
        os.close(writing)
    assert ended.returncode == 2
    assert b"process_failed" in ended.stdout
