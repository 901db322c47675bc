"""Why a connection ended: the codes of the log, one line a connection. docs/oncall.md explains them."""

from enum import Enum


class Reason(Enum):
    # Of clients' connections.
    CLIENT_CLOSED = "C-CLOSED"  # by the client, between lookups
    CLIENT_LEFT = "C-LEFT"  # by the client, with its lookup out
    CLIENT_RESET = "C-RESET"  # it broke
    CLIENT_SLOW = "C-SLOW"  # did not take its answer, or not send its lookup, in time
    CLIENT_BAD = "C-BAD"  # what it sent was refused; the status is in the line
    CLIENT_LAST = "C-LAST"  # one side said that the answer was the last
    CLIENT_CUT = "C-CUT"  # its answer broke off at the server, when a part was passed on
    CLIENT_ROOM = "C-ROOM"  # closed while idle, for want of descriptors
    CLIENT_IDLE = "C-IDLE"  # idle for too long
    STOPPING = "C-STOP"  # closed while idle, because the sidecar ends
    HANDED_OVER = "C-NEXT"  # after an answer, because a successor serves from now on
    CLIENT_FAULT = "C-FAULT"  # an exception in the sidecar; the line before it tells which
    # Of connections to servers.
    SERVER_REFUSED = "S-REFUSED"  # no connection came about
    SERVER_SILENT = "S-SILENT"  # it never came up
    SERVER_BROKEN = "S-BROKEN"  # broke before the last byte was written
    SERVER_RESET = "S-RESET"  # broke or ended after that, before a whole answer
    SERVER_LATE = "S-LATE"  # the hand-off timed out
    CALLED_OFF = "S-OFF"  # the hand-off was called off
    SERVER_BAD = "S-BAD"  # its answer was malformed or oversized
    SERVER_LAST = "S-LAST"  # it said that the answer was the last
    SERVER_MORE = "S-MORE"  # more than belongs to its answer came with it
    SERVER_CLOSED = "S-CLOSED"  # by the server, while idle
    SERVER_IDLE = "S-IDLE"  # idle for too long
    SERVER_MOVED = "S-MOVED"  # the list no longer shows the server, or shows a new start
    SERVER_HAND = "S-HAND"  # the server was taken out, or called back, by hand
    SERVER_ROOM = "S-ROOM"  # closed while idle, for want of descriptors
    SERVER_FAULT = "S-FAULT"  # an exception in the sidecar; a line near by tells which
    SERVER_STOP = "S-STOP"  # closed because the sidecar ends
    # Of operators' connections.
    CALL_DONE = "O-DONE"  # the call was answered; which, and the status, are in the line
    CALL_BAD = "O-BAD"  # what came was no call; the fault is in the line
    CALL_SLOW = "O-SLOW"  # no whole call in time, or the answer not taken
    CALL_ROOM = "O-ROOM"  # made way for another caller
    CALL_LEFT = "O-LEFT"  # the caller ended or broke it before a whole call
    CALL_FAULT = "O-FAULT"  # an exception in the sidecar; the line before it tells which
    # Of connections to discovery.
    WATCH_REFUSED = "D-REFUSED"  # no connection, or another answer than 200
    WATCH_SILENT = "D-SILENT"  # no line for too long, or never came up
    WATCH_ENDED = "D-ENDED"  # by discovery
    WATCH_BAD = "D-BAD"  # what came was no list
    WATCH_STOP = "D-STOP"  # the sidecar ends
