"""Settings of the load generator."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """What a caller sends.

    Attributes:
      targets: "ip:port" of the nodes, used in turn.
      rate: Requests a second, sent on schedule whether or not earlier ones
        are answered.
      duration_s: Time for which requests are sent.
      reads: Paths of GET requests.
      posts: Paths of non-idempotent POST requests.
      post_share: Share of posts.
      answer_bytes: Size of the answers asked for.
      post_bytes: Size of the posts' bodies.
      delay_ms: Extra work that the backend server is asked for.
      deadline_ms: Deadline sent with each request.
      timeout_s: Time after which the caller gives up.
      repeats: How often a post without a clear answer is sent again with
        the same key.
      max_outstanding: Requests in flight; beyond it requests are dropped and
        counted as overrun.
      seed: Seed of the mix and of the request ids.
    """

    targets: tuple[str, ...]
    rate: float = 50.0
    duration_s: float = 5.0
    reads: tuple[str, ...] = ("/",)
    posts: tuple[str, ...] = ()
    post_share: float = 0.0
    answer_bytes: int = 512
    post_bytes: int = 256
    delay_ms: float = 0.0
    deadline_ms: int = 2000
    timeout_s: float = 5.0
    repeats: int = 0
    max_outstanding: int = 500
    seed: int = 1
