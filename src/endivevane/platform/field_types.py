"""Types of the fields of records, with the range that each one may have.

Other writers share the tables, so that a field may hold any JSON value. What is out of
range is refused here, before anything computes with it.
"""

from __future__ import annotations

import ipaddress
import typing

import pydantic

from endivevane import types

# The platform's keys and texts have at most this many bytes.
_MAX_TEXT_CHARACTERS = 200
_MAX_LINE_CHARACTERS = 65_536
# Leaves room in a key of the store for the job of an item.
_MAX_ID_CHARACTERS = 90
# Above the context of any model.
_MAX_TOKENS = 1 << 31
# Above any number of requests that a target processes concurrently.
_MAX_SLOTS = 1 << 16
# Integers up to this one are exact in JSON numbers and in floats.
_MAX_COUNT = (1 << 53) - 1
# The last millisecond of the year 9999.
_MAX_UNIX_MS = 253_402_300_799_999
_MAX_DURATION_S = 10 * 365 * 86_400.0

Text = typing.Annotated[
    str,
    pydantic.Field(
        min_length=1,
        max_length=_MAX_TEXT_CHARACTERS,
        # Control characters would break headers and log lines.
        pattern=r"^[^\x00-\x1f\x7f]+$",
    ),
]
Slots = typing.Annotated[int, pydantic.Field(ge=1, le=_MAX_SLOTS)]
Bytes = typing.Annotated[int, pydantic.Field(ge=1, le=_MAX_COUNT)]
Weight = typing.Annotated[
    float, pydantic.Field(ge=0, le=_MAX_COUNT, allow_inf_nan=False)
]
Rate = typing.Annotated[float, pydantic.Field(ge=0, le=_MAX_COUNT, allow_inf_nan=False)]
Count = typing.Annotated[int, pydantic.Field(ge=0, le=_MAX_COUNT)]
UnixMilliseconds = typing.Annotated[int, pydantic.Field(ge=0, le=_MAX_UNIX_MS)]
Seconds = typing.Annotated[
    float, pydantic.Field(ge=0, le=_MAX_DURATION_S, allow_inf_nan=False)
]
Milliseconds = typing.Annotated[
    float, pydantic.Field(ge=0, le=_MAX_DURATION_S * 1000.0, allow_inf_nan=False)
]


def _check_address(text: str) -> str:
    address = types.parse_address(text)
    ipaddress.ip_address(address.host)
    return text


# A path as it may stand in the first line of a request.
PathText = typing.Annotated[
    str, pydantic.Field(max_length=_MAX_LINE_CHARACTERS, pattern=r"^/[!-~]*$")
]
HeaderName = typing.Annotated[
    str,
    pydantic.Field(
        max_length=_MAX_TEXT_CHARACTERS, pattern=r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+$"
    ),
]
HeaderValue = typing.Annotated[
    str,
    pydantic.Field(
        max_length=_MAX_LINE_CHARACTERS,
        pattern=r"^([!-~\x80-\xff]([\t -~\x80-\xff]*[!-~\x80-\xff])?)?$",
    ),
]
# What may stand in a header and in a key of the store.
HeaderId = typing.Annotated[
    str, pydantic.Field(max_length=_MAX_ID_CHARACTERS, pattern=r"^[!-~]+$")
]
Tokens = typing.Annotated[int, pydantic.Field(ge=0, le=_MAX_TOKENS, strict=True)]
# IP address and port; there are no name lookups.
AddressText = typing.Annotated[Text, pydantic.AfterValidator(_check_address)]


def describe_first_problem(error: pydantic.ValidationError) -> str:
    """Return the first field that is invalid, and why, without its value."""
    problem = error.errors(include_url=False, include_context=False)[0]
    field = ".".join(str(part) for part in problem["loc"])
    return f"{field or 'record'}: {problem['msg'][:_MAX_TEXT_CHARACTERS]}"
