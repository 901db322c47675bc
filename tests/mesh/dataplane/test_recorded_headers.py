"""Headers between sidecars are written and read as at commit d26c70f, to the byte.

A sidecar of another release is on the other side: what one writes, the other has to read.
"""

import unittest

from foxspread.mesh.dataplane import heads
from foxspread.mesh.dataplane.lasthop import Terms
from foxspread.net.http import Message
from tests.mesh.dataplane import recorded_headers as recorded

# All that these tests need of the code under test.


def message(name: bytes, value: bytes | None) -> Message:
    """One with that header, or without headers."""
    return Message(headers=[] if value is None else [(name, value)])


def forwarded(row: recorded.ForwardedHeaders) -> bytes:
    return b"".join(heads.kept(Message(headers=list(row.headers))))


def written_request(row: recorded.SentRequest) -> bytes:
    request = Message(method=row.method, target=b"/a/x?y=1", body=row.body)
    parts = heads.request(request, list(row.lines), row.remaining_s, row.caller, row.instance, row.extra)
    return b"".join(parts)


def written_terms(row: recorded.RequestTerms) -> bytes:
    return heads.hint(Terms(row.target_s, row.rank, row.safe, row.again), row.mark)


def parsed_terms(value: bytes | None) -> recorded.ParsedTerms:
    terms, mark = heads.terms(value)
    return recorded.ParsedTerms(value, terms.aim, terms.rank, terms.safe, terms.again, mark)


def written_outcome(row: recorded.ResponseOutcome) -> bytes:
    return heads.word(row.outcome, row.held, row.mark, row.reason)


def parsed_mark(value: bytes | None) -> bytes | None:
    return heads.mark(message(b"x-oRCHARD", value))


def belongs(response_id: bytes | None, request_id: bytes | None) -> bool:
    return heads.answers(message(b"X-Request-ID", response_id), message(b"X-Request-ID", request_id))


def parsed_request_id(value: bytes | None) -> bytes | None:
    return heads.request_id(message(b"X-Request-ID", value))


def parsed_deadline(value: bytes | None) -> float | None:
    return heads.deadline(message(b"x-deadline-ms", value))


OUTCOMES = (heads.SENT, heads.UNSENT, heads.LOST, heads.LATE)


class RecordedHeadersTest(unittest.TestCase):
    def test_headers_that_are_forwarded(self) -> None:
        for row in recorded.FORWARDED_HEADERS:
            with self.subTest(row.note):
                self.assertEqual(row.forwarded, forwarded(row))

    def test_requests_as_they_are_sent_on(self) -> None:
        for row in recorded.SENT_REQUESTS:
            with self.subTest(row.note):
                self.assertEqual(row.written, written_request(row))

    def test_terms_of_a_request(self) -> None:
        for row in recorded.REQUEST_TERMS:
            with self.subTest(row.line):
                self.assertEqual(row.line, written_terms(row))

    def test_terms_as_they_are_read(self) -> None:
        for row in recorded.PARSED_TERMS:
            with self.subTest(row.value):
                self.assertEqual(row, parsed_terms(row.value))

    def test_the_words_for_outcomes(self) -> None:
        self.assertEqual((b"sent", b"unsent", b"lost", b"late"), OUTCOMES)

    def test_outcome_of_a_response(self) -> None:
        for row in recorded.RESPONSE_OUTCOMES:
            with self.subTest(row.line):
                self.assertEqual(row.line, written_outcome(row))

    def test_marks_as_they_are_read(self) -> None:
        for row in recorded.PARSED_MARKS:
            with self.subTest(row.value):
                self.assertEqual(row.mark, parsed_mark(row.value))

    def test_request_ids(self) -> None:
        for row in recorded.RESPONSE_IDS:
            with self.subTest(response=row.response_id, request=row.request_id):
                self.assertEqual(row.parsed_id, parsed_request_id(row.response_id))
                self.assertIs(row.belongs, belongs(row.response_id, row.request_id))

    def test_deadlines(self) -> None:
        for row in recorded.DEADLINES:
            with self.subTest(row.value):
                self.assertEqual(row.seconds, parsed_deadline(row.value))


if __name__ == "__main__":
    unittest.main()
