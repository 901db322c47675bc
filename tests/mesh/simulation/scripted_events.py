"""Schedules written by hand."""

from foxspread.mesh.simulation.events import Event, EventKind


def scripted_events(*rows: tuple) -> list[Event]:
    """Events from rows of time, kind, machine (from 1), and the duration of a fault or a call's items."""
    return [
        Event(at, kind, where - 1, *((0.0, tuple(more)) if kind == EventKind.CALL else more))
        for at, kind, where, *more in rows
    ]
