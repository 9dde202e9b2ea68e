"""Experiments of the load tool: what is called, and when."""

from __future__ import annotations

import dataclasses
import pathlib
import random
import tomllib
import typing

import pydantic

_WORDS = "pear plum fig quince medlar apple cherry damson olive almond".split()


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Phase(_Model):
    """A rate that applies from a time on."""

    from_s: float = pydantic.Field(gt=0)
    rate_per_s: float = pydantic.Field(gt=0)


class Arrivals(_Model):
    """When calls arrive.

    :param kind: exponential gaps from the seed, or equal gaps
    :param rate_per_s: rate from the start
    :param phases: later rates, in the order of their times
    """

    kind: typing.Literal["exponential", "fixed"] = "exponential"
    rate_per_s: float = pydantic.Field(gt=0)
    phases: tuple[Phase, ...] = ()

    @pydantic.model_validator(mode="after")
    def _check_phases(self) -> typing.Self:
        times = [phase.from_s for phase in self.phases]
        if times != sorted(set(times)):
            raise ValueError("phases must be in the order of their times")
        return self


class CallKind(_Model):
    """One kind of call in the mix.

    :param weight: share of the arrivals, relative to the other kinds
    :param prompt_bytes: length of the prompt
    :param prefixes: prompts share this many different first halves; 0 for none
    :param timeout_s: limit for one call, counted from its scheduled arrival
    """

    name: str
    weight: float = pydantic.Field(default=1.0, gt=0)
    model: str = "small-lm"
    streamed: bool = True
    max_tokens: int = pydantic.Field(default=32, ge=1)
    prompt_bytes: int = pydantic.Field(default=400, ge=1)
    prefixes: int = pydantic.Field(default=0, ge=0)
    headers: dict[str, str] = {}
    timeout_s: float = pydantic.Field(default=120.0, gt=0)


class Experiment(_Model):
    """A whole experiment.

    :param warm_up_s: calls scheduled before this time are sent but not counted
    :param keep_alive: whether connections are used for several calls
    """

    name: str
    seed: int = 1
    duration_s: float = pydantic.Field(gt=0)
    warm_up_s: float = pydantic.Field(default=0.0, ge=0)
    keep_alive: bool = True
    arrivals: Arrivals
    calls: tuple[CallKind, ...] = pydantic.Field(min_length=1)

    def change(self, **changes: typing.Any) -> typing.Self:
        """Return a copy with changed fields, validated."""
        return type(self).model_validate({**self.model_dump(), **changes})


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One scheduled call.

    :param at_s: time from the start of the experiment
    """

    index: int
    at_s: float
    kind: CallKind
    prompt: str

    @property
    def messages(self) -> list[dict[str, typing.Any]]:
        """The messages of the call."""
        return [{"role": "user", "content": self.prompt}]


def load_experiment(path: pathlib.Path) -> Experiment:
    """Read an experiment from a TOML file."""
    return Experiment.model_validate(tomllib.loads(path.read_text(encoding="utf-8")))


def make_schedule(experiment: Experiment) -> list[Arrival]:
    """Return all arrivals; the same experiment gives the same schedule."""
    generator = random.Random(experiment.seed)
    weights = [kind.weight for kind in experiment.calls]
    arrivals: list[Arrival] = []
    at_s = 0.0
    while True:
        at_s = _find_next_s(experiment.arrivals, generator, at_s)
        if at_s >= experiment.duration_s:
            return arrivals
        kind = generator.choices(experiment.calls, weights)[0]
        index = len(arrivals)
        prompt = _make_prompt(experiment.seed, index, kind, generator)
        arrivals.append(Arrival(index, at_s, kind, prompt))


def _find_next_s(arrivals: Arrivals, generator: random.Random, at_s: float) -> float:
    """Return the time of the next arrival after ``at_s``.

    The gap is drawn for a rate of 1 and used up at the rate of each phase, so that a
    change of the rate takes effect in the middle of a gap.
    """
    left = 1.0 if arrivals.kind == "fixed" else generator.expovariate(1.0)
    rate_per_s = arrivals.rate_per_s
    for phase in arrivals.phases:
        if phase.from_s > at_s:
            used = (phase.from_s - at_s) * rate_per_s
            if used >= left:
                break
            left -= used
            at_s = phase.from_s
        rate_per_s = phase.rate_per_s
    return at_s + left / rate_per_s


def _make_prompt(
    seed: int, index: int, kind: CallKind, generator: random.Random
) -> str:
    own = f"question {seed}-{index}: "
    if not kind.prefixes:
        return own + _make_words(generator, kind.prompt_bytes - len(own))
    number = generator.randrange(kind.prefixes)
    half = kind.prompt_bytes // 2
    shared = _make_words(random.Random(f"{seed}/{kind.name}/{number}"), half)
    return shared + own + _make_words(generator, half - len(own))


def _make_words(generator: random.Random, length: int) -> str:
    words: list[str] = []
    size = 0
    while size < length:
        words.append(generator.choice(_WORDS))
        size += len(words[-1]) + 1
    return " ".join(words)[: max(0, length)]
