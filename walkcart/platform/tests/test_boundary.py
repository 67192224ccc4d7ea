"""Checks of the platform adapter's boundary and of the deployment files."""

import tomllib
from pathlib import Path

import walkcart

ROOT = Path(walkcart.__file__).parent.parent

#: Names of the platform's protocol, which only the adapter may contain.
WIRE_WORDS = (
    "X-Part-Stamps",
    "x-part-stamps",
    "x-response-stamp",
    "X-Response-Stamp",
    "x-expect-instance",
    "X-Expect-Instance",
    "x-not-executed",
    "X-Not-Executed",
    "x-missing-parts",
    "tlsKey",
    "tls_key",
    "fanoutServices",
    "fanout_services",
    "op/config",
    "warmupLeftMs",
    "trafficSplit",
    "targetLatencyMs",
    "minCoverage",
    "kv-watch",
    "x-tenant",
    "X-Tenant",
    "apiKeys",
    "api_keys",
    "ratePerS",
    "rate_per_s",
)


def test_platform_protocol_names_occur_only_in_the_adapter():
    found = [
        (path.name, word)
        for path in (ROOT / "walkcart").rglob("*.py")
        if "platform" not in path.relative_to(ROOT / "walkcart").parts[:1]
        for word in WIRE_WORDS
        if word in path.read_text(encoding="utf-8")
    ]
    assert found == []


def test_only_the_daemon_imports_the_adapter():
    found = [
        path.relative_to(ROOT).as_posix()
        for path in (ROOT / "walkcart").rglob("*.py")
        if "walkcart.platform" in path.read_text(encoding="utf-8")
        and path.relative_to(ROOT / "walkcart").parts[0] not in ("platform", "daemon")
    ]
    assert found == []


def test_requirements_match_the_project_dependencies():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    lines = (ROOT / "requirements.txt").read_text(encoding="utf-8").splitlines()
    required = [line for line in lines if line and not line.startswith("#")]
    assert sorted(required) == sorted(project["project"]["dependencies"])


def test_deploy_file_uses_one_port_for_the_metrics():
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
    role = deploy["roles"]["entry"]
    assert role["metrics"].startswith(role["env"]["WALKCART_METRICS_PORT"] + "/")
