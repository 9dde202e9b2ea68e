"""Deterministic completions of the engine, and digests and prefix hashes of prompts."""

from __future__ import annotations

import hashlib
import json
import typing

import xxhash

DEFAULT_MAX_TOKENS = 16
PREFIX_BLOCK_BYTES = 256
_BYTES_PER_TOKEN = 4


def digest_messages(messages: list[dict[str, typing.Any]]) -> str:
    """Return the SHA-256 of the canonical JSON of the messages."""
    text = json.dumps(
        messages, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )
    return hashlib.sha256(text.encode()).hexdigest()


def make_token(digest: str, index: int) -> str:
    """Return the token at an index of the completion of a prompt."""
    return hashlib.sha256(f"{digest}:{index}".encode()).hexdigest()[:6] + " "


def expected_text(
    messages: list[dict[str, typing.Any]], max_tokens: int = DEFAULT_MAX_TOKENS
) -> str:
    """Return the complete text with which the engine responds to a prompt."""
    digest = digest_messages(messages)
    return "".join(make_token(digest, index) for index in range(max_tokens))


def render_prompt(messages: list[dict[str, typing.Any]]) -> bytes:
    r"""Return the prompt as bytes: ``role\ncontent\n`` for each message."""
    parts = []
    for message in messages:
        content = message.get("content") or ""
        if not isinstance(content, str):
            content = json.dumps(content, sort_keys=True, separators=(",", ":"))
        parts.append(f"{message.get('role', '')}\n{content}\n")
    return "".join(parts).encode()


def count_prompt_tokens(prompt: bytes) -> int:
    """Return the number of tokens of a prompt."""
    return max(1, len(prompt) // _BYTES_PER_TOKEN)


def hash_prefixes(model: str, prompt: bytes) -> list[int]:
    """Return one hash per full block of 256 bytes, each over the prefix up to its end.

    The model's name is hashed first, since models cannot share cached blocks.
    """
    state = xxhash.xxh64(model.encode() + b"\n")
    hashes = []
    for start in range(0, len(prompt) - PREFIX_BLOCK_BYTES + 1, PREFIX_BLOCK_BYTES):
        state.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        hashes.append(state.intdigest())
    return hashes
