"""The links of one node, and the effects of the current call."""

from vanillamast_core.peers.effects import CloseLink, PeerEffect, Send
from vanillamast_core.peers.link import Link
from vanillamast_core.peers.message import Message


class LinkTable:
    """All links, and the one in use for each linked peer.

    Attributes:
      own_instance: Name of this instance.
      unresponsive_s: A link without messages for this long is replaced by a
        new one.
      by_id: All links.
      by_instance: The link in use for each peer that sent its Hello.
      dialed_addresses: Addresses of links that this node dialed, with or
        without a Hello.
      effects: Effects that the current call of the mesh will return.
    """

    def __init__(self, own_instance: str, unresponsive_s: float):
        self.own_instance = own_instance
        self.unresponsive_s = unresponsive_s
        self.by_id: dict[int, Link] = {}
        self.by_instance: dict[str, Link] = {}
        self.dialed_addresses: set[str] = set()
        self.effects: list[PeerEffect] = []

    def send(self, link: Link, message: Message) -> None:
        """Sends a message on a link."""
        self.effects.append(Send(link.id, message))

    def flood(self, message: Message, source: Link | None = None) -> None:
        """Sends a message to all linked peers except its source."""
        for link in self.by_instance.values():
            if link is not source:
                self.effects.append(Send(link.id, message))

    def add(self, link: Link) -> None:
        """Adds a link that came up."""
        self.by_id[link.id] = link
        if link.dialed_address is not None:
            self.dialed_addresses.add(link.dialed_address)

    def close(self, link: Link) -> None:
        """Closes a link from this side."""
        self.effects.append(CloseLink(link.id))
        self.remove(link)

    def remove(self, link: Link) -> None:
        """Removes a link; another link to the same peer replaces it."""
        self.by_id.pop(link.id, None)
        if link.dialed_address is not None:
            self.dialed_addresses.discard(link.dialed_address)
        if self.by_instance.get(link.instance) is not link:
            return
        del self.by_instance[link.instance]
        for other in self.by_id.values():
            if other.instance == link.instance:
                self.by_instance[other.instance] = other
                return

    def assign_peer(self, link: Link, instance: str, now: float) -> bool:
        """Sets the peer of a link and closes a duplicate link to it.

        Returns:
          Whether the link stays.
        """
        link.instance = instance
        other = self.by_instance.get(instance)
        if other is None or other is link:
            self.by_instance[instance] = link
            return True
        duplicate = self._choose_duplicate(link, other, now)
        if duplicate is None:
            self.by_instance[instance] = link
            return True
        if duplicate is other:
            self.by_instance[instance] = link
        self.close(duplicate)
        return duplicate is not link

    def _choose_duplicate(
        self, new: Link, old: Link, now: float
    ) -> Link | None:
        """Returns the link to close; both ends choose the same one.

        Of two links dialed by different ends, the one dialed by the end with
        the lower name stays. Of two links dialed by the same end, the newer
        one stays; only that end knows the order, so it closes the other. An
        unresponsive link never stays.
        """
        if (new.dialed_address is None) == (old.dialed_address is None):
            return None if new.dialed_address is None else old
        if now - old.last_received_at > self.unresponsive_s:
            return old
        mine = new if new.dialed_address is not None else old
        theirs = old if mine is new else new
        return theirs if self.own_instance < new.instance else mine
