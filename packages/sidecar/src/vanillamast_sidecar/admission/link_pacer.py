"""Paces long responses to the bandwidth of the node's link."""

# Share of the bandwidth that long responses may use. The rest is left for
# requests, short responses and pings.
USED_SHARE = 0.8
BITS_PER_MEGABIT = 1e6


class LinkPacer:
    """Tells when the link has carried the long responses before.

    A server can answer faster than its link carries long responses. Those
    that pile up in the kernel delay all others, also the pings by which other
    nodes see that this one works.

    Attributes:
      bytes_per_s: Rate of long responses; None without a known bandwidth.
      free_at: When the link has carried what was reserved, in loop time.
    """

    def __init__(self, link_mbps: float):
        self.bytes_per_s: float | None = None
        if link_mbps > 0.0:
            self.bytes_per_s = USED_SHARE * link_mbps * BITS_PER_MEGABIT / 8.0
        self.free_at = 0.0

    def reserve(self, size: int, now: float) -> float:
        """Returns in how many seconds a response may be sent.

        Args:
          size: Size of the response, in bytes.
          now: Loop time, in seconds.
        """
        if self.bytes_per_s is None:
            return 0.0
        start = max(now, self.free_at)
        self.free_at = start + size / self.bytes_per_s
        return start - now
