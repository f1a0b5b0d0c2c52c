"""Tracks which organisations' counts each receiver has not been sent."""


class ChangeTracker:
    """Ids that changed since the last message, for each receiver.

    Attributes:
      receivers: Connection to each receiver and the ids that changed since the
        last message on it, by the receiver's address.
    """

    def __init__(self) -> None:
        self.receivers: dict[str, tuple[object, set[int]]] = {}

    def mark(self, organisation_id: int) -> None:
        """Notes that an organisation's counts have changed."""
        for _, changed in self.receivers.values():
            changed.add(organisation_id)

    def take(self, address: str, connection: object) -> set[int] | None:
        """Returns what changed since the last message to a receiver.

        Returns None for the first message on a connection: messages on an
        earlier one may have been lost, so everything has to be sent.
        """
        known = self.receivers.get(address)
        self.receivers[address] = (connection, set())
        if known is None or known[0] is not connection:
            return None
        return known[1]

    def retain(self, addresses: set[str]) -> None:
        """Forgets all receivers but these."""
        for address in self.receivers.keys() - addresses:
            del self.receivers[address]
