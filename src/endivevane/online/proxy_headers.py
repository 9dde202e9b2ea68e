"""Headers of forwarded calls and of their answers."""

from __future__ import annotations

from collections import abc

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Set by this daemon or its HTTP library; the API key is meant for the daemon only.
_OWN_REQUEST = frozenset(
    ("authorization", "content-length", "expect", "host", "x-request-id")
)
_OWN_RESPONSE = frozenset(("content-length", "date", "server", "x-request-id"))
_OWN_PREFIX = "x-endivevane-"


def filter_request(headers: abc.Iterable[tuple[str, str]]) -> dict[str, str]:
    """Return the caller's headers that go to a target."""
    pairs = [(name.lower(), value) for name, value in headers]
    dropped = _HOP_BY_HOP | _OWN_REQUEST | _named_by_connection(pairs)
    kept: dict[str, str] = {}
    for name, value in pairs:
        if name in dropped or name.startswith(_OWN_PREFIX):
            continue
        kept[name] = f"{kept[name]}, {value}" if name in kept else value
    return kept


def filter_response(headers: abc.Mapping[str, str]) -> dict[str, str]:
    """Return the target's headers that go to the caller."""
    dropped = _HOP_BY_HOP | _OWN_RESPONSE | _named_by_connection(headers.items())
    return {name: value for name, value in headers.items() if name not in dropped}


def _named_by_connection(headers: abc.Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the headers that ``Connection`` declares hop-by-hop."""
    names: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            names.update(part.strip().lower() for part in value.split(","))
    return frozenset(names)
