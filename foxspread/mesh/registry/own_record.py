"""Versions of the endpoint record that this process publishes about itself.

A version consists of the incarnation of the process and a counter. The incarnation is taken from the wall
clock, which may have been set back since an earlier start: if peers still hold a newer version of this node's
record, the incarnation is raised above it. This module does no I/O.
"""

from typing import Any

from foxspread.mesh.registry.endpoint_records import UP, EndpointRecord
from foxspread.mesh.registry.incarnations import unpack_instance
from foxspread.mesh.settings import Address


class OwnRecord:
    """State and newest version of this node's record; `incarnation` is in microseconds of the wall clock."""

    def __init__(self, node: str, inbound: Address | None, incarnation: int) -> None:
        self.node, self.inbound = node, inbound
        self.incarnation, self.counter = incarnation, 0
        self.state = UP

    @property
    def version(self) -> tuple[int, int]:
        """Version of the record that was published last."""
        return self.incarnation, self.counter

    def next_record(self, zone: str, instances: list[list[Any]]) -> EndpointRecord:
        """Returns a new record to publish; `instances` are packed rows of the servers beside this process."""
        self.counter += 1
        servers = tuple(unpack_instance(each) for each in instances)
        return EndpointRecord(self.node, self.version, zone, self.state, self.inbound, servers)

    def supersede(self, version: tuple[int, int]) -> bool:
        """Raises the incarnation above a version that a peer holds, if that is newer than the own one.

        Returns whether it was newer, so that a new record must be published.
        """
        if version <= self.version:
            return False
        self.incarnation = version[0] + 1
        return True
