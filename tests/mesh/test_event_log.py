"""The event log and its subscribed views."""

import weakref

import testtools

from foxspread.mesh.event_log import MAX_SUMMARY_CHARACTERS, EventKind, EventLog

ITEMS, RECORD = EventKind.ITEMS_COMMITTED, EventKind.RECORD_UPDATED


class EventLogTest(testtools.TestCase):
    def test_a_view_gets_the_events_of_its_kind_before_append_returns(self) -> None:
        log, seen = EventLog(lambda: 7.0), []
        log.subscribe(ITEMS, seen.append)
        log.append(RECORD, "n")
        self.assertEqual([], seen)
        log.append(ITEMS, ["item"])
        self.assertEqual([(2, 7.0, ITEMS, ["item"])], [(e.number, e.at, e.kind, e.body) for e in seen])

    def test_an_event_appended_by_a_view_follows_the_current_event(self) -> None:
        log, order = EventLog(lambda: 0.0), []
        log.subscribe(ITEMS, lambda event: log.append(RECORD, "n"))
        log.subscribe(ITEMS, lambda event: order.append(event.kind))
        log.subscribe(RECORD, lambda event: order.append(event.kind))
        log.append(ITEMS)
        self.assertEqual([ITEMS, RECORD], order)

    def test_a_view_that_fails_does_not_stop_later_events(self) -> None:
        log, seen = EventLog(lambda: 0.0), []

        def fail(event: object) -> None:
            raise ValueError("broken view")

        log.subscribe(ITEMS, fail)
        log.subscribe(RECORD, seen.append)
        self.assertRaises(ValueError, log.append, ITEMS)
        log.append(RECORD, "n")
        self.assertEqual(1, len(seen))

    def test_only_the_newest_events_are_kept(self) -> None:
        log = EventLog(lambda: 0.0, tail_length=3)
        for _ in range(5):
            log.append(RECORD, "n")
        self.assertEqual([3, 4, 5], [event.number for event in log.tail])

    def test_bodies_are_not_kept(self) -> None:
        # Guards against a memory that grows with each change of the configuration, by the size of the change.
        class Body(list):
            pass  # a list to which there can be weak references

        log, references = EventLog(lambda: 0.0), []
        for _ in range(3):
            body = Body(["item"] * 700)
            references.append(weakref.ref(body))
            log.append(ITEMS, body)
        del body
        self.assertEqual([None] * 3, [reference() for reference in references])
        self.assertEqual(["700 items"] * 3, [event.body for event in log.tail])
        log.append(RECORD, "n" * 1000)
        self.assertEqual(MAX_SUMMARY_CHARACTERS, len(log.tail[-1].body))
