"""A version's text turned into the rules that are acted on, for coordinators and sidecars alike."""

import functools
import hashlib
from dataclasses import dataclass

from foxspread.fleet_rules import compatibility, rules_parser
from foxspread.fleet_rules.flat_rules import FlatRules

CACHED_VERSIONS = 128  # a version is needed again at each phase; parsing one takes milliseconds


@dataclass(frozen=True)
class VersionContent:
    """A version that was checked. `alone`: what a sidecar acts on whose lease has expired; `digest`: SHA-256
    of the text, in hex."""

    rules: FlatRules
    alone: FlatRules
    digest: str = ""


@functools.lru_cache(maxsize=CACHED_VERSIONS)  # what is returned is shared, and never changed
def parse_version(text: bytes) -> VersionContent:
    """Raises `ConfigError` or `UnsupportedRuleError`, with key and value."""
    parsed = rules_parser.parse(text)
    rules = compatibility.with_defaults(parsed.rules)
    alone = compatibility.alone_rules(rules, parsed.alone)
    return VersionContent(rules, alone, hashlib.sha256(text).hexdigest())
