"""Addresses of processes: an IPv4 address and a port, as text."""

import ipaddress

__all__ = ["is_address"]

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def is_address(text):
    """Return whether a text is ``ip:port``, with a port that can be connected to."""
    host, colon, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not (colon and is_number and 0 < int(port) <= MAX_PORT):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
