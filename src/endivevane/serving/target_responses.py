"""Reading answers of targets that may be no proper answers."""

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

# The body of a refusal is read this long and up to this size.
_REFUSAL_S = 0.1
_MOST_REFUSAL_BYTES = 64 * 1024


def check_signature(
    known: target_registry.KnownTarget, head: model.TargetReply
) -> None:
    """Check that a success carries the target's signature.

    :raises failures.TargetCallError: when it does not
    """
    if 200 <= head.status < 300 and not head.is_signed:
        raise make_bad_answer(known, "success without a signature")


def make_bad_answer(
    known: target_registry.KnownTarget, cause: str
) -> failures.TargetCallError:
    """Return the failure of a target whose answer can't be passed on."""
    metrics.TARGET_FAULTS.labels("bad_answer").inc()
    return failures.TargetCallError(
        known.target.target_id, cause, may_have_run=True, is_target_fault=True
    )


def parse_events(
    known: target_registry.KnownTarget, splitter: sse.EventParser, data: bytes
) -> list[sse.Event]:
    """Return the events that are whole now.

    :raises failures.TargetCallError: when the bytes make no events
    """
    try:
        return splitter.feed(data)
    except sse.EventTooLarge as error:
        raise make_bad_answer(known, error.format_message()) from error


async def drain_refusal(reply: target_client.TargetResponse) -> None:
    """Read the body of a refusal, so that the connection can be kept.

    A body that does not end soon is left, and its connection with it.
    """
    size = 0
    try:
        async with asyncio.timeout(_REFUSAL_S):
            while (data := await reply.read()) is not None:
                size += len(data)
                if size > _MOST_REFUSAL_BYTES:
                    logs.limited_info("refusal_too_large", size=size)
                    return
    except failures.TargetCallError as error:
        logs.limited_info("refusal_cut", cause=error.cause)
    except TimeoutError:
        logs.limited_info("refusal_without_end", size=size)
