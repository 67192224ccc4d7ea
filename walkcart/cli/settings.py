"""Settings of the tool from options, ``WALKCART_TOOL_*`` variables or defaults."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from walkcart.cli.exits import CommandFailed, Exit
from walkcart.kernel.settings import TOOL_PREFIX, BadValue, HostPort, parse_host_port

OUTPUTS = ("table", "json")


@dataclass(frozen=True, slots=True)
class ToolSettings:
    """Addresses, credentials and output format of the tool.

    Args:
        store: address of the platform's key-value service.
        instance: address of any walkcart instance.
        token: operator token for instances.
        partner_token: token of a partner, for ``query``.
        output: output format, ``table`` or ``json``.
    """

    store: HostPort
    instance: HostPort
    token: str
    partner_token: str
    output: str


DEFAULTS = {
    "store": "127.0.0.1:7100",
    "instance": "127.0.0.1:7000",
    "token": "",
    "partner-token": "",
    "output": "table",
}


def read_tool_settings(
    options: Mapping[str, str | None], environment: Mapping[str, str]
) -> ToolSettings:
    """Return the tool's settings: options override variables, which override defaults.

    Raises:
        CommandFailed: values are invalid; all are listed.
    """
    faults: list[str] = []
    texts = {name: _find_text(name, options, environment) for name in DEFAULTS}
    store = _read_address("store", texts, faults)
    instance = _read_address("instance", texts, faults)
    if texts["output"] not in OUTPUTS:
        faults.append(f"output: {texts['output']!r}: expected table or json")
    if faults:
        raise CommandFailed(Exit.USAGE, *faults)
    return ToolSettings(
        store, instance, texts["token"], texts["partner-token"], texts["output"]
    )


def _find_text(
    name: str, options: Mapping[str, str | None], environment: Mapping[str, str]
) -> str:
    value = options.get(name)
    if value is not None:
        return value
    variable = TOOL_PREFIX + name.upper().replace("-", "_")
    return environment.get(variable, DEFAULTS[name])


def _read_address(name: str, texts: Mapping[str, str], faults: list[str]) -> HostPort:
    try:
        return parse_host_port(texts[name])
    except BadValue as error:
        faults.append(f"{name}: {texts[name]!r}: expected {error}")
        return HostPort("127.0.0.1", 0)
