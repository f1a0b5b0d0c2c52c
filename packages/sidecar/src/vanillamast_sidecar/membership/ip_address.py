"""IP addresses with a port, as text."""

import ipaddress

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def is_ip_address(text: str) -> bool:
    """Returns whether a text is an IP address and a port."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit()) or len(port) > MAX_PORT_DIGITS:
        return False
    if not 0 < int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
