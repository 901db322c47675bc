"""A version's text as it is acted on, for coordinators and sidecars alike."""

import functools
import hashlib

from foxspread.fleet_rules import compatibility, rules_parser
from foxspread.fleet_rules.lease_holder import Content


@functools.lru_cache(maxsize=128)  # asked for again with each step; what is given is never changed
def content(text: bytes) -> Content:
    """Raises `ConfigError`, `compatibility.NoRule` with key and value."""
    found = rules_parser.read(text)
    full = compatibility.checked(found.rules)
    return Content(full, compatibility.alone_of(full, found.alone), hashlib.sha256(text).hexdigest())
