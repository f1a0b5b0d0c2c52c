"""Search for a free slot before a request waits for one."""

# Servers that are asked for a free slot before a request waits. Each answer
# brings the server's load of this moment. With three quarters of the slots in
# use, five servers without a free slot in a row are rare.
MAX_ASKED_SERVERS = 4


class SlotSearch:
    """Decides whether a request asks another server or waits.

    Load reports are older than most requests last, and many nodes choose by
    the same reports, so a server that looks free may have no slot any more. A
    request that may not wait is refused by such a server at once and asks
    another one. Only then does it wait, at the server that the answers show to
    be the best.

    Attributes:
      busy: Ids of servers that had no free slot.
      is_over: Whether the request has to wait now.
    """

    def __init__(self) -> None:
        self.busy: set[str] = set()
        self.is_over = False

    def add_busy(self, instance_id: str) -> None:
        """Counts a server that had no free slot."""
        self.busy.add(instance_id)
        self.is_over = self.is_over or len(self.busy) >= MAX_ASKED_SERVERS

    def end(self) -> None:
        """Ends the search, as there is no further server to ask."""
        self.is_over = True
