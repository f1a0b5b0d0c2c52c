"""Load that a backend server states in its responses."""

import dataclasses

from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.http.http_message import HttpResponse

# Values beyond these are no statement about a machine.
MIN_PACE = 10
MAX_PACE = 10_000
# Running, waiting, slots and pace.
NUMBERS_WITH_PACE = 4


@dataclasses.dataclass(slots=True, frozen=True)
class ServerLoad:
    """Load of a server.

    Attributes:
      running: Requests that it runs.
      waiting: Requests that wait at the server.
      slots: Requests that it runs at once.
      pace: How long work takes on its machine now, in percent of the usual
        time; 0 if it is not stated.
    """

    running: int
    waiting: int
    slots: int
    pace: int = 0


def read_server_load(
    response: HttpResponse, fields: FieldNames
) -> ServerLoad | None:
    """Returns the load that a response states, None without a valid one."""
    value = response.get_header(fields.server_load)
    if value is None:
        return None
    try:
        numbers = [int(part) for part in value.split(b",")]
    except ValueError:
        return None
    if len(numbers) < NUMBERS_WITH_PACE - 1 or min(numbers) < 0:
        return None
    pace = 0
    if len(numbers) >= NUMBERS_WITH_PACE:
        pace = min(MAX_PACE, max(MIN_PACE, numbers[3]))
    return ServerLoad(numbers[0], numbers[1], numbers[2], pace)
