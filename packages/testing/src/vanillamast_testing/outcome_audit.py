"""Compares the answers to callers with the runs of backend servers."""

import dataclasses
from collections.abc import Iterable, Mapping

from vanillamast_testing.request_record import RequestRecord


@dataclasses.dataclass(slots=True)
class OutcomeAudit:
    """Requests whose outcome violates a guarantee, by request id.

    Attributes:
      doubled: Posts that ran more than once.
      missing: Posts that were answered with success but never ran.
      untrue: Requests refused as not run that ran.
      short: Answers with success whose body was short or another request's,
        without an error that the caller could see.
      lost: Requests without any answer.
    """

    doubled: list[str] = dataclasses.field(default_factory=list)
    missing: list[str] = dataclasses.field(default_factory=list)
    untrue: list[str] = dataclasses.field(default_factory=list)
    short: list[str] = dataclasses.field(default_factory=list)
    lost: list[str] = dataclasses.field(default_factory=list)

    def violations(self) -> dict[str, int]:
        """Returns the number of violations by a readable name."""
        return {
            "posts that ran twice": len(self.doubled),
            "posts answered but not run": len(self.missing),
            "refused as not run, but run": len(self.untrue),
            "short or foreign answers": len(self.short),
            "requests without an answer": len(self.lost),
        }


def audit_outcomes(
    records: Iterable[RequestRecord], runs: Mapping[str, int]
) -> OutcomeAudit:
    """Audits all requests of a load.

    Args:
      records: Requests as their callers saw them.
      runs: How often each request id began to run, over all servers.
    """
    audit = OutcomeAudit()
    for record in records:
        ran = runs.get(record.request_id, 0)
        if record.method == "POST" and ran > 1:
            audit.doubled.append(record.request_id)
        if record.method == "POST" and record.served and ran == 0:
            audit.missing.append(record.request_id)
        if record.not_run and ran > 0:
            audit.untrue.append(record.request_id)
        if record.cut_off and not record.error:
            audit.short.append(record.request_id)
        if record.status == 0:
            audit.lost.append(record.request_id)
    return audit
