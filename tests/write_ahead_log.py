"""The layout of an SQLite write-ahead log (WAL): where its transactions end, places to cut it off or change
it, and one changed byte. See https://www.sqlite.org/fileformat2.html#the_write_ahead_log
"""

import pathlib
import struct

WAL_HEADER, FRAME_HEADER = 32, 24


def change_byte(path: pathlib.Path, at: int) -> None:
    data = bytearray(path.read_bytes())
    data[at] ^= 0xFF
    path.write_bytes(data)


def transactions(log: bytes) -> tuple[int, list[int]]:
    """The size of a frame, and the places at which transactions end."""
    frame = FRAME_HEADER + struct.unpack(">I", log[8:12])[0]
    ends = []
    for at in range(WAL_HEADER, len(log) - frame + 1, frame):
        if log[at + 8 : at + 16] != log[16:24]:
            break  # of an earlier run of the log
        if struct.unpack(">I", log[at + 4 : at + 8])[0]:
            ends.append(at + frame)
    return frame, ends


def cuts(log: bytes) -> list[tuple[str, int]]:
    frame, ends = transactions(log)
    middle, later = ends[len(ends) // 2], ends[3 * len(ends) // 4]
    return [
        ("nothing is left", 0),
        ("inside the log's header", WAL_HEADER // 2),
        ("after the log's header", WAL_HEADER),
        ("inside the first frame's header", WAL_HEADER + 12),
        ("inside the first page", WAL_HEADER + FRAME_HEADER + 1000),
        ("one byte before the first transaction's end", ends[0] - 1),
        ("at the first transaction's end", ends[0]),
        ("one byte before a transaction's end", middle - 1),
        ("at a transaction's end", middle),
        ("one byte after a transaction's end", middle + 1),
        ("inside a frame's header", middle + FRAME_HEADER // 2),
        ("at a frame header's end", middle + FRAME_HEADER),
        ("inside a page", middle + FRAME_HEADER + 2048),
        ("at a frame's end", middle + frame),
        ("inside the next frame's header", middle + frame + 8),
        ("inside a later page", later - frame // 2),
        ("at a later transaction's end", later),
        ("one byte before the last transaction's end", ends[-1] - 1),
        ("nothing is missing", len(log)),
    ]


def changed_bytes(log: bytes) -> list[tuple[str, int]]:
    frame, ends = transactions(log)
    middle = ends[len(ends) // 2]
    return [
        ("in the log's header", 17),
        ("in the first page", WAL_HEADER + FRAME_HEADER + 100),
        ("in a frame's header", middle + 2),
        ("in a frame's checksum", middle + 18),
        ("in a page", middle + FRAME_HEADER + 3000),
        ("in the last transaction's page", ends[-1] - 500),
    ]
