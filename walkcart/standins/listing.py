"""Stand-in of the instance list, in which changes can become visible late."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio

from walkcart.membership.listing import STATE_GONE, ListedInstance
from walkcart.standins.serving import StandinServer, reply_json
from walkcart.wire.http import HttpReply, HttpRequest


@dataclass(slots=True, eq=False)
class ListStandin:
    """An instance list in memory.

    Args:
        lag: seconds until a change is visible.
        down: whether every read fails.
        reads: number of reads so far.
    """

    lag: float = 0.0
    down: bool = False
    reads: int = 0
    _changes: list[tuple[float, ListedInstance]] = field(default_factory=list)
    _life: int = 1

    def make_server(self) -> StandinServer:
        """Return the server of this list."""
        return StandinServer(self.handle)

    def put(self, row: ListedInstance) -> None:
        """Add or change a row."""
        self._changes.append((trio.current_time() + self.lag, row))

    def set_state(self, name: str, state: str) -> None:
        """Change the state of the row called `name`."""
        rows = [row for _, row in self._changes if row.name == name]
        if rows:
            self.put(replace(rows[-1], state=state))

    def remove(self, name: str) -> None:
        """Remove a row."""
        self.set_state(name, STATE_GONE)

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Serve the list at ``GET /instances``, or store a row at ``PUT``."""
        parts = urlsplit(request.target)
        if parts.path != "/instances":
            return HttpReply(404)
        if request.method == "PUT":
            row = msgspec.json.decode(request.body, type=ListedInstance)
            self.put(row)
            return HttpReply(204)
        if self.down:
            raise trio.BrokenResourceError("the list is down")
        self.reads += 1
        after = int(parse_qs(parts.query).get("after", ["0"])[0])
        return self._render(after)

    def _render(self, after: int) -> HttpReply:
        """Return the changes after a revision; all rows if `after` is 0 or unknown."""
        now = trio.current_time()
        visible = 0
        for due, _ in self._changes:
            if due > now:
                break
            visible += 1
        if visible == after:
            return HttpReply(304)
        full = after == 0 or after > visible
        rows: dict[str, ListedInstance] = {}
        for _, row in self._changes[0 if full else after : visible]:
            rows[row.name] = row
        if full:
            rows = {key: row for key, row in rows.items() if row.state != STATE_GONE}
        content = {"revision": visible, "full": full, "instances": list(rows.values())}
        return reply_json(content)
