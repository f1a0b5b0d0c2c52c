"""Deterministic split of requests by weight."""


class WeightedSplit:
    """Smooth weighted round robin over services.

    In every window of requests, each service gets its share to within one
    request; a random choice is that exact only in the long run.

    Attributes:
      split: Services and their weights.
      credits: Weight that each service has accumulated and not yet used.
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
