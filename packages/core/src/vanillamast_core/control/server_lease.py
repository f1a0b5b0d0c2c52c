"""Lease of a node's local backend server."""

import msgspec

from vanillamast_core.announcement import Announcement
from vanillamast_core.control.server_report import ServerReport
from vanillamast_core.server_state import ServerState


class ServerLease:
    """Turns a backend server's reports into the instance's announcement.

    Attributes:
      lease_s: Time without a report after which the server counts as stopped.
      drained: Whether operators drained this instance.
      report: The last report while the lease is valid, None otherwise.
      renewed_at: When the lease was last renewed, None before the first time.
    """

    def __init__(self, lease_s: float):
        self.lease_s = lease_s
        self.drained = False
        self.report: ServerReport | None = None
        self.renewed_at: float | None = None

    def renew(self, report: ServerReport, now: float) -> None:
        """Renews the lease with a report."""
        self.report = report
        self.renewed_at = now

    def expire(self, now: float) -> None:
        """Ends the lease if its time has passed."""
        if self.renewed_at is None or self.report is None:
            return
        if now - self.renewed_at > self.lease_s:
            self.report = None

    def extend_after_pause(self, now: float) -> None:
        """Starts the lease's time again after a pause of this node's process.

        Renewals may still be in the socket buffers of the paused node, so the
        pause gives no information about the backend server.
        """
        if self.report is not None:
            self.renewed_at = now

    def to_announcement(self, own: Announcement, wall: float) -> Announcement:
        """Returns the announcement with the backend server's state.

        The incarnation is kept if nothing changed. Otherwise it rises to at
        least the wall time in milliseconds, so that a restarted node
        supersedes the announcements of its earlier process.
        """
        changed = self._with_report(own, wall)
        if changed == own:
            return own
        incarnation = max(own.incarnation + 1, int(wall * 1000))
        return msgspec.structs.replace(changed, incarnation=incarnation)

    def _with_report(self, own: Announcement, wall: float) -> Announcement:
        report = self.report
        if report is None:
            lost = self.renewed_at is not None
            state = ServerState.STOPPED if lost else ServerState.ABSENT
            return msgspec.structs.replace(own, state=state, serving_since_ms=0)
        state = report.server_state()
        if self.drained and state is ServerState.SERVING:
            state = ServerState.DRAINING
        since_ms = 0
        if state is ServerState.SERVING:
            since_ms = own.serving_since_ms or int(wall * 1000)
        return msgspec.structs.replace(
            own,
            service=report.service,
            server_version=report.version,
            server_address=report.address,
            slots=report.slots,
            connections=report.connections,
            state=state,
            serving_since_ms=since_ms,
        )
