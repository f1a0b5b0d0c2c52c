"""Opens the node's listening sockets."""

import socket

BACKLOG = 1024
# Connections accepted before the event loop goes on. They count towards no
# limit until then, so many at once could take all descriptors.
ACCEPTS_AT_ONCE = 16


def open_socket(address: str) -> socket.socket:
    """Returns a listening socket for "ip:port".

    The socket names its protocol because asyncio sets TCP_NODELAY only then.
    Without TCP_NODELAY a response of two writes waits 40 ms for a delayed
    acknowledgement.

    Raises:
      OSError: The address cannot be used.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((host, int(port)))
        opened.listen(BACKLOG)
        opened.setblocking(False)
    except OSError:
        opened.close()
        raise
    return opened
