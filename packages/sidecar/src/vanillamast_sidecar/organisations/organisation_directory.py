"""Finds the organisation of a request by its API key."""

from collections.abc import Iterable

from vanillamast_sidecar.http.http_message import Headers
from vanillamast_sidecar.organisations.bearer_key import (
    AUTHORIZATION,
    read_key,
)
from vanillamast_sidecar.organisations.key_hasher import KeyHasher
from vanillamast_sidecar.organisations.key_refusal import KeyRefusal
from vanillamast_sidecar.organisations.organisation import Organisation
from vanillamast_sidecar.organisations.refusal_reason import RefusalReason
from vanillamast_sidecar.routing.route import Route

# Priorities from here on count as this one, so that ranks fit the integers of
# messages between nodes.
LEAST_URGENT = 2**16 - 1


class OrganisationDirectory:
    """Organisations of one configuration version.

    It is never changed: another version gets a directory of its own.

    Attributes:
      active: Whether the configuration has organisations; if not, requests
        are neither identified nor changed.
      hasher: Hashes unknown keys for logs.
    """

    def __init__(
        self, organisations: Iterable[Organisation], hasher: KeyHasher
    ):
        organisations = tuple(organisations)
        self.active = bool(organisations)
        self.hasher = hasher
        # The hashes of bytes depend on a random seed of the process, so callers
        # cannot choose keys that collide.
        self._by_key = {
            key.encode(): organisation
            for organisation in organisations
            for key in organisation.api_keys
        }

    def identify(
        self, headers: Headers, route: Route
    ) -> Organisation | KeyRefusal | None:
        """Returns the organisation that sent a request, or a refusal.

        Args:
          headers: Header fields of the request; names in lower case.
          route: Its route.

        Returns:
          None if the request has no organisation and needs none.
        """
        if not self.active:
            return None
        key = read_key(headers)
        if isinstance(key, RefusalReason):
            return KeyRefusal(key) if route.requires_key else None
        organisation = self._by_key.get(key)
        if organisation is None and route.requires_key:
            return KeyRefusal(RefusalReason.UNKNOWN, self.hasher.hash_key(key))
        return organisation

    def forward_headers(
        self, headers: Headers, field: bytes, organisation: Organisation | None
    ) -> Headers:
        """Returns header fields with the organisation in place of the key.

        Args:
          headers: Header fields to forward; names in lower case.
          field: Name of the field that names the organisation.
          organisation: Organisation that sent the request, if any.
        """
        if not self.active:
            return headers
        removed = (AUTHORIZATION, field)
        forwarded = [item for item in headers if item[0] not in removed]
        if organisation is not None:
            forwarded.append((field, organisation.name.encode()))
        return forwarded

    def get_priority(
        self, route: Route, organisation: Organisation | None
    ) -> int:
        """Returns the priority of a request; the lowest is the most urgent.

        The organisation's priority decides before that of the route. Without
        organisations, it is the priority of the route as it stands.
        """
        if not self.active:
            return route.priority
        first = route.priority
        if organisation is not None and organisation.priority is not None:
            first = organisation.priority
        return _limit(first) * (LEAST_URGENT + 1) + _limit(route.priority)


def _limit(priority: int) -> int:
    return min(LEAST_URGENT, max(0, priority))
