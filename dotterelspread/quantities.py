"""Parse durations, sizes and network addresses from settings and flags.

Every function takes text and raises `ValueError` when it is invalid.
"""

import ipaddress
import re
from dataclasses import dataclass
from urllib.parse import urlsplit

__all__ = ["Address", "parse_address", "parse_duration", "parse_size", "parse_url"]

MAX_DECIMALS = 9

_AMOUNT = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?) ?([A-Za-z]+)")
_PORT = re.compile(r"[0-9]{1,5}")
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
_BYTES_BY_UNIT = {
    "B": 1,
    "KB": 10**3,
    "MB": 10**6,
    "GB": 10**9,
    "TB": 10**12,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
    "TiB": 1 << 40,
}


@dataclass(slots=True, frozen=True)
class Address:
    """An IP address and a port, written ``10.1.0.4:7001`` or ``[fd00::4]:7001``."""

    host: str
    port: int

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_duration(text):
    """Return the seconds in a duration such as ``250ms``, ``5s`` or ``2m``."""
    return _parse_amount(text, _SECONDS_BY_UNIT)


def parse_size(text):
    """Return the bytes in a size such as ``64KiB`` or ``125GB``."""
    return int(_parse_amount(text, _BYTES_BY_UNIT))


def parse_address(text):
    """Return the `Address` in text; its port must be from 1 to 65535."""
    host, _, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    number = ipaddress.ip_address(host[1:-1] if bracketed else host)
    if bracketed != (number.version == 6):
        raise ValueError(f"IPv6 addresses, and only those, need brackets: {text}")
    if not _PORT.fullmatch(port) or not 1 <= int(port) <= 65535:
        raise ValueError(f"port is not a number from 1 to 65535: {text}")
    return Address(str(number), int(port))


def parse_url(text):
    """Return an HTTP URL without trailing slashes.

    Its host must be an IP address; a user, query or fragment is an error.
    """
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError(f"not an HTTP URL: {text}")
    if parts.username or parts.password or parts.query or parts.fragment:
        raise ValueError(f"URL has a user, query or fragment: {text}")
    host = f"[{parts.hostname}]" if ":" in parts.hostname else parts.hostname
    parse_address(f"{host}:{parts.port or 80}")
    return text.rstrip("/")


def _parse_amount(text, factors_by_unit):
    match = _AMOUNT.fullmatch(text)
    if match is None or match[2] not in factors_by_unit:
        raise ValueError(f"not a number with one of the units {list(factors_by_unit)}")
    return round(float(match[1]) * factors_by_unit[match[2]], MAX_DECIMALS)
