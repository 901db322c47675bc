"""Starts one real sidecar; how it is told what to do is in foxspread/config.py, and foxspread/operator."""

import asyncio
import gc
import os
import signal
import sys

import uvloop
from loguru import logger

from foxspread import config
from foxspread.net import log
from foxspread.net.sidecar import Sidecar
from foxspread.operator import file as operator


async def serve(told: config.Config, added: operator.Operator) -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # Not asyncio's own, which writes to standard error and would block when that is full.
    loop.set_exception_handler(
        lambda loop, found: logger.opt(exception=found.get("exception")).error("{}", found.get("message"))
    )
    rules = None
    if added.agreed is not None:
        from foxspread.fleet_rules.sidecar_rules import SidecarRules  # the bare sidecar does not load it

        rules = SidecarRules(added.agreed, told.name, told.decisions)
    sidecar = Sidecar(loop, told, learnt=added.learnt, rules=rules)
    loop.add_signal_handler(signal.SIGHUP, reload, sidecar)
    gc.collect()
    gc.freeze()  # what is loaded stays: collections look at what comes and goes only,
    gc.set_threshold(10_000, 20, 20)  # and seldom: little of it is in cycles
    await sidecar.run(stop)


def reload(sidecar: Sidecar) -> None:
    """Guards against a faulty file: what is in force stays so."""
    try:
        sidecar.reloaded(config.read_again(os.environ))
    except config.ConfigError as error:
        logger.error("not reloaded: {}", error)


def main(args: list[str] | None = None) -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # by itself it ends a process; until there is a reload
    try:
        if args and (len(args) != 2 or args[0] != "--operator"):
            raise config.ConfigError(f"only --operator FILE may follow, not {' '.join(args)}")
        added = operator.read(args[1]) if args else operator.Operator()
        told = config.read(os.environ)
    except config.ConfigError as error:
        print(f"foxspread: {error}", file=sys.stderr)
        return 2
    sink = log.start()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(told, added))
    except config.ConfigError as error:  # what shows only in the descriptor passed
        print(f"foxspread: {error}", file=sys.stderr)
        return 2
    except OSError as error:  # the address cannot be had
        print(f"foxspread: {error.strerror or error}", file=sys.stderr)
        return 1
    finally:
        sink.close()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
