"""Times and durations of the operators' language."""

import dataclasses
import datetime
import re
from typing import Protocol

from vanillamast_cli.errors import UsageError

UNIT_S = {"d": 86_400, "h": 3_600, "m": 60, "s": 1}


class Deadline(Protocol):
    """A point in time given in a command."""

    def resolve(self, now: float) -> float:
        """Returns the Unix time of the deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class ByTime:
    """A deadline as a time of day or a date and time."""

    text: str

    def resolve(self, now: float) -> float:
        """Returns the Unix time of the deadline."""
        return parse_time(self.text, now)


@dataclasses.dataclass(frozen=True, slots=True)
class InDuration:
    """A deadline as a duration from now."""

    seconds: float

    def resolve(self, now: float) -> float:
        """Returns the Unix time of the deadline."""
        return now + self.seconds


def parse_duration(text: str) -> float:
    """Returns the seconds of a duration such as "1h30m"."""
    parts = re.findall(r"(\d+)([dhms])", text)
    return float(sum(int(count) * UNIT_S[unit] for count, unit in parts))


def parse_time(text: str, now: float) -> float:
    """Returns a time in seconds since the epoch.

    Args:
      text: "14:30" is the next such time; "2026-12-04T14:30" may end in
        seconds and an offset. Without an offset times are UTC.
      now: Current Unix time.

    Raises:
      UsageError: The text is not a valid time.
    """
    current = datetime.datetime.fromtimestamp(now, datetime.UTC)
    try:
        if "T" in text:
            moment = datetime.datetime.fromisoformat(text)
            if moment.tzinfo is None:
                moment = moment.replace(tzinfo=datetime.UTC)
            return moment.timestamp()
        hour, minute = map(int, text.split(":"))
        moment = current.replace(
            hour=hour, minute=minute, second=0, microsecond=0
        )
    except ValueError as error:
        raise UsageError(f"{text}: {error}") from error
    if moment <= current:
        moment += datetime.timedelta(days=1)
    return moment.timestamp()


def format_time(time_s: float) -> str:
    """Formats a Unix time as a UTC date and time."""
    moment = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")
