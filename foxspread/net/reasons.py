"""Reasons why a connection ended. Their codes stand in the log, one line per connection; docs/oncall.md
explains them."""

from enum import Enum


class CloseReason(Enum):
    """Why a connection of a client, to a server, of the admin API or to discovery ended."""

    # Connections of clients.
    CLIENT_CLOSED = "C-CLOSED"  # closed by the client between requests
    CLIENT_LEFT = "C-LEFT"  # closed by the client before the answer to its request
    CLIENT_RESET = "C-RESET"  # broken
    CLIENT_SLOW = "C-SLOW"  # the client did not send its request, or take its answer, in time
    CLIENT_BAD = "C-BAD"  # the request was refused as malformed; the status is in the line
    CLIENT_FINAL_RESPONSE = "C-LAST"  # one side announced that the answer was the last
    CLIENT_TRUNCATED = "C-CUT"  # the server broke off after a part of its answer was passed on
    CLIENT_RECLAIMED = "C-ROOM"  # closed while idle, for want of descriptors
    CLIENT_IDLE = "C-IDLE"  # idle for too long
    CLIENT_STOPPING = "C-STOP"  # closed while idle, because the sidecar stops
    CLIENT_HANDED_OVER = "C-NEXT"  # closed after an answer, because a successor serves now
    CLIENT_INTERNAL_ERROR = "C-FAULT"  # an exception in the sidecar; the line before shows it
    # Connections to servers.
    SERVER_REFUSED = "S-REFUSED"  # the connection could not be opened
    SERVER_CONNECT_TIMEOUT = "S-SILENT"  # the connection was not up in time
    SERVER_BROKEN = "S-BROKEN"  # broken before the last byte of the request was written
    SERVER_RESET = "S-RESET"  # broken or ended after that, before the whole answer
    SERVER_TIMEOUT = "S-LATE"  # the attempt timed out
    SERVER_CANCELLED = "S-OFF"  # the attempt was cancelled
    SERVER_BAD = "S-BAD"  # the answer was malformed or too long
    SERVER_FINAL_RESPONSE = "S-LAST"  # the server announced that the answer was the last
    SERVER_EXTRA_BYTES = "S-MORE"  # more bytes came than belong to the answer
    SERVER_CLOSED = "S-CLOSED"  # closed by the server while idle
    SERVER_IDLE = "S-IDLE"  # idle for too long
    SERVER_REPLACED = "S-MOVED"  # the endpoint list shows a restart of the server, or no longer the server
    SERVER_BY_OPERATOR = "S-HAND"  # the operator disabled or enabled the server
    SERVER_RECLAIMED = "S-ROOM"  # closed while idle, for want of descriptors
    SERVER_INTERNAL_ERROR = "S-FAULT"  # an exception in the sidecar; a line near by shows it
    SERVER_STOPPING = "S-STOP"  # closed because the sidecar stops
    # Connections to the admin API.
    ADMIN_DONE = "O-DONE"  # the call was answered; the call and its status are in the line
    ADMIN_BAD = "O-BAD"  # malformed; the line says how
    ADMIN_SLOW = "O-SLOW"  # the caller did not send its call, or take the answer, in time
    ADMIN_RECLAIMED = "O-ROOM"  # closed in favour of another caller
    ADMIN_LEFT = "O-LEFT"  # closed or broken by the caller before a whole call
    ADMIN_INTERNAL_ERROR = "O-FAULT"  # an exception in the sidecar; the line before shows it
    # Connections to discovery.
    WATCH_REFUSED = "D-REFUSED"  # no connection, or a status other than 200
    WATCH_TIMEOUT = "D-SILENT"  # no line for too long, or the connection was not up in time
    WATCH_ENDED = "D-ENDED"  # ended by discovery
    WATCH_BAD = "D-BAD"  # what came was not an endpoint list
    WATCH_STOPPED = "D-STOP"  # the sidecar stops
