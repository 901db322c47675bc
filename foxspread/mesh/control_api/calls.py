"""The types of a control API call: its request, its responses, and the resources that handle it."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from foxspread.mesh.errors import Failure


@dataclass(frozen=True, slots=True)
class Request:
    """A request to `/api/RESOURCE.CALL/ID`; the id is empty if the path has none."""

    id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Document:
    """A successful response: status 200 with a JSON object."""

    content: Mapping[str, Any]


EMPTY = Document({})


@dataclass(frozen=True, slots=True)
class Redirect:
    """A redirect to the process that handles the call: status 307 (RFC 9110)."""

    location: str  # a URL


Response = Document | Redirect | Failure  # a failure is sent as its status and its reason
Handler = Callable[[Request], Awaitable[Response]]
Route = tuple[str, str]  # HTTP method and name of a call, both in lower case


class Resource(Protocol):
    """A named group of calls."""

    def handlers(self) -> Mapping[Route, Handler]:
        """Returns the handler of each call of this resource."""
