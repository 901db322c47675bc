"""The HTTP interface of a coordinator: parses requests and builds replies, both in JSON.

Operators, scripts and sidecars depend on the spelling of paths, parameters and keys
(docs/operators/coordinators.md). The keys of versions and members are defined only in this module.
"""

import json
import re
import time
from typing import Any

import msgspec

from foxspread.config import address
from foxspread.consensus.coordinator import Answer, Status
from foxspread.consensus.records import Members
from foxspread.consensus.transport import HttpReply
from foxspread.consensus.versions import (
    ANY_VERSION,
    MAX_TEXT_CHARACTERS,
    PutVersion,
    RequestIdReused,
    Version,
    VersionConflict,
    VersionStore,
    VersionWritten,
)
from foxspread.net import http

MAX_WATCH_S = 30.0  # longest wait of a watch, below the idle timeouts of proxies
HISTORY_PAGE_SIZE = 500  # versions in one reply
MAX_DIGITS = 11  # of a version number
MAX_REFUSALS = (1 << 20) - 1
HTTP_STATUS = {Status.DONE: 200, Status.NOT_LEADER: 421, Status.REJECTED: 400, Status.UNKNOWN: 504}
JsonObject = dict[str, Any]  # docs/operators/coordinators.md lists the keys
IDENTIFIER = re.compile(r"[A-Za-z0-9._:-]{1,64}")


def json_reply(code: int, **values: Any) -> HttpReply:
    """Builds a reply whose body is a JSON object with these keys."""
    return HttpReply(code, json.dumps(values).encode() + b"\n")


def rejected_reply(code: int, reason: str) -> HttpReply:
    """Builds the reply to a rejected request."""
    return json_reply(code, status="refused", why=reason)


def is_version_number(text: str) -> bool:
    """Returns whether a text has the form of a version number."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def watch_parameters(message: http.Message) -> tuple[int, float]:
    """Returns the version that the caller already has, and the seconds to wait. Raises ValueError."""
    known, wait = (http.query_parameter(message.target, key) or "0" for key in ("known", "wait"))
    if not (is_version_number(known) and wait.isascii() and wait.isdigit()):
        raise ValueError(f"'known' and 'wait' must be whole numbers, not {known[:20]!r}, {wait[:20]!r}")
    return int(known), min(float(wait), MAX_WATCH_S)


def version_number(path: str) -> int:
    """Returns the version number in a path, 0 for the latest. Raises ValueError."""
    text = path.removeprefix("/rules").strip("/")
    if text and not is_version_number(text):
        raise ValueError(f"'{text[:40]}' is not a version number")
    return int(text or 0)


def put_request(body: bytes) -> tuple[PutVersion, JsonObject]:
    """Returns the put in a request body, and the decoded body. Raises ValueError, `msgspec.DecodeError`."""
    fields = msgspec.json.decode(body, type=JsonObject)
    content = fields.get("content")
    if not isinstance(content, str):
        raise ValueError("'content' must be text")
    request_id, if_version = fields.get("request"), fields.get("if_version", ANY_VERSION)
    if not isinstance(request_id, str) or IDENTIFIER.fullmatch(request_id) is None:
        raise ValueError("'request' must be an id, the same for all attempts of one put")
    if not _is_integer(if_version):
        raise ValueError("'if_version' must be a whole number")
    author, comment = (fields.get(key, "") for key in ("who", "why"))
    if not all(isinstance(text, str) and len(text) <= MAX_TEXT_CHARACTERS for text in (author, comment)):
        raise ValueError(f"'who' and 'why' must be texts of at most {MAX_TEXT_CHARACTERS} characters")
    refusals = fields.get("refusals", 0)
    if not _is_integer(refusals) or not 0 <= refusals <= MAX_REFUSALS:
        raise ValueError(f"'refusals' must be a whole number from 0 to {MAX_REFUSALS}")
    put = PutVersion(request_id, content.encode(), if_version, author, comment, time.time(), refusals)
    return put, fields


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def membership_request(body: bytes) -> tuple[str, str | None]:
    """Returns name and address of a member to add; the address is None for a member to remove.

    Raises ValueError, `msgspec.DecodeError`, `ConfigError`.
    """
    fields = msgspec.json.decode(body, type=dict[str, str | None])
    if IDENTIFIER.fullmatch(name := fields.get("name") or "") is None:
        raise ValueError(f"'name' must be an id, not {name[:60]!r}")
    return name, str(address(fields["address"], "address")) if fields.get("address") else None


def transfer_request(body: bytes) -> str:
    """Returns the member to which leadership is to be transferred. Raises `msgspec.DecodeError`."""
    return msgspec.json.decode(body, type=dict[str, str]).get("to", "")


def answer_reply(answer: Answer, coordinator: str, members: Members, with_content: bool) -> HttpReply:
    """Builds the HTTP reply of an answer, which also names the leader and its address."""
    value = answer.value
    common = {"leader": answer.leader, "coordinator": coordinator}
    leader = members.get(answer.leader)
    if leader is not None:
        common["leader_address"] = leader.address
    if isinstance(value, VersionWritten):
        version = version_json(value.version, with_content)
        return json_reply(200, status="done", version=version, **common)
    if isinstance(value, VersionConflict):
        latest = version_json(value.latest, False) if value.latest else None
        return json_reply(409, status="conflict", expected=value.expected, latest=latest, **common)
    if isinstance(value, RequestIdReused):
        reason = "this request id was already used for a different content"
        version = version_json(value.version, False)
        return json_reply(409, status="refused", why=reason, version=version, **common)
    if isinstance(value, Version):
        return json_reply(200, status="done", version=version_json(value, with_content), **common)
    if answer.status is Status.DONE:
        return json_reply(200, status="done", version=None, **common)
    return json_reply(HTTP_STATUS[answer.status], status=answer.status.value, why=str(value), **common)


def history_reply(message: http.Message, store: VersionStore) -> HttpReply:
    """Builds a page of this node's versions, the latest first; all are committed. Raises ValueError."""
    before = http.query_parameter(message.target, "before") or "0"
    if not is_version_number(before):
        raise ValueError(f"'before' must be a version number, not {before[:40]!r}")
    end = store.latest + 1
    first = min(int(before) or end, end) - 1
    numbers = range(first, max(0, first - HISTORY_PAGE_SIZE), -1)
    versions = [store.by_number[number] for number in numbers if number in store.by_number]
    return json_reply(200, status="done", versions=[version_json(each, False) for each in versions])


def version_json(version: Version, with_content: bool) -> JsonObject:
    """Returns a version's JSON object."""
    fields = {
        "number": version.number,
        "digest": version.digest,
        "follows": version.previous,
        "who": version.author,
        "why": version.comment,
        "at": version.written_at,
        "request": version.request_id,
        "size": len(version.content),
    }
    return fields | {"content": version.content.decode(errors="replace")} if with_content else fields
