"""Quotas of workspaces at one entry VM."""

import asyncio
from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._heartbeats import Heartbeats
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.steering import Heartbeat, Members
from catkindrift.workspaces import (
    FixedShares,
    QuotaBounds,
    QuotaMessage,
    QuotaReply,
    QuotaReport,
    QuotaShare,
    QuotaShares,
    Workspace,
)

# As often as heartbeats: shorter intervals cost bytes, longer ones leave more
# requests that the owner doesn't know of.
_INTERVAL_SECONDS = 0.5
# With 87 VMs the owner fell so far behind with its replies that 0.74 of all
# requests were refused on a quiet day; with 21 VMs it keeps up.
_MAX_OWNED_VMS = 32


@final
@attrs.define(eq=False, repr=False)
class Quotas:
    """Admits requests of workspaces, and exchanges messages with the owner.

    Args:
        clock: Source of time.
        state: Source of the workspaces.
        members: Entry VMs that share the quotas.
        heartbeats: Carries the messages.
        metrics: Counts decisions and messages.
        bounds: Limits on the requests of a workspace.
    """

    _clock: Clock
    _state: PlatformState
    _members: Members
    _heartbeats: Heartbeats
    _metrics: GatewayMetrics
    _bounds: QuotaBounds
    _shares: QuotaShares = attrs.field(init=False)
    _limited: tuple[Workspace, ...] = attrs.field(init=False, default=())
    _fixed: FixedShares = attrs.field(init=False, factory=FixedShares)
    _vm_count: int = attrs.field(init=False, default=1)

    def __attrs_post_init__(self) -> None:
        """Start without a share."""
        own = self._heartbeats.own_member
        self._shares = QuotaShares(
            own.name, own.started_ms, self._clock.now_ms(), self._bounds
        )

    def apply(self, bounds: QuotaBounds) -> None:
        """Apply reloaded bounds, from the next report on."""
        self._shares.bounds = bounds

    async def run(self) -> None:
        """Report to the owner until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(_INTERVAL_SECONDS)

    def tick(self) -> None:
        """Apply members and workspaces, and report to the owner."""
        configuration = self._state.configuration
        workspaces = (
            configuration.workspaces.workspaces if configuration else ()
        )
        limited = tuple(each for each in workspaces if each.has_quota)
        if not limited and not self._limited:
            return
        self._limited = limited
        self._vm_count = len(self._members.names)
        if self._is_large():
            return
        self._shares.update(
            self._members.sharers,
            [each.name for each in self._members.alive()],
            limited,
        )
        self._report()

    def try_admit(self, workspace: Workspace) -> float:
        """Decide on one request.

        Returns:
            0 if it is admitted, otherwise the milliseconds until there may be
            room for it.
        """
        now_ms = self._clock.now_ms()
        if self._is_large():
            wait_ms = self._fixed.try_admit(
                workspace, self._shares.bounds, self._vm_count, now_ms
            )
        else:
            wait_ms = self._shares.try_admit(workspace, now_ms)
        decision = 'refused' if wait_ms else 'admitted'
        self._metrics.quota_requests.labels(decision).inc()
        if not self._is_large() and self._shares.is_report_due(now_ms):
            self._report()
        return wait_ms

    def give_back(self, workspace: Workspace) -> None:
        """Take back the admission of a request that was not run."""
        if self._is_large():
            self._fixed.give_back(workspace)
        else:
            self._shares.give_back(workspace)
        self._metrics.quota_requests.labels('given_back').inc()

    def share(self, workspace: Workspace) -> QuotaShare:
        """Return what this VM may admit of a workspace, for the log."""
        return self._shares.share(workspace, self._clock.now_ms())

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take the message in a heartbeat and answer the reports."""
        message = heartbeat.quota
        if message is None:
            return
        sender = heartbeat.sender.name
        for reply in message.replies:
            self._shares.apply(sender, reply, self._clock.now_ms())
        self._shares.apply_update(sender, message.busy)
        for report in message.reports:
            self._answer(report)

    def _is_large(self) -> bool:
        """Return whether the fleet is too large for one owner of quotas."""
        return self._vm_count > _MAX_OWNED_VMS

    def _report(self) -> None:
        report = self._shares.report(self._clock.now_ms())
        if report.owner == self._heartbeats.own_member.name:
            self._answer(report)
        else:
            self._send(
                'report', QuotaMessage(reports=(report,)), (report.owner,)
            )

    def _answer(self, report: QuotaReport) -> None:
        """Answer a report, and tell all VMs which workspaces are busier."""
        reply = self._shares.owner.answer(report, self._clock.now_ms())
        if reply:
            self._reply(reply)
        busy = self._shares.owner.take_update()
        if busy:
            self._shares.apply_update(self._heartbeats.own_member.name, busy)
            others = [each.name for each in self._members.alive()]
            self._send('update', QuotaMessage(busy=busy), others)

    def _reply(self, reply: QuotaReply) -> None:
        own_name = self._heartbeats.own_member.name
        if reply.vm == own_name:
            self._shares.apply(own_name, reply, self._clock.now_ms())
        else:
            self._send('reply', QuotaMessage(replies=(reply,)), (reply.vm,))

    def _send(
        self, kind: str, message: QuotaMessage, names: Iterable[str]
    ) -> None:
        sent = self._heartbeats.send_quota_message(message, frozenset(names))
        self._metrics.quota_messages.labels(kind).inc(sent)
