"""Network I/O of a `LeaseHolder`: sends its requests to the coordinators, watches for a later phase and
fetches versions. The holder makes all decisions. Each sidecar has one client.
"""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

from foxspread.config import Address
from foxspread.consensus.client import call
from foxspread.fleet_rules import codec
from foxspread.fleet_rules.lease_holder import EffectiveRules, LeaseHolder, LeaseRequest
from foxspread.net.http import BadMessage

CALL_ERRORS = (OSError, TimeoutError, BadMessage, KeyError, TypeError, ValueError)
CALL_SECONDS = 2.5  # timeout of a call: longer than a coordinator waits for a majority (2 s)
WATCH_SECONDS = 10  # after which a coordinator answers a watch without a change
REFETCH_SECONDS = 0.05  # mean delay after a version could not be fetched
WATCH_RETRY_SECONDS, MAX_WATCH_RETRY_SECONDS = 0.05, 2.0  # backoff after a failed watch, doubled each time
EXPIRY_CHECK_SECONDS, MIN_EXPIRY_CHECK_SECONDS = 0.5, 0.005  # between two checks for an expired lease


class LeaseClient:
    """Keeps the lease of a holder renewed. Starts at once, in the running event loop; `close` ends it.

    `on_change` is called whenever the effective rules change, `on_renewal` after each grant. Callers still
    have to ask `holder.may_act` right before they act.
    """

    def __init__(
        self,
        holder: LeaseHolder,
        clock: Callable[[], float],
        coordinators: Sequence[Address],
        chance: Callable[[], float],
        on_change: Callable[[EffectiveRules], None] = lambda effective: None,
        on_renewal: Callable[[], None] = lambda: None,
    ) -> None:
        self.holder, self.clock, self.coordinators, self.chance = holder, clock, list(coordinators), chance
        self.on_change, self.on_renewal, self.last_reported = on_change, on_renewal, (None, 0)
        self.wake_up = asyncio.Event()
        self.coordinator_index = int(chance() * len(self.coordinators))
        self.calls, self.failed_calls = 0, 0
        self.tasks = [
            asyncio.create_task(self._renew()),
            asyncio.create_task(self._watch()),
            asyncio.create_task(self._report_expiry()),
        ]

    def _coordinator(self) -> Address:
        return self.coordinators[self.coordinator_index % len(self.coordinators)]

    def _switch_coordinator(self) -> None:
        self.failed_calls += 1
        self.coordinator_index += 1 + int(self.chance() * max(1, len(self.coordinators) - 1))

    def _report_change(self) -> None:
        effective = self.holder.effective(self.clock())
        if (effective.mode, effective.phase) != self.last_reported:
            self.last_reported = (effective.mode, effective.phase)
            self.on_change(effective)
        self.wake_up.set()

    async def _renew(self) -> None:
        while True:
            self.wake_up.clear()
            wait = self.holder.wake_at() - self.clock()
            if wait > 0:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait):
                        await self.wake_up.wait()
            if (request := self.holder.request_due(self.clock())) is not None:
                await self._send(request)

    async def _send(self, request: LeaseRequest) -> None:
        self.calls += 1
        body = codec.encode_request(request)
        try:
            reply = await call(self._coordinator(), "POST", "/lease", body, CALL_SECONDS)
            grant = codec.decode_grant(reply.value[codec.GRANT])
        except CALL_ERRORS:
            return self._switch_coordinator()
        self.holder.on_grant(self.clock(), request, grant)
        for number in self.holder.missing_versions():
            await self._fetch(number)
        self._report_change()
        self.on_renewal()

    async def _fetch(self, number: int) -> None:
        try:
            reply = await call(self._coordinator(), "GET", f"/rules/{number}", timeout_s=CALL_SECONDS)
            text = reply.value["version"]["content"].encode()
        except CALL_ERRORS:
            self._switch_coordinator()
            retry_at = self.clock() + REFETCH_SECONDS * (0.5 + self.chance())
            return self.holder.request_now(retry_at)
        self.holder.on_content(self.clock(), number, text)

    async def _watch(self) -> None:
        """Waits for a later phase with one call at a time. Renewal goes on when such a call fails."""
        backoff = WATCH_RETRY_SECONDS
        while True:
            try:
                path = f"/phase?known={self.holder.phase}&wait={WATCH_SECONDS}"
                reply = await call(self._coordinator(), "GET", path, timeout_s=WATCH_SECONDS + CALL_SECONDS)
                if int(reply.value["phase"]) > self.holder.phase:
                    self.holder.request_now(self.clock())
                    self.wake_up.set()
                    await asyncio.sleep(0.01)  # lets the renewal start before the next watch
                backoff = WATCH_RETRY_SECONDS
            except CALL_ERRORS:
                self.failed_calls += 1
                await asyncio.sleep(backoff * (0.5 + self.chance()))
                backoff = min(2 * backoff, MAX_WATCH_RETRY_SECONDS)

    async def _report_expiry(self) -> None:
        """Reports a lease that expires while no response comes."""
        while True:
            now = self.clock()
            time_left = self.holder.next_expiry(now) - now
            await asyncio.sleep(min(EXPIRY_CHECK_SECONDS, max(MIN_EXPIRY_CHECK_SECONDS, time_left)))
            self._report_change()

    async def close(self) -> None:
        """Cancels all calls."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
