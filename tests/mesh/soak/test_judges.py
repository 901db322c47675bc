"""Each judge, shown a history that breaks its rule, and the nearest one that does not."""

from dataclasses import replace

import testtools

from foxspread.mesh.soak.history import (
    Bounds,
    Change,
    ConfigurationRead,
    Ending,
    History,
    MemorySample,
    ProcessEnd,
    ProcessStart,
    Request,
    Run,
    SignalSent,
)
from foxspread.mesh.soak.judge import violations

BOUNDS = Bounds(grace_s=6.0, in_touch_s=3.0, config_s=2.0, memory_mib=300.0)
TERM_AT = 100.0
# Sent 4 s after a SIGTERM, and cut 1.5 s later while its server works.
CUT = Request(
    id="q1",
    node="side-1",
    service="press",
    path="/unsafe/q1",
    body_checksum=7,
    idempotent=False,
    deadline_s=2.5,
    sent_at=TERM_AT + 4.0,
    kept=False,
    ended_at=TERM_AT + 5.5,
    ending=Ending.CLOSED,
)
SERVED = replace(CUT, ending=Ending.RESPONSE, status=200)
RUN = Run("q1", "i-1", "press", "/unsafe/q1", 7, TERM_AT + 4.01, None, "")
TERM = SignalSent(TERM_AT, "side-1", "SIGTERM")
ORDERLY_END = ProcessEnd(TERM_AT + 5.5, "side-1", 0)


