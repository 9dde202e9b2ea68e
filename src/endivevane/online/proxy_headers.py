"""Filtering of the headers of forwarded calls and their responses."""

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
# Set by this daemon or its HTTP library; the API key is for the daemon only.
_REPLACED_REQUEST_HEADERS = frozenset(
    ("authorization", "content-length", "expect", "host", "x-request-id")
)
_REPLACED_RESPONSE_HEADERS = frozenset(
    ("content-length", "date", "server", "x-request-id")
)
_INTERNAL_PREFIX = "x-endivevane-"


def filter_request(headers: abc.Iterable[tuple[str, str]]) -> dict[str, str]:
    """Return the request headers to forward to a target."""
    pairs = [(name.lower(), value) for name, value in headers]
    dropped = _HOP_BY_HOP | _REPLACED_REQUEST_HEADERS | _list_connection_headers(pairs)
    kept: dict[str, str] = {}
    for name, value in pairs:
        if name in dropped or name.startswith(_INTERNAL_PREFIX):
            continue
        kept[name] = f"{kept[name]}, {value}" if name in kept else value
    return kept


def filter_response(headers: abc.Mapping[str, str]) -> dict[str, str]:
    """Return the response headers to forward to the caller."""
    dropped = (
        _HOP_BY_HOP
        | _REPLACED_RESPONSE_HEADERS
        | _list_connection_headers(headers.items())
    )
    return {name: value for name, value in headers.items() if name not in dropped}


def _list_connection_headers(headers: abc.Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the headers that ``Connection`` names as hop-by-hop."""
    names: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            names.update(part.strip().lower() for part in value.split(","))
    return frozenset(names)
