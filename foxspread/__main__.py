"""Starts a sidecar in service. foxspread/config.py and foxspread/operator_config read its configuration."""

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
from foxspread.operator_config import file as operator_file


async def serve(settings: config.Config, operator: operator_file.OperatorConfig) -> None:
    """Runs a sidecar until SIGTERM or SIGINT."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # Replaces asyncio's handler, which writes to standard error and would block when that is full.
    loop.set_exception_handler(
        lambda loop, context: logger.opt(exception=context.get("exception")).error(
            "{}", context.get("message")
        )
    )
    rules = None
    if operator.agreed is not None:
        from foxspread.fleet_rules.sidecar_rules import SidecarRules  # not loaded by the bare sidecar

        rules = SidecarRules(operator.agreed, settings.name, settings.decisions)
    sidecar = Sidecar(loop, settings, learnt=operator.learnt, rules=rules)
    loop.add_signal_handler(signal.SIGHUP, reload, sidecar)
    gc.collect()
    gc.freeze()  # collections skip the loaded modules, which stay,
    gc.set_threshold(10_000, 20, 20)  # and are rare, since few objects are in reference cycles
    await sidecar.run(stop)


def reload(sidecar: Sidecar) -> None:
    """Reads the configuration again. If it is faulty, the one in force stays."""
    try:
        sidecar.reload(config.read_again(os.environ))
    except config.ConfigError as error:
        logger.error("not reloaded: {}", error)


def main(args: list[str] | None = None) -> int:
    """Returns the exit status: 2 for a faulty configuration, 1 if the sidecar cannot listen."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until `reload` handles it; the default ends the process
    try:
        if args and (len(args) != 2 or args[0] != "--operator"):
            raise config.ConfigError(f"only --operator FILE may follow, not {' '.join(args)}")
        operator = operator_file.read(args[1]) if args else operator_file.OperatorConfig()
        settings = config.read(os.environ)
    except config.ConfigError as error:
        print(f"foxspread: {error}", file=sys.stderr)
        return 2
    writer = log.start()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(settings, operator))
    except config.ConfigError as error:  # the inherited socket is checked only now
        print(f"foxspread: {error}", file=sys.stderr)
        return 2
    except OSError as error:  # cannot listen
        print(f"foxspread: {error.strerror or error}", file=sys.stderr)
        return 1
    finally:
        writer.close()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
