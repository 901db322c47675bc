"""The resource `Config`: changes and reads of the operator's configuration."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Literal, Protocol

from foxspread.mesh.configuration.document import configuration_document
from foxspread.mesh.configuration.items import Item
from foxspread.mesh.control_api.calls import EMPTY, Document, Handler, Redirect, Request, Response, Route
from foxspread.mesh.errors import Failure, InvalidRequest, OutcomeUnknown
from foxspread.mesh.log import log_event

if TYPE_CHECKING:
    from foxspread.mesh.replication.acceptor import Acceptor

SUSPENDED_REASON = "this process stood still: the call may be an old copy"


class Replica(Protocol):
    """The interface of a replica that the resource uses (`replication.replica_server`)."""

    acceptor: "Acceptor | None"  # `learner.items` are the items in force; None: storage is not open yet

    def submit(self, items: list[Item]) -> Awaitable[Literal[True] | Failure]:
        """Commits a change by a quorum; without items, confirms that the items in force are current."""


class ConfigurationResource:
    """Handles the calls on a replica; on other processes, redirects them to a replica.

    `replica_address` returns the control address of a replica, or None if none is known. `may_be_outdated`
    returns whether a request that is read now may have been sent long ago. Such a request is not executed,
    because its caller may have sent it to another process since.
    """

    def __init__(
        self,
        replica: Replica | None,
        replica_address: Callable[[], str | None],
        may_be_outdated: Callable[[], bool] = lambda: False,
    ) -> None:
        self.replica, self.replica_address, self.may_be_outdated = replica, replica_address, may_be_outdated
        self._handlers = {("post", "patch"): self.patch, ("get", "get"): self.get}

    def handlers(self) -> Mapping[Route, Handler]:
        """Returns the handlers of `Config.Patch` and `Config.Get`."""
        return self._handlers

    async def patch(self, request: Request) -> Response:
        """Changes the configuration: applies all items of the call or none."""
        if self.replica is None:
            return self._redirect("Config.Patch")
        if self.may_be_outdated():
            return OutcomeUnknown(SUSPENDED_REASON)
        items = await _parse_in_slices(request.body)
        if isinstance(items, InvalidRequest):
            log_event("config_refused", why=items.reason)
            return items
        if self.may_be_outdated():
            return OutcomeUnknown(SUSPENDED_REASON)
        outcome = await self.replica.submit(items)
        _log_change(items, outcome)
        return EMPTY if outcome is True else outcome

    async def get(self, request: Request) -> Response:
        """Returns all items in force, including every change acknowledged before the call."""
        if self.replica is None:
            return self._redirect("Config.Get")
        if self.may_be_outdated():
            return OutcomeUnknown(SUSPENDED_REASON)
        outcome = await self.replica.submit([])
        if outcome is not True:
            return outcome
        return Document(configuration_document(self._items()))

    def _items(self) -> Iterable[Item]:
        return self.replica.acceptor.learner.items.values()

    def _redirect(self, call: str) -> Response:
        address = self.replica_address()
        if not address:
            return OutcomeUnknown("no machine with a disk is known")
        return Redirect(f"http://{address}/api/{call}")


async def _parse_in_slices(body: bytes) -> list[Item] | InvalidRequest:
    """Parses a call in slices, with other tasks between them: a large call must not delay requests."""
    from foxspread.mesh.configuration.validation import (
        parse_call,
    )  # imported here: sidecars must not load cerberus

    items: list[Item] = []
    for step in parse_call(body):
        if isinstance(step, InvalidRequest):
            return step
        if step is None:
            await asyncio.sleep(0)
        else:
            items.append(step)
    return items


def _log_change(items: list[Item], outcome: Literal[True] | Failure) -> None:
    log_event(
        "config",
        items=len(items),
        outcome="settled" if outcome is True else outcome.reason,
        first=f"{items[0].name}@r{items[0].version}" if items else "",
    )
