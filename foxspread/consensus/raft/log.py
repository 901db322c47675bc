"""The in-memory log of one node: the entries after its snapshot ([R] 5.3 and 7).

Indexes start at 1, as in [R]. `base` is the index of the last entry that the snapshot replaces; terms of
earlier entries are no longer known.
"""

from foxspread.consensus.records import LogEntry


class RaftLog:
    """Entries after index `base`; `base_term` is the term of the entry at `base`."""

    def __init__(self, base: int, base_term: int, entries: list[LogEntry]) -> None:
        self.base, self.base_term, self.entries = base, base_term, entries

    @property
    def last_index(self) -> int:
        """Index of the last entry; that of the snapshot if the log is empty."""
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the entry at `last_index`."""
        return self.entries[-1].term if self.entries else self.base_term

    def term(self, index: int) -> int | None:
        """Returns the term of the entry at `index`; None before the snapshot and after the end."""
        if index == self.base:
            return self.base_term
        return self.entries[index - self.base - 1].term if self.base < index <= self.last_index else None

    def entry(self, index: int) -> LogEntry:
        """Returns the entry at `index`, which must be after `base`."""
        return self.entries[index - self.base - 1]

    def entries_after(self, index: int, max_bytes: int) -> list[LogEntry]:
        """Returns the entries after `index`, limited to `max_bytes` but at least one if there is any."""
        batch: list[LogEntry] = []
        size = 0
        for position in range(index - self.base, len(self.entries)):
            size += self.entries[position].size()
            if batch and size > max_bytes:
                break
            batch.append(self.entries[position])
        return batch

    def append(self, entry: LogEntry) -> None:
        """Adds an entry at the end."""
        self.entries.append(entry)

    def replace_from(self, first_index: int, entries: list[LogEntry]) -> None:
        """Replaces all entries from `first_index` on by `entries`."""
        self.entries[first_index - self.base - 1 :] = entries

    def discard_through(self, index: int, term: int) -> None:
        """Drops the entries up to `index`, which a snapshot has replaced."""
        self.entries = self.entries[index - self.base :]
        self.base, self.base_term = index, term
