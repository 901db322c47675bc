"""The types of a call of the control API: its request, its responses, and the resources that answer it."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from foxspread.mesh.errors import Failure


@dataclass(frozen=True, slots=True)
class Request:
    """A call `/api/RESOURCE.CALL/ID`; the id is empty where the path has none."""

    id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Document:
    """The call came about; answered with 200 and this JSON object."""

    content: Mapping[str, Any]


EMPTY = Document({})


@dataclass(frozen=True, slots=True)
class Redirect:
    """Another process answers the call; answered with 307 (RFC 9110)."""

    location: str  # a URL


Response = Document | Redirect | Failure  # a failure is answered with its status and its reason
Handler = Callable[[Request], Awaitable[Response]]
Route = tuple[str, str]  # method and name of a call, both in lower case


class Resource(Protocol):
    """A group of calls that concern one thing."""

    def handlers(self) -> Mapping[Route, Handler]:
        """The calls that there are."""
