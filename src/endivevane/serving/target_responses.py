"""Validation of responses from targets, which may be faulty."""

from __future__ import annotations

import asyncio

from endivevane import logs, metrics
from endivevane.serving import (
    failures,
    model,
    sse,
    target_client,
    target_registry,
)

# Limits for reading the body of a refusal.
_REFUSAL_TIMEOUT_S = 0.1
_MAX_REFUSAL_BYTES = 64 * 1024


def check_signature(
    known: target_registry.KnownTarget, head: model.TargetReply
) -> None:
    """Check that a 2xx response carries the target's signature.

    :raises failures.TargetCallError: when the signature is missing
    """
    if 200 <= head.status < 300 and not head.is_signed:
        raise make_target_fault(known, "success without a signature")


def make_target_fault(
    known: target_registry.KnownTarget, cause: str
) -> failures.TargetCallError:
    """Return the error of an invalid response, and count it as a target fault."""
    metrics.TARGET_FAULTS.labels("bad_answer").inc()
    return failures.TargetCallError(
        known.target.target_id, cause, may_have_run=True, is_target_fault=True
    )


def check_stream_end(
    known: target_registry.KnownTarget,
    parser: sse.EventParser,
    has_event: bool,
    is_framed: bool,
) -> None:
    """Check that a stream that ended without an error is whole.

    A stream without a length or chunks ends with its connection, also when its target
    ends; then it has stopped within an event or before the first one.

    :param has_event: whether it has sent an event
    :param is_framed: whether it has a length or chunks
    :raises failures.TargetCallError: when the target broke it off
    """
    if parser.remainder:
        raise _make_broken_stream(known, "stream ends in the middle of an event")
    if not has_event and not is_framed:
        raise _make_broken_stream(known, "stream ends before its first event")


def _make_broken_stream(
    known: target_registry.KnownTarget, cause: str
) -> failures.TargetCallError:
    metrics.TARGET_FAULTS.labels("broken_answer").inc()
    return failures.TargetCallError(
        known.target.target_id,
        cause,
        may_have_run=True,
        is_target_fault=True,
        is_disconnect=True,
        had_head=True,
    )


def parse_events(
    known: target_registry.KnownTarget, parser: sse.EventParser, data: bytes
) -> list[sse.Event]:
    """Return the events that the received bytes complete.

    :raises failures.TargetCallError: when an event is too large
    """
    try:
        return parser.feed(data)
    except sse.EventTooLarge as error:
        raise make_target_fault(known, error.format_message()) from error


async def drain_refusal(response: target_client.TargetResponse) -> None:
    """Read the body of a refusal, so that the connection can be reused.

    Reading stops at a time and a size limit; the connection is then not reused.
    """
    size = 0
    try:
        async with asyncio.timeout(_REFUSAL_TIMEOUT_S):
            while (data := await response.read()) is not None:
                size += len(data)
                if size > _MAX_REFUSAL_BYTES:
                    logs.limited_info("refusal_too_large", size=size)
                    return
    except failures.TargetCallError as error:
        logs.limited_info("refusal_cut", cause=error.cause)
    except TimeoutError:
        logs.limited_info("refusal_without_end", size=size)
