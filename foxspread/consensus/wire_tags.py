"""The tags of message types on the wire: the first element of each message's array.

Running coordinators of other versions depend on the tags, so they don't change when a class is renamed.
"""

REQUEST_VOTE = "ask_vote"
REQUEST_VOTE_REPLY = "vote"
APPEND_ENTRIES = "append"
APPEND_ENTRIES_REPLY = "appended"
INSTALL_SNAPSHOT = "install"
INSTALL_SNAPSHOT_REPLY = "installed"
TIMEOUT_NOW = "hand_over"
READ_INDEX = "read_ask"
READ_INDEX_REPLY = "read_is"
HOST_MESSAGE = "note"
STORAGE_CHECK = "hello"
STORAGE_CHECK_REPLY = "welcome"
STORAGE_REJECTED = "objection"
PUT_VERSION = "put"
