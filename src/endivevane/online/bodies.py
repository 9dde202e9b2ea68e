"""Bodies of chat completions: validation, fingerprint and prompt prefixes."""

from __future__ import annotations

import json
import typing

import pydantic
import werkzeug.wrappers
import xxhash

from endivevane import utils
from endivevane.online import contract
from endivevane.web import errors

# Block size in which engines hash prompts, see the cache events of their protocol.
_PREFIX_BLOCK_BYTES = contract.PREFIX_BLOCK_BYTES
_MAX_PREFIXES = 256
# Fields that do not affect the output of an engine.
_NON_SEMANTIC_FIELDS = frozenset(("stream", "stream_options", "user", "metadata"))


class MessageModel(pydantic.BaseModel):
    """One message of a conversation; unknown fields are allowed."""

    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    role: str = pydantic.Field(min_length=1, max_length=64)
    content: str | list[dict[str, typing.Any]] | None = None


class CompletionModel(pydantic.BaseModel):
    """The fields of a chat completion that the daemon acts on.

    All other fields of the OpenAI HTTP API are forwarded unchanged.
    """

    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    model: str = pydantic.Field(min_length=1, max_length=200)
    messages: list[MessageModel] = pydantic.Field(min_length=1)
    stream: bool | None = None
    stream_options: dict[str, typing.Any] | None = None
    temperature: float | None = pydantic.Field(default=None, ge=0, le=2)
    top_p: float | None = pydantic.Field(default=None, ge=0, le=1)
    seed: int | None = None
    n: int | None = pydantic.Field(default=None, ge=1, le=128)
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    max_completion_tokens: int | None = pydantic.Field(default=None, ge=1)

    @property
    def is_deterministic(self) -> bool:
        """Whether a second run gives the same output."""
        return self.seed is not None or self.temperature == 0


def parse_body(
    request: werkzeug.wrappers.Request,
) -> tuple[CompletionModel, dict[str, typing.Any]]:
    """Return the validated fields and the complete body.

    :raises errors.InvalidRequest: if the body is malformed
    """
    data = request.get_data(cache=False)
    try:
        body = utils.decode_json(data)
    except ValueError as error:
        raise errors.InvalidRequest(f"the body is not valid JSON: {error}") from error
    if not isinstance(body, dict):
        raise errors.InvalidRequest("the body must be a JSON object")
    try:
        fields = CompletionModel.model_validate(body)
        # Values may be nested more deeply than the encoder supports.
        utils.encode_json(body)
    except pydantic.ValidationError as error:
        raise _describe(error) from error
    except (TypeError, ValueError, RecursionError) as error:
        raise errors.InvalidRequest(f"the body can't be passed on: {error}") from error
    return fields, body


def make_fingerprint(model: str, body: dict[str, typing.Any]) -> str:
    """Return a digest of the model and the fields that affect the output."""
    relevant = {
        key: value for key, value in body.items() if key not in _NON_SEMANTIC_FIELDS
    }
    return utils.digest_text(model, utils.encode_json(relevant).decode())


def hash_prefixes(model: str, messages: list[dict[str, typing.Any]]) -> tuple[int, ...]:
    """Return one hash per block of the prompt, each over all bytes up to its end.

    The hash includes the model's name, since models do not share caches.
    """
    prompt = _render_prompt(messages)[: _MAX_PREFIXES * _PREFIX_BLOCK_BYTES]
    state = xxhash.xxh64(model.encode() + b"\n")
    hashes = []
    for start in range(0, len(prompt) - _PREFIX_BLOCK_BYTES + 1, _PREFIX_BLOCK_BYTES):
        state.update(prompt[start : start + _PREFIX_BLOCK_BYTES])
        hashes.append(state.intdigest())
    return tuple(hashes)


def _render_prompt(messages: list[dict[str, typing.Any]]) -> bytes:
    parts = []
    for message in messages:
        content = message.get("content") or ""
        if not isinstance(content, str):
            content = json.dumps(content, sort_keys=True, separators=(",", ":"))
        parts.append(f"{message['role']}\n{content}\n")
    return "".join(parts).encode()


def _describe(error: pydantic.ValidationError) -> errors.InvalidRequest:
    problem = error.errors(include_url=False, include_input=False)[0]
    param = ".".join(str(part) for part in problem["loc"])
    return errors.InvalidRequest(f"{param}: {problem['msg']}", param=param)
