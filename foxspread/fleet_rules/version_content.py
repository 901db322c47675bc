"""Parses the text of a version into its rules, for coordinators and sidecars."""

import functools
import hashlib
from dataclasses import dataclass

from foxspread.fleet_rules import compatibility, rules_parser
from foxspread.fleet_rules.flat_rules import FlatRules

CACHED_VERSIONS = 128  # each phase needs the version again, and parsing takes milliseconds


@dataclass(frozen=True)
class VersionContent:
    """Validated content of a version.

    alone: the rules of a sidecar whose lease has expired.
    digest: SHA-256 of the text, in hex.
    """

    rules: FlatRules
    alone: FlatRules
    digest: str = ""


@functools.lru_cache(maxsize=CACHED_VERSIONS)  # callers share the result and must not change it
def parse_version(text: bytes) -> VersionContent:
    """Parses and validates a version. Raises `ConfigError` or `UnsupportedRuleError`, with key and value."""
    parsed = rules_parser.parse(text)
    rules = compatibility.with_defaults(parsed.rules)
    alone = compatibility.alone_rules(rules, parsed.alone)
    return VersionContent(rules, alone, hashlib.sha256(text).hexdigest())
