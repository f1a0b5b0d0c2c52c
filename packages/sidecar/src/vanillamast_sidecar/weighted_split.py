"""Exact shares of a route's services."""


class WeightedSplit:
    """Smooth weighted round robin over services.

    Every window of requests gets its shares to within one request, which a
    random choice reaches only in the long run.

    Attributes:
      split: Services and their weights.
      credits: Accumulated weight of each service.
      total: Sum of the weights.
    """

    def __init__(self, split: tuple[tuple[str, float], ...]):
        self.split = split
        self.credits = [0.0] * len(split)
        self.total = sum(weight for _, weight in split)

    def choose(self) -> str:
        """Returns the service for the next request."""
        if len(self.split) == 1:
            return self.split[0][0]
        credits = self.credits
        for index, (_, weight) in enumerate(self.split):
            credits[index] += weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= self.total
        return self.split[best][0]
