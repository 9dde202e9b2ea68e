"""Validation of responses from targets, which may be faulty."""

from __future__ import annotations

import asyncio

from endivevane import logs, metrics
from endivevane.serving import (
    failures,
    model,
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


def make_too_large(
    known: target_registry.KnownTarget, cause: str
) -> failures.TargetAnswerTooLarge:
    """Return the error of a response that is larger than any valid one."""
    metrics.TARGET_FAULTS.labels("too_large").inc()
    return failures.TargetAnswerTooLarge(
        known.target.target_id, cause, may_have_run=True, is_target_fault=True
    )


def make_broken_stream(
    known: target_registry.KnownTarget, cause: str
) -> failures.TargetCallError:
    """Return the error of a stream that its target broke off."""
    metrics.TARGET_FAULTS.labels("broken_answer").inc()
    return failures.TargetCallError(
        known.target.target_id,
        cause,
        may_have_run=True,
        is_target_fault=True,
        is_disconnect=True,
        had_head=True,
    )


def make_unplanned(known: target_registry.KnownTarget) -> failures.TargetCallError:
    """Return the error of a stream at a version that no plan assigns to it."""
    return failures.TargetCallError(
        known.target.target_id, "version not planned", may_have_run=True
    )


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
