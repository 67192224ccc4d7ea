"""Tests which modules an instance on the platform loads: each costs memory."""

import os
import signal
import socket
import subprocess
import sys
from time import sleep

import pytest

from walkcart.platform.tests.test_documents import SETTINGS

#: Seconds between two attempts to reach a program that is starting.
RETRY_INTERVAL = 0.02
#: Runs the program as ``python3 -m`` does and prints the loaded modules at its end.
PROGRAM = """
import atexit, runpy, sys

def print_loaded():
    # An entry without a module is one whose import fails.
    loaded = [name for name, module in sys.modules.items() if module is not None]
    print("loaded", *loaded, sep="\\n")

atexit.register(print_loaded)
runpy.run_module("walkcart.daemon.platform", run_name="__main__", alter_sys=True)
"""
#: Modules that an instance must not load, and why it doesn't need them.
UNUSED = {
    "_ssl": "connections are plain",
    "_hashlib": "the interpreter has the hashes itself; this one loads OpenSSL",
    "asyncio.base_events": "trio is the event loop",
    "asyncio.sslproto": "trio is the event loop, and connections are plain",
    "idna.core": "addresses are numbers",
    "opentelemetry.sdk": "no spans are written on the platform",
    "prometheus_client": "loaded when the page of metrics is asked for",
    "cleo": "the command line's library",
    "hypothesis": "the tests' library",
    "matplotlib": "the bench's library",
    "hdrh": "the bench's library",
    "http.client": "h11 is the HTTP library",
    "http.server": "h11 is the HTTP library",
    "email.parser": "of the standard library's HTTP",
    "xml": "no document is one",
    "multiprocessing": "an instance is one process",
    "concurrent.futures": "trio runs the threads",
    "walkcart.bench": "for developers",
    "walkcart.cli": "the command line",
    "walkcart.standins": "for developers",
    "walkcart.once": "the product's own interface",
    "walkcart.entry.queries": "the product's own interface",
    "walkcart.fanout.gathering": "questions pinned to a snapshot",
    "walkcart.kernel.spanexport": "no spans are written on the platform",
}


def reserve_ports(count):
    """Return distinct ports that are free at the moment."""
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def start_program(folder):
    """Start the program without a store; return it and its readiness port."""
    callers, readiness, peers, store = reserve_ports(4)
    text = SETTINGS.replace("10.0.0.7", "127.0.0.1")
    text = text.replace(":8000", f":{callers}").replace(":8001", f":{readiness}")
    text = text.replace("[7000, 7010]", f"[{peers}, {peers}]")
    text = text.replace("10.9.0.1:9000", f"127.0.0.1:{store}")
    path = folder / "settings.toml"
    path.write_text(text, encoding="utf-8")
    environment = {**os.environ, "WALKCART_NODE_FILE": str(path)}
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM],
        env=environment,
        stdout=subprocess.PIPE,
        text=True,
    )
    return process, readiness


def ask_readiness(process, port):
    """Retry until the program listens; return the first line of its reply."""
    while process.poll() is None:
        try:
            connection = socket.create_connection(("127.0.0.1", port))
        except ConnectionRefusedError:
            sleep(RETRY_INTERVAL)
            continue
        with connection:
            connection.sendall(b"GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            return connection.makefile().readline()
    raise AssertionError("the program ended")


@pytest.fixture(scope="module")
def loaded(tmp_path_factory):
    """Names of all modules that a program had loaded when it stopped."""
    process, port = start_program(tmp_path_factory.mktemp("settings"))
    try:
        assert "HTTP/1.1 503" in ask_readiness(process, port)
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate()
    finally:
        process.kill()
    assert process.returncode == 0
    return set(output.split("loaded\n")[1].splitlines())


@pytest.mark.parametrize("name", sorted(UNUSED))
def test_unused_module_is_not_loaded(loaded, name):
    assert name not in loaded


def test_needed_modules_are_loaded(loaded):
    assert {"trio", "pynng", "h11", "walkcart.fanout.routed"} <= loaded


def run_python(code):
    """Run code in a new interpreter; return the words that it prints."""
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return done.stdout.split()


def test_deferred_module_is_complete_once_used():
    code = """
import sys
from walkcart.daemon.deferred import skip_unused_modules
skip_unused_modules()
import ssl, asyncio
print("_ssl" in sys.modules)
print(ssl.create_default_context().verify_mode.name, "_ssl" in sys.modules)
async def answer(): return 7
print(asyncio.run(answer()))
"""
    assert run_python(code) == ["False", "CERT_REQUIRED", "True", "7"]


def test_hashes_work_without_openssl():
    code = """
import sys
from walkcart.daemon.deferred import skip_unused_modules
skip_unused_modules()
from hashlib import blake2b, sha256
print(sha256(b"a").hexdigest()[:8], blake2b(b"a").hexdigest()[:8])
print(sys.modules["_hashlib"])
"""
    assert run_python(code) == ["ca978112", "333fcb4e", "None"]


def test_module_used_by_many_threads_at_once_is_loaded_once():
    code = """
from threading import Thread
from walkcart.lazyimport import defer_modules
defer_modules(["tabnanny"])
import tabnanny
found = []
threads = [Thread(target=lambda: found.append(tabnanny.check)) for _ in range(20)]
for thread in threads: thread.start()
for thread in threads: thread.join()
print(len(found), len(set(found)))
try:
    tabnanny.no_such_name
except AttributeError as error:
    print("no_such_name" in str(error))
"""
    assert run_python(code) == ["20", "1", "True"]
