"""The catalogue of numbered events.

A number is never reused with another meaning. The hundreds stand for subjects: 1xx the
process, 2xx callers, 3xx leaves, 4xx peers, 5xx store and configuration, 6xx claims,
9xx broken invariants.

See Also:
    ``docs/EVENTS.md``, which a test compares with this catalogue.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of event.

    Args:
        number: the number of the event, which never changes.
        name: its name, in lower-case words joined by underscores.
        level: its `logging` level.
        help: what happened, and what an operator does about it.
    """

    number: int
    name: str
    level: int
    help: str


def _info(number: int, name: str, text: str) -> Event:
    return Event(number, name, logging.INFO, text)


def _warn(number: int, name: str, text: str) -> Event:
    return Event(number, name, logging.WARNING, text)


def _error(number: int, name: str, text: str) -> Event:
    return Event(number, name, logging.ERROR, text)


class Events:
    """The catalogue of events, by name."""

    STARTED = _info(101, "started", "The instance accepts requests.")
    STOPPING = _info(
        102, "stopping", "A planned stop began; the readiness check fails from now on."
    )
    STOPPED = _info(103, "stopped", "The last request in progress ended.")
    STOP_BOUND = _warn(
        104,
        "stop_bound_reached",
        "The time limit of a stop passed with requests still in progress.",
    )
    PROCESS_STARTED = _info(
        105,
        "process_started",
        "A process began to start. Without 106 or 107 before it, the process before it "
        "was killed.",
    )
    PROCESS_ENDED = _info(
        106, "process_ended", "The process ends as it was told to; `reason` says why."
    )
    PROCESS_FAILED = _error(
        107,
        "process_failed",
        "The process ends, or doesn't start; `reason` and `detail` say why.",
    )
    LISTENING = _info(108, "listening", "The instance listens on an address.")
    ADDRESS_BUSY = _warn(
        109,
        "address_busy",
        "An address can't be listened on yet; it is tried again until it can.",
    )
    SETTINGS_AWAITED = _warn(
        110,
        "settings_awaited",
        "The settings file is missing, incomplete or invalid; the start waits for it.",
    )
    SETTING_INVALID = _warn(
        111,
        "setting_invalid",
        "An optional setting has an invalid value; its default is used.",
    )
    LIBRARY_WARNING = _warn(
        120,
        "library_warning",
        "A library reports a failure that it goes on after, such as too few "
        "descriptors to accept a connection.",
    )
    REQUEST_BAD = _info(201, "request_bad", "A caller's request can't be understood.")
    REQUEST_REFUSED = _info(
        202, "request_refused", "A request was refused before it ran."
    )
    REQUEST_FAILED = _error(
        203, "request_failed", "An internal error of walkcart; the caller got a 500."
    )
    CALLER_GONE = _info(
        204,
        "caller_gone",
        "A caller closed its connection, or stalled, in the middle of a request.",
    )
    CONNECTIONS_FULL = _warn(
        230,
        "connections_full",
        "More connections came to a port than it may have: the one that has been idle "
        "longest is closed for each further one, or the oldest of those of peers.",
    )
    TASK_FAILED = _error(
        207,
        "task_failed",
        "An internal error of walkcart ended one task, such as a connection.",
    )
    QUARANTINED = _warn(
        208,
        "request_quarantined",
        "Leaves end when they run a request: it is tried at one leaf first, then "
        "refused.",
    )
    QUARANTINE_LIFTED = _info(
        209,
        "quarantine_lifted",
        "A leaf answered a request under which leaves had ended.",
    )
    REQUEST_DONE = _info(205, "request_done", "A routed request got its answer.")
    REQUEST_UNSERVED = _info(
        206,
        "request_unserved",
        "A routed request got no answer from a leaf; the event says why.",
    )
    ROOM_LIMITED = _warn(
        220,
        "room_limited",
        "The event loop is overloaded: a limit applies, and requests above it wait.",
    )
    ROOM_FREE = _info(
        221, "room_free", "The event loop has caught up: no limit applies any more."
    )
    ROOM_REFUSED = _info(
        222,
        "room_refused",
        "A request was refused and not run: its turn would have come too late.",
    )
    LEAF_BAD_REPLY = _warn(
        301, "leaf_bad_reply", "A leaf's reply isn't HTTP, is cut short or is too long."
    )
    LEAF_CROWDED = _info(
        320, "leaf_crowded", "Requests wait in this instance, since a leaf is busy."
    )
    REPLY_MEMORY_FULL = _warn(
        321,
        "reply_memory_full",
        "A leaf's reply was given up: others have used up the memory for replies.",
    )
    LEAF_WRONG_ATTEMPT = _warn(
        302,
        "leaf_wrong_attempt",
        "A leaf's reply has another attempt id or scope than the request.",
    )
    LEAF_UNREACHABLE = _info(303, "leaf_unreachable", "A connection to a leaf failed.")
    LEAF_EJECTED = _warn(
        304,
        "leaf_ejected",
        "A leaf fails and gets no more requests; it is tried again after a while.",
    )
    LEAF_RETURNED = _info(305, "leaf_returned", "An ejected leaf answered again.")
    LEAF_LEAVING = _info(
        306, "leaf_leaving", "A leaf is marked as leaving; it gets no new requests."
    )
    LEAF_RESTARTED = _info(
        307, "leaf_restarted", "A newer incarnation of a leaf is live."
    )
    LEAF_ADDED = _info(308, "leaf_added", "A new entry of a leaf is known.")
    LEAF_REMOVED = _info(
        309, "leaf_removed", "A leaf's entry is gone; the leaf gets no new requests."
    )
    LEAF_HELD = _info(
        310,
        "leaf_held",
        "A leaf's entry expired while the store was unreachable; it is kept for a "
        "while.",
    )
    LEAF_ENDED = _warn(
        311,
        "leaf_ended",
        "A leaf's process ended while it had a request; the event says which.",
    )
    LEAF_COLD_BOUNDED = _warn(
        312,
        "leaf_cold_bounded",
        "A leaf's entry states a longer cold phase than is credible; a shorter one is "
        "used.",
    )
    MEMBER_SUSPECTED = _info(401, "member_suspected", "A peer misses heartbeats.")
    MEMBER_DEAD = _warn(402, "member_dead", "A suspected peer didn't answer in time.")
    MEMBER_JOINED = _info(403, "member_joined", "A peer is live.")
    MEMBER_LEAVING = _info(404, "member_leaving", "A peer began a planned stop.")
    PEER_BAD_MESSAGE = _warn(
        405, "peer_bad_message", "A message of a peer can't be decoded; it is dropped."
    )
    DELEGATE_LOST = _info(
        407,
        "delegate_lost",
        "A peer failed to gather the answer to a question; another one or this "
        "instance does.",
    )
    QUESTION_STALE = _info(
        410,
        "question_stale",
        "A peer's question arrived late or is of unknown age; it isn't begun.",
    )
    QUESTION_ABANDONED = _info(
        411, "question_abandoned", "A peer stopped renewing a question; it is given up."
    )
    PEER_SLOW = _info(
        412,
        "peer_slow",
        "A peer accepted no envelope in time; the link to it is replaced.",
    )
    PEER_RECEIVE_FAILED = _warn(
        413,
        "peer_receive_failed",
        "Receiving from peers failed; it is tried again. The instance serves without.",
    )
    PEER_LINKS_FULL = _warn(
        414,
        "peer_links_full",
        "Too many senders outside the list of instances; messages to them are dropped.",
    )
    LATE_PARTS = _info(
        409, "late_parts", "Late shards are requested together in another region."
    )
    FEED = _info(
        408,
        "feed",
        "A peer began or stopped to feed this instance with what the store holds.",
    )
    LIST_FAILED = _warn(406, "instance_list_failed", "The instance list didn't answer.")
    REVISION_IN_FORCE = _info(501, "revision_in_force", "A configuration is applied.")
    REVISION_IGNORED = _info(
        502,
        "revision_ignored",
        "A configuration was ignored: it isn't newer than the one that is held.",
    )
    REVISION_BAD = _error(503, "revision_bad", "A stored configuration can't be read.")
    STORE_FAILED = _warn(
        504, "store_failed", "A call to the store had no usable reply."
    )
    STORE_BACK = _info(505, "store_back", "The store answers again.")
    STORE_BAD_REPLY = _warn(
        506,
        "store_bad_reply",
        "A reply of the store is garbage or has a wrong revision.",
    )
    CONTROL_CUT = _warn(
        507, "control_cut", "Neither the store nor peers can be reached."
    )
    STORE_HISTORY_LOST = _info(
        508,
        "store_history_lost",
        "The store no longer has the changes since a revision; everything is read "
        "again.",
    )
    STORE_WATCH_SILENT = _warn(
        540,
        "store_watch_silent",
        "A waiting watch didn't bring changes that the store has; it is made anew.",
    )
    STORE_READ = _info(
        526,
        "store_read",
        "All items of a prefix were read; changes after a revision are watched next.",
    )
    ROUTES_IN_FORCE = _info(509, "routes_in_force", "A routing document is applied.")
    ROUTES_IGNORED = _info(
        510,
        "routes_ignored",
        "A routing document was ignored: it isn't newer than the one in force.",
    )
    ROUTES_BAD = _error(511, "routes_bad", "A routing document can't be read.")
    CALLER_LIMITS_BOUNDED = _warn(
        527,
        "caller_limits_bounded",
        "A routing document allows longer requests than there is memory for; lower "
        "limits are used.",
    )
    ROUTE_REGION_UNKNOWN = _warn(
        518, "route_region_unknown", "No data centre is in a region that a route names."
    )
    TEAM_REGION_UNKNOWN = _warn(
        523, "team_region_unknown", "No data centre is in a region that a team names."
    )
    EVACUATED = _info(
        519, "evacuated", "A data centre's leaves get no requests from now on."
    )
    EVACUATION_ENDED = _info(
        520, "evacuation_ended", "A data centre's leaves get requests again."
    )
    COLD_SHARE_TAKEN = _info(
        521,
        "cold_share_taken",
        "This instance may soon use a share of the limit for cold leaves.",
    )
    COLD_SHARE_LOST = _info(
        522,
        "cold_share_lost",
        "A share of the limit for cold leaves is no longer this instance's.",
    )
    QUOTA_SHARE_TAKEN = _info(
        524,
        "quota_share_taken",
        "This instance accounts for a share of all teams' rate limits.",
    )
    QUOTA_SHARE_LOST = _info(
        525,
        "quota_share_lost",
        "This instance no longer accounts for a share of the rate limits.",
    )
    LEAF_ENTRY_BAD = _error(512, "leaf_entry_bad", "A leaf's entry can't be read.")
    REGISTERED = _info(513, "registered", "This instance's leased key is stored.")
    REGISTRATION_LOST = _warn(
        514,
        "registration_lost",
        "This instance's lease or its key is gone; it is stored again.",
    )
    INSTANCES_CHANGED = _info(
        515, "instances_changed", "Other instances joined or left; the shares change."
    )
    SETTINGS_RELOADED = _info(516, "settings_reloaded", "The settings were read again.")
    SETTINGS_BAD = _error(
        517, "settings_bad", "Changed settings are invalid and were not applied."
    )
    CLAIM_UNSETTLED = _warn(
        601,
        "claim_unsettled",
        "The outcome of a write to a claims bucket is uncertain.",
    )
    CLAIM_WITHDRAWN = _info(
        602, "claim_withdrawn", "A claim was given up; nothing was sent."
    )
    BUCKET_BAD = _error(
        603, "bucket_bad", "A claims bucket can't be read; the claim is refused."
    )
    INVARIANT_BROKEN = _error(
        901, "invariant_broken", "An invariant doesn't hold: page an operator."
    )


def list_events() -> list[Event]:
    """Return all events, in the order of their numbers."""
    found = [value for value in vars(Events).values() if isinstance(value, Event)]
    return sorted(found, key=lambda event: event.number)