class JudgesTest(testtools.TestCase):
    def rules(self, **events):
        """Returns the rules that a history with these events breaks."""
        return [each.rule for each in violations(History(BOUNDS, **events))]

    def cut(self, request=CUT, run=RUN, signals=(TERM,), ends=(ORDERLY_END,)):
        return self.rules(
            requests=[request], runs=[run] if run else [], signals=list(signals), process_ends=list(ends)
        )

    def test_a_request_cut_beside_a_sigterm(self):
        self.assertEqual(["LOST"], self.cut())
        for name, allowed in {
            "answered": replace(CUT, ending=Ending.RESPONSE, status=502),
            "the client left": replace(CUT, ending=Ending.LEFT),
            "the deadline": replace(CUT, ended_at=CUT.sent_at + CUT.deadline_s),
            "another machine": replace(CUT, node="side-2"),
            "after the grace period": replace(CUT, sent_at=TERM_AT + 6.5, ended_at=TERM_AT + 7.1),
            "early, at work in the second half": replace(CUT, sent_at=TERM_AT + 3.0),
        }.items():
            self.assertEqual([], self.cut(allowed), name)

    def test_an_early_request_whose_server_was_done(self):
        early = replace(CUT, sent_at=TERM_AT + 2.9, ended_at=TERM_AT + 5.3)
        self.assertEqual(["LOST"], self.cut(early, replace(RUN, ended_at=TERM_AT + 2.99)))
        self.assertEqual([], self.cut(early, replace(RUN, ended_at=TERM_AT + 3.0)))

    def test_a_cut_that_is_somebody_else_s(self):
        self.assertEqual([], self.cut(run=replace(RUN, fault="lose_answer")))
        self.assertEqual([], self.cut(run=None))
        for trouble in (
            SignalSent(CUT.sent_at - 2.9, "core-1", "SIGKILL"),
            SignalSent(CUT.ended_at, "side-2", "SIGSTOP"),
        ):
            self.assertEqual([], self.cut(signals=(TERM, trouble)), trouble)
        self.assertEqual(
            ["LOST"], self.cut(signals=(TERM, SignalSent(CUT.sent_at - 3.1, "core-1", "SIGKILL")))
        )

    def test_a_request_cut_beside_a_sighup(self):
        for sent_after_s, rules in ((1.9, ["LOST"]), (2.1, [])):
            hangup = SignalSent(CUT.sent_at - sent_after_s, "side-1", "SIGHUP")
            self.assertEqual(rules, self.cut(signals=(hangup,), ends=()))

    def test_kept_connections_closed_in_calm(self):
        for count, rules in ((3, []), (4, ["LOST"])):
            requests = [replace(CUT, id=f"q{number}", kept=True) for number in range(count)]
            runs = [replace(RUN, id=each.id) for each in requests]
            self.assertEqual(rules, self.rules(requests=requests, runs=runs))
            on_new = [replace(each, kept=False) for each in requests]
            self.assertEqual([], self.rules(requests=on_new, runs=runs))

    def test_twice(self):
        runs = [RUN, replace(RUN, instance="i-2")]
        self.assertEqual(["TWICE"], self.rules(requests=[SERVED], runs=runs))
        self.assertEqual([], self.rules(requests=[replace(SERVED, idempotent=True)], runs=runs))
        self.assertEqual([], self.rules(requests=[SERVED], runs=[RUN]))

    def test_refused(self):
        for status, rules in ((503, ["REFUSED"]), (429, ["REFUSED"]), (502, []), (504, [])):
            request = replace(SERVED, status=status)
            self.assertEqual(rules, self.rules(requests=[request], runs=[RUN]))
            self.assertEqual([], self.rules(requests=[request]))
            self.assertEqual([], self.rules(requests=[replace(request, idempotent=True)], runs=[RUN]))

    def test_mixed(self):
        wrong = replace(SERVED, response_error="the response belongs to another request")
        self.assertEqual(["MIXED"], self.rules(requests=[wrong], runs=[RUN]))
        self.assertEqual([], self.rules(requests=[SERVED], runs=[RUN]))

    def test_unasked(self):
        self.assertEqual([], self.rules(requests=[SERVED], runs=[RUN]))
        for run in (
            replace(RUN, id="q2"),
            replace(RUN, path="/unsafe/q2"),
            replace(RUN, body_checksum=8),
            replace(RUN, caller="cellar"),
        ):
            self.assertEqual(["UNASKED"], self.rules(requests=[SERVED], runs=[run]))

    def test_configuration(self):
        change = Change("r-1", 7, sent_at=10.0, acknowledged_at=11.0)
        for read, rules in (
            (ConfigurationRead("core-1", 13.1, {"r-1": 6}), ["CONFIG"]),
            (ConfigurationRead("core-1", 13.1, {}), ["CONFIG"]),
            (ConfigurationRead("core-1", 13.1, {"r-1": 8}), []),
            (ConfigurationRead("core-1", 12.9, {"r-1": 6}), []),
        ):
            self.assertEqual(rules, self.rules(changes=[change], reads=[read]), read)
            unclear = replace(change, acknowledged_at=None)
            self.assertEqual([], self.rules(changes=[unclear], reads=[read]))
        self.assertEqual(["CONFIG"], self.rules(silent_replicas=["core-1"]))

    def test_fault(self):
        self.assertEqual(["Fault"], self.rules(process_ends=[ORDERLY_END]))
        self.assertEqual([], self.rules(process_ends=[ORDERLY_END], signals=[TERM]))
        hangup = SignalSent(TERM_AT, "side-1", "SIGHUP")
        self.assertEqual(
            ["Fault"], self.rules(process_ends=[replace(ORDERLY_END, code=-1)], signals=[hangup])
        )
        second = replace(ORDERLY_END, at=TERM_AT + 9.0)  # one signal explains one end
        self.assertEqual(["Fault"], self.rules(process_ends=[ORDERLY_END, second], signals=[TERM]))

    def test_an_end_within_a_second_of_the_start(self):
        end = replace(ORDERLY_END, code=-1)
        for after_s, rules in ((0.9, []), (1.1, ["Fault"])):
            starts = [ProcessStart(end.at - after_s, "side-1"), ProcessStart(end.at, "side-2")]
            self.assertEqual(rules, self.rules(process_ends=[end], process_starts=starts))

    def test_memory(self):
        for mib, rules in ((299.0, []), (301.0, ["Fault"])):
            samples = [MemorySample(1.0, "side-1", mib), MemorySample(2.0, "side-1", mib)]
            self.assertEqual(rules, self.rules(memory=samples))
