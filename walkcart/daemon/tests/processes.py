"""Real processes for tests: stand-ins and daemons on free ports."""

import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

OPERATOR_TOKEN = "operators"
TRIES = 600


def take_ports(count):
    """Return free ports, in a run one after the other."""
    for _ in range(TRIES):
        probe = socket.socket()
        probe.bind(("127.0.0.1", 0))
        first = probe.getsockname()[1]
        probe.close()
        ports = list(range(first, first + count))
        if first + count < 65536 and all(is_free(port) for port in ports):
            return ports
    raise AssertionError("no run of free ports")


def is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Processes:
    """Starts programs and ends them all."""

    def __init__(self, log_folder):
        self.log_folder = log_folder
        self.running = {}

    def start(self, name, module, *words):
        environment = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith("WALKCART_")
        }
        log = open(self.log_folder / f"{name}.log", "wb")
        self.running[name] = subprocess.Popen(
            [sys.executable, "-m", module, *words],
            stdout=log,
            stderr=log,
            env=environment,
        )

    def signal(self, name, number):
        self.running[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.running.pop(name).wait()

    def wait(self, name):
        return self.running.pop(name).wait()

    def log(self, name):
        return (self.log_folder / f"{name}.log").read_text()

    def stop_all(self):
        for process in self.running.values():
            process.kill()
            process.wait()


def wait_until(condition):
    """Poll `condition` until it holds; how long that takes decides nothing."""
    for _ in range(TRIES):
        if condition():
            return
        time.sleep(0.1)
    raise AssertionError("the condition never held")


def fetch(address, path, data=None, headers=None):
    """Return status, headers and body of one HTTP exchange; status 0 without one."""
    request = urllib.request.Request(f"http://{address}{path}", data, headers or {})
    try:
        with urllib.request.urlopen(request, timeout=30) as reply:
            return reply.status, reply.headers, reply.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()
    except OSError:
        return 0, {}, b""


def is_ready(address):
    return fetch(address, "/readyz")[0] == 200
