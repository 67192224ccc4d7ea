"""Commands that show objects, instances, services and answers."""

from __future__ import annotations

from typing import Any

import msgspec
from cleo.helpers import argument, option

from walkcart.cli.clients import (
    call_instance,
    decode_reply,
    fetch_document,
    fetch_json,
    run,
)
from walkcart.cli.command import COMMON_OPTIONS, ToolCommand
from walkcart.cli.exits import CommandFailed, Exit
from walkcart.cli.settings import ToolSettings
from walkcart.intent.document import Document
from walkcart.intent.loading import to_tables
from walkcart.intent.model import KINDS
from walkcart.kernel.decoding import BadData, JsonDecoder

_ANY_JSON = JsonDecoder(Any)


class GetCommand(ToolCommand):
    """``walkcart get``."""

    name = "get"
    description = "Shows stored objects, or the last changes."
    arguments = [
        argument("kind", f"One of {', '.join(KINDS)}.", optional=True),
        argument("name", "Name of the object.", optional=True),
    ]
    options = [
        *COMMON_OPTIONS,
        option("changes", None, "Show the last changes instead."),
    ]
    help = "Examples: walkcart get service; walkcart get --changes --output json"

    def act(self, settings: ToolSettings) -> Exit:
        """Read the stored configuration and print objects or changes of it."""
        document = run(lambda: fetch_document(settings))
        if self.option("changes"):
            return self._show_changes(settings, document)
        kind, name = self.argument("kind"), self.argument("name")
        if kind and kind not in KINDS:
            expected = f"{kind!r}: expected one of {', '.join(KINDS)}"
            raise CommandFailed(Exit.USAGE, expected)
        tables = to_tables(document.configuration)
        found = {
            key: [row for row in rows if name in (None, row["name"])]
            for key, rows in tables.items()
            if kind in (None, key)
        }
        if name and not any(found.values()):
            raise CommandFailed(Exit.FAILED, f"no {kind} is named {name!r}")
        rows = [
            [key, row["name"], {k: v for k, v in row.items() if k != "name"}]
            for key, items in found.items()
            for row in items
        ]
        content = {"revision": document.revision, **found}
        self.show(settings, content, ["kind", "name", "fields"], rows)
        return Exit.OK

    def _show_changes(self, settings: ToolSettings, document: Document) -> Exit:
        changes = [msgspec.to_builtins(change) for change in document.changes]
        header = ["revision", "time", "author", "id", "touched"]
        rows = [[change[name] for name in header] for change in changes]
        self.show(settings, changes, header, rows)
        return Exit.OK


class StatusCommand(ToolCommand):
    """``walkcart status``."""

    name = "status"
    description = "Shows all instances as seen by one of them."
    options = COMMON_OPTIONS
    help = "Example: walkcart status --instance 127.0.0.1:7000"

    def act(self, settings: ToolSettings) -> Exit:
        """Ask an instance for its members and print them."""
        status = run(lambda: fetch_json(settings, "/v1/status"))
        header = ["name", "state", "revision", "region", "data_centre", "address"]
        rows = [[member[name] for name in header] for member in status["members"]]
        self.show(settings, status, header, rows)
        return Exit.OK


class ExplainCommand(ToolCommand):
    """``walkcart explain``."""

    name = "explain"
    description = "Shows which intents apply to a service and which leaves it uses."
    arguments = [argument("service", "Name of the service.")]
    options = COMMON_OPTIONS
    help = "Example: walkcart explain pack-finder"

    def act(self, settings: ToolSettings) -> Exit:
        """Ask an instance for the service's policy and leaves and print them."""
        target = f"/v1/services/{self.argument('service')}/explain"
        found = run(lambda: fetch_json(settings, target))
        if settings.output == "table":
            self._show_policy(found)
        header = ["shard", "leaf", "use", "latency_ms", "outstanding"]
        rows = [
            [
                shard["shard"],
                leaf["address"],
                leaf["use"],
                leaf["latency_ms"],
                leaf["outstanding"],
            ]
            for shard in found["shards"]
            for leaf in shard["leaves"]
        ]
        self.show(settings, found, header, rows)
        return Exit.OK

    def _show_policy(self, found: dict[str, Any]) -> None:
        intents = ", ".join(item["name"] for item in found["intents"]) or "none"
        self.write_plain(f"service {found['service']} at revision {found['revision']}")
        self.write_plain(f"intents, highest priority first: {intents}")
        self.write_plain(f"snapshot: {found['snapshot']}")
        for name, item in found["policy"].items():
            self.write_plain(f"  {name}: {item['value']} (from {item['from']})")


class QueryCommand(ToolCommand):
    """``walkcart query``."""

    name = "query"
    description = "Queries a service as a partner would."
    arguments = [
        argument("service", "Name of the service."),
        argument("query", "Query as JSON that each leaf is sent."),
    ]
    options = [
        *COMMON_OPTIONS,
        option(
            "deadline-ms", None, "Timeout of the reply in milliseconds.", flag=False
        ),
        option(
            "least-coverage",
            None,
            "Minimum share of the shards that the answer covers, 0 to 1.",
            flag=False,
        ),
    ]
    help = """Example: walkcart query pack-finder '{"near": "hobart"}'"""

    def act(self, settings: ToolSettings) -> Exit:
        """Send the query through an instance and print the answer."""
        headers = []
        for name in ("deadline-ms", "least-coverage"):
            value = self.option(name)
            if value is not None:
                headers.append((f"walkcart-{name}".encode(), value.encode()))
        try:
            query = _ANY_JSON.decode(self.argument("query").encode())
        except BadData as error:
            raise CommandFailed(Exit.USAGE, f"query: expected JSON: {error}") from None
        target = f"/v1/services/{self.argument('service')}/query"
        body = msgspec.json.encode({"query": query})
        reply = run(
            lambda: call_instance(
                settings, "POST", target, settings.partner_token, tuple(headers), body
            )
        )
        content = decode_reply(reply.body)
        if reply.status != 200:
            detail = f"{content['verdict']}: {content['title']}: {content['detail']}"
            raise CommandFailed(Exit.FAILED, detail)
        self._show_answer(settings, content)
        return Exit.OK

    def _show_answer(self, settings: ToolSettings, content: dict[str, Any]) -> None:
        rows = content["answer"]["rows"]
        names = sorted({name for row in rows for name in row})
        table = [[row.get(name) for name in names] for row in rows]
        self.show(settings, content, names or ["rows"], table)
        if settings.output == "table":
            coverage, snapshot = content["coverage"], content["snapshot"]
            self.write_plain(
                f"{len(coverage['answered'])} of {coverage['asked']} shards, "
                f"layout {snapshot['layout']}, version {snapshot['version']}"
            )
            for item in coverage["missing"]:
                self.write_plain(f"missing: shard {item['shard']}: {item['reason']}")
