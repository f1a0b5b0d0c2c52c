"""How long the requests of a route take, compared with others."""

from collections.abc import Container

# Weight of the newest request in a moving mean over about 20 requests.
NEWEST_WEIGHT = 0.1
# Bounds of a ratio, so that a few outliers do not exclude all servers.
MIN_RATIO = 0.1
MAX_RATIO = 10.0


class RouteDurations:
    """Learns the ratio of a route's duration to the mean of its server.

    Servers report the mean time of all their requests. Where short lookups
    share a service with long exports, that mean says little about either.

    Attributes:
      ratios: Ratio and number of requests by route and service.
    """

    def __init__(self) -> None:
        self.ratios: dict[tuple[str, str], tuple[float, int]] = {}

    def get_ratio(self, route: str, service: str) -> float:
        """Returns the expected ratio, 1 if nothing is known."""
        return self.ratios.get((route, service), (1.0, 0))[0]

    def add(
        self, route: str, service: str, took_s: float, mean_s: float
    ) -> None:
        """Counts a request that did not wait for a slot.

        Args:
          route: Name of its route.
          service: Service that ran it.
          took_s: Time from sending to the response.
          mean_s: Mean time of all requests at the server.
        """
        if mean_s <= 0.0:
            return
        ratio = min(MAX_RATIO, max(MIN_RATIO, took_s / mean_s))
        mean, count = self.ratios.get((route, service), (1.0, 0))
        weight = max(NEWEST_WEIGHT, 1.0 / (count + 1))
        self.ratios[(route, service)] = (
            mean + (ratio - mean) * weight,
            count + 1,
        )

    def keep_routes(self, routes: Container[str]) -> None:
        """Forgets routes that no longer exist."""
        self.ratios = {
            key: value for key, value in self.ratios.items() if key[0] in routes
        }
