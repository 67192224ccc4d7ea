"""The catalogue of numbered events.

Numbers are never used again for another meaning. Hundreds group by subject:
1xx the process, 2xx callers, 3xx leaves, 4xx peers, 5xx store and configuration,
6xx claims, 9xx broken promises.

See Also:
    ``docs/EVENTS.md``, which a test holds against this catalogue.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of event.

    Args:
        number: its number, for good.
        name: its name, in words joined by underscores.
        level: a level of `logging`.
        help: what happened and what an operator does about it.
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
    """All events, by name."""

    STARTED = _info(101, "started", "The instance takes requests.")
    STOPPING = _info(102, "stopping", "A planned stop began; readiness says no.")
    STOPPED = _info(103, "stopped", "The last request in progress ended.")
    STOP_BOUND = _warn(
        104, "stop_bound_reached", "The stop's bound passed with requests in progress."
    )
    REQUEST_BAD = _info(201, "request_bad", "A caller's request can't be understood.")
    REQUEST_REFUSED = _info(202, "request_refused", "Refused before it ran.")
    REQUEST_FAILED = _error(
        203, "request_failed", "A fault of walkcart's own; the caller got a 500."
    )
    CALLER_GONE = _info(204, "caller_gone", "The caller closed or hung half-way.")
    TASK_FAILED = _error(
        207, "task_failed", "A fault of walkcart's own ended one connection."
    )
    QUARANTINED = _warn(
        208,
        "request_quarantined",
        "Leafs end when they run it: tried at one leaf first, then refused.",
    )
    QUARANTINE_LIFTED = _info(
        209, "quarantine_lifted", "A leaf answered a request that leafs ended under."
    )
    REQUEST_DONE = _info(205, "request_done", "A routed request got its answer.")
    REQUEST_UNSERVED = _info(
        206, "request_unserved", "A routed request got no leaf's answer; says why."
    )
    ROOM_LIMITED = _warn(
        220, "room_limited", "The event loop stays behind: a limit holds, others wait."
    )
    ROOM_FREE = _info(221, "room_free", "It has caught up: no limit holds any more.")
    ROOM_REFUSED = _info(
        222, "room_refused", "Refused, not run: its turn would come too late."
    )
    LEAF_BAD_REPLY = _warn(301, "leaf_bad_reply", "Not HTTP, cut short or too long.")
    LEAF_CROWDED = _info(
        320, "leaf_crowded", "Requests wait here since a leaf has enough to do."
    )
    LEAF_WRONG_ATTEMPT = _warn(
        302, "leaf_wrong_attempt", "The reply's attempt id or scope isn't ours."
    )
    LEAF_UNREACHABLE = _info(303, "leaf_unreachable", "A connection failed.")
    LEAF_EJECTED = _warn(304, "leaf_ejected", "Failing; tried again after a while.")
    LEAF_RETURNED = _info(305, "leaf_returned", "An ejected leaf answered again.")
    LEAF_LEAVING = _info(306, "leaf_leaving", "Marked as leaving; no new work.")
    LEAF_RESTARTED = _info(307, "leaf_restarted", "A newer incarnation is live.")
    LEAF_ADDED = _info(308, "leaf_added", "An entry of a leaf is known.")
    LEAF_REMOVED = _info(309, "leaf_removed", "A leaf's entry is gone; no new work.")
    LEAF_HELD = _info(
        310, "leaf_held", "Its entry lapsed with the store away; kept for a while."
    )
    LEAF_ENDED = _warn(
        311, "leaf_ended", "Its process ended while it had a request; says which."
    )
    MEMBER_SUSPECTED = _info(401, "member_suspected", "A peer misses heartbeats.")
    MEMBER_DEAD = _warn(402, "member_dead", "A suspected peer didn't answer in time.")
    MEMBER_JOINED = _info(403, "member_joined", "A peer is live.")
    MEMBER_LEAVING = _info(404, "member_leaving", "A peer began a planned stop.")
    PEER_BAD_MESSAGE = _warn(405, "peer_bad_message", "Can't be decoded; dropped.")
    DELEGATE_LOST = _info(
        407,
        "delegate_lost",
        "A peer didn't gather a question; another one does, or this instance.",
    )
    QUESTION_STALE = _info(
        410,
        "question_stale",
        "A peer's question came late or of unknown age; not begun.",
    )
    QUESTION_ABANDONED = _info(
        411, "question_abandoned", "A peer no longer renewed a question; given up."
    )
    PEER_SLOW = _info(
        412, "peer_slow", "A peer took no envelope in time; the link is made anew."
    )
    LATE_PARTS = _info(
        409, "late_parts", "Late shards are asked for in another region, together."
    )
    FEED = _info(408, "feed", "A peer feeds, or no longer feeds, what the store holds.")
    LIST_FAILED = _warn(406, "instance_list_failed", "The instance list didn't answer.")
    REVISION_IN_FORCE = _info(501, "revision_in_force", "A configuration is applied.")
    REVISION_IGNORED = _info(502, "revision_ignored", "Not newer than what is held.")
    REVISION_BAD = _error(503, "revision_bad", "A stored configuration can't be read.")
    STORE_FAILED = _warn(504, "store_failed", "A call had no usable reply.")
    STORE_BACK = _info(505, "store_back", "The store answers again.")
    STORE_BAD_REPLY = _warn(506, "store_bad_reply", "Garbage, or a wrong revision.")
    CONTROL_CUT = _warn(507, "control_cut", "Neither store nor peers are reached.")
    STORE_HISTORY_LOST = _info(
        508, "store_history_lost", "Changes were forgotten; all is read anew."
    )
    ROUTES_IN_FORCE = _info(509, "routes_in_force", "A routing document is applied.")
    ROUTES_IGNORED = _info(510, "routes_ignored", "Not newer than what is in force.")
    ROUTES_BAD = _error(511, "routes_bad", "A routing document can't be read.")
    ROUTE_REGION_UNKNOWN = _warn(
        518, "route_region_unknown", "No data centre is in a region that a route names."
    )
    TEAM_REGION_UNKNOWN = _warn(
        523, "team_region_unknown", "No data centre is in a region that a team names."
    )
    EVACUATED = _info(
        519, "evacuated", "A data centre's leafs get nothing from now on."
    )
    EVACUATION_ENDED = _info(
        520, "evacuation_ended", "A data centre's leafs get requests again."
    )
    COLD_SHARE_TAKEN = _info(
        521, "cold_share_taken", "May use a share of the bound of cold leafs, soon."
    )
    COLD_SHARE_LOST = _info(
        522, "cold_share_lost", "A share of cold leafs' bound isn't this instance's."
    )
    QUOTA_SHARE_TAKEN = _info(
        524, "quota_share_taken", "Accounts a share of all teams' rate limits."
    )
    QUOTA_SHARE_LOST = _info(
        525, "quota_share_lost", "Accounts a share of the rate limits no longer."
    )
    LEAF_ENTRY_BAD = _error(512, "leaf_entry_bad", "A leaf's entry can't be read.")
    REGISTERED = _info(513, "registered", "This instance's leased key is stored.")
    REGISTRATION_LOST = _warn(
        514, "registration_lost", "The lease or its key is gone; stored again."
    )
    INSTANCES_CHANGED = _info(
        515, "instances_changed", "Other instances came or went; shares change."
    )
    SETTINGS_RELOADED = _info(516, "settings_reloaded", "The settings were read anew.")
    SETTINGS_BAD = _error(517, "settings_bad", "Changed settings can't be taken.")
    CLAIM_UNSETTLED = _warn(601, "claim_unsettled", "A bucket's write is uncertain.")
    CLAIM_WITHDRAWN = _info(602, "claim_withdrawn", "Given up; nothing was sent.")
    BUCKET_BAD = _error(603, "bucket_bad", "A claims bucket can't be read; refused.")
    INVARIANT_BROKEN = _error(901, "invariant_broken", "A promise doesn't hold: page.")


def list_events() -> list[Event]:
    """Return the catalogue in the order of the numbers."""
    found = [value for value in vars(Events).values() if isinstance(value, Event)]
    return sorted(found, key=lambda event: event.number)
