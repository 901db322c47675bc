"""The bytes of this package on the wire, in the log and in files, as recorded before its names changed."""

import asyncio
import json
import pathlib
import unittest
from dataclasses import asdict
from types import SimpleNamespace
from unittest import mock

import msgspec

from foxspread.fleet_rules import lease_client
from foxspread.fleet_rules.rollout import Announce, Close, Command, Course, Drop, Force, Open, Terms, Withdraw
from foxspread.fleet_rules.lease_holder import Ask, Grant, Holder, Kept
from foxspread.fleet_rules.coordinator_process import StewardProcess
from foxspread.fleet_rules.lease_manager import Heard, Report
from foxspread.consensus.coordinator import Answer, Status
from foxspread.consensus.messages import encoded
from foxspread.consensus.versions import Put

RECORDED = json.loads((pathlib.Path(__file__).parents[1] / "data/wire/fleet_rules.json").read_text())
TEXT = b'[settings]\nsiblings = 4\n[[settings.categories]]\nname = "docs"\nabandon_time_us = 1500000\n'
COMMANDS = {
    "put": Put("r1", TEXT, -1, "me", "first", 12.5, 1),
    "terms": Terms(1.5, 4.0, 0.02, 1),
    "open": Open(["s1/a", "s2/b"]),
    "close": Close(["s2/b"]),
    "announce": Announce(1),
    "force": Force(1),
    "withdraw": Withdraw(3, "s1/a", "it does not fit"),
    "drop": Drop(1),
}
REPORT = Report({"s1/a": Heard(2), "s2/b": Heard(1, 2, "not known")})
KEPT = Kept("boot", 3, {"settings.siblings": 8}, 12.25)


def course() -> Course:
    """After all commands but `drop`, and a second version that is withdrawn."""
    it = Course()
    for name in ("put", "terms", "open", "close", "announce", "force"):
        it.apply(encoded(COMMANDS[name]))
    for command in (Put("r2", TEXT + b"#2\n"), Announce(2), COMMANDS["withdraw"]):
        it.apply(encoded(command))
    return it


class Log(unittest.TestCase):
    def test_each_command_of_the_log_is_the_recorded_bytes(self) -> None:
        for name, command in COMMANDS.items():
            with self.subTest(name):
                self.assertEqual(encoded(command).hex(), RECORDED["commands"][name])
                data = bytes.fromhex(RECORDED["commands"][name])
                self.assertEqual(msgspec.msgpack.decode(data, type=Command), command)

    def test_the_report_of_a_member_is_the_recorded_bytes(self) -> None:
        self.assertEqual(encoded(REPORT).hex(), RECORDED["report"])
        found = msgspec.msgpack.decode(bytes.fromhex(RECORDED["report"]), type=Report)
        self.assertEqual(encoded(found), encoded(REPORT))

    def test_the_snapshot_is_the_recorded_bytes_both_ways(self) -> None:
        self.assertEqual(course().saved().hex(), RECORDED["snapshot"])
        again = Course()
        again.restore(bytes.fromhex(RECORDED["snapshot"]))
        self.assertEqual(again.saved().hex(), RECORDED["snapshot"])


class Http(unittest.TestCase):
    def test_an_ask_is_the_recorded_body_and_its_answer_is_read(self) -> None:
        calls = []

        async def call(at: str, *told: object) -> SimpleNamespace:
            calls.append(told)
            return SimpleNamespace(value=json.loads(RECORDED["grant"]))

        async def main() -> Holder:
            holder = Holder(0.0, "s1/a", lambda text: None, lambda: 0.5)
            with mock.patch.object(lease_client, "call", call):
                it = lease_client.Follower(holder, lambda: 1.0, ["at"], lambda: 0.5)
                await it._asked(Ask("s1/a", 1.0, 2, 3, "not known"))
                await it.close()
            return holder

        holder = asyncio.run(main())
        self.assertEqual(calls[0][:3], ("POST", "/lease", RECORDED["ask"].encode()))
        self.assertEqual((holder.lease, holder.drift), (1.5, 0.05))

    def test_a_coordinator_answers_an_ask_by_the_recorded_body(self) -> None:
        process, asks = object.__new__(StewardProcess), []

        async def ask(call: object, ask: Ask) -> Answer:
            asks.append(ask)
            return Answer(1, Status.DONE, Grant(4, 1, 2, 1.5, 4.0, 0.05), "c1")

        process._ask, process.host = ask, SimpleNamespace(ask=None)
        status, body = asyncio.run(process._lease(json.loads(RECORDED["ask"])))
        self.assertEqual((status, body.decode()), (200, RECORDED["grant"]))
        self.assertEqual(asks, [Ask("s1/a", 0.0, 2, 3, "not known")])

    def test_a_coordinator_shows_the_course_in_the_recorded_form(self) -> None:
        process = object.__new__(StewardProcess)
        lead = SimpleNamespace(heard={"s1/a": 1.0}, told={"s1/a": Heard(3, 4, "not known")})
        process.host = SimpleNamespace(course=course(), lead=lead)
        process.told, process.clock = SimpleNamespace(name="c1"), lambda: 3.5
        self.assertEqual(json.dumps(process.course()), RECORDED["course"])
        process.host.lead = None
        self.assertEqual(json.dumps(process.course()), RECORDED["course of a follower"])


class File(unittest.TestCase):
    def test_what_is_kept_over_a_restart_is_the_recorded_text(self) -> None:
        self.assertEqual(json.dumps(asdict(KEPT)), RECORDED["kept"])
        self.assertEqual(Kept(**json.loads(RECORDED["kept"])), KEPT)
