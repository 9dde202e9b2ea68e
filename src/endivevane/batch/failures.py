"""Conversion of errors of the stores to errors of the HTTP API."""

from __future__ import annotations

import functools
import typing

import result

from endivevane import exceptions, types
from endivevane.coordination import store
from endivevane.external import objects
from endivevane.web import errors

_RETRY_AFTER_S = 2.0

_T = typing.TypeVar("_T")


@functools.singledispatch
def make_api_error(error: exceptions.EndivevaneError) -> errors.ApiError:
    """Return the API error for a failure of the platform."""
    return errors.Unavailable(error.format_message(), retry_after_s=_RETRY_AFTER_S)


@make_api_error.register
def _(error: store.StoreOverloaded) -> errors.ApiError:
    return errors.Unavailable(
        error.format_message(), retry_after_s=max(_RETRY_AFTER_S, error.retry_after_s)
    )


@make_api_error.register
def _(error: store.StoreOutcomeUnknown) -> errors.ApiError:
    return errors.Unavailable(
        f"{error.format_message()}; retry with the same request",
        run_state=types.RunState.MAY_HAVE_RUN,
        retry_after_s=_RETRY_AFTER_S,
    )


@make_api_error.register
def _(error: objects.ObjectMissing) -> errors.ApiError:
    return errors.NotFound(error.format_message())


def unwrap(outcome: result.Result[_T, typing.Any]) -> _T:
    """Return the value of a result.

    :raises errors.ApiError: for an error result
    """
    if isinstance(outcome, result.Err):
        raise make_api_error(outcome.err_value)
    return outcome.ok_value
