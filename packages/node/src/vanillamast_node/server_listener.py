"""Receives the announcements of the local backend server."""

from collections.abc import Callable

import falcon
import falcon.asgi
import msgspec
from vanillamast_core.control import ServerReport
from vanillamast_core.server_state import ServerState

# Reports have less than a kilobyte.
MAX_REPORT_BYTES = 65_536

# Returns whether the backend server should drain; None if the report names
# another service than the node's settings.
ReportHandler = Callable[[ServerReport], bool | None]


class AnnounceResource:
    """`POST /v1/announce`.

    Attributes:
      handle_report: Passes a report to the core.
      lease_s: Duration of the lease, which the response states.
    """

    def __init__(self, handle_report: ReportHandler, lease_s: float):
        self.handle_report = handle_report
        self.lease_s = lease_s

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Renews the backend server's lease."""
        try:
            data = await req.stream.read(MAX_REPORT_BYTES + 1)
            if len(data) > MAX_REPORT_BYTES:
                raise falcon.HTTPContentTooLarge(title="report_too_large")
            report = msgspec.json.decode(data, type=ServerReport)
            report.server_state()
        except (msgspec.MsgspecError, KeyError, RecursionError) as error:
            raise falcon.HTTPBadRequest(
                title="invalid_announcement",
                description=f"{error}; states: {state_names()}",
            ) from error
        drain = self.handle_report(report)
        if drain is None:
            raise falcon.HTTPConflict(
                title="wrong_service",
                description=f"this node serves another than {report.service}",
            )
        resp.media = {"lease_s": self.lease_s, "drain": drain}


def state_names() -> str:
    """Returns the names of the states, comma separated."""
    return ", ".join(state.name.lower() for state in ServerState)


def make_server_app(
    handle_report: ReportHandler, lease_s: float
) -> falcon.asgi.App:
    """Returns the ASGI application for the backend server's announcements."""
    app = falcon.asgi.App()
    app.add_route("/v1/announce", AnnounceResource(handle_report, lease_s))
    return app
