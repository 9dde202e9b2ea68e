"""Submits batch jobs with ``endivevanectl``, for the demo and the measurements."""

from __future__ import annotations

import json
import typing
from collections import abc

from tools import fleet

Body = dict[str, typing.Any]


def make_bodies(model: str, count: int, max_tokens: int, text: str) -> dict[str, Body]:
    """Return request bodies by ``custom_id``.

    :param text: start of each prompt; use different texts for different jobs, unless
        the later ones may be faster through cached prefixes
    """
    return {
        f"item-{number}": {
            "model": model,
            "messages": [{"role": "user", "content": f"{text} {number}"}],
            "max_tokens": max_tokens,
        }
        for number in range(count)
    }


def submit(running: fleet.Fleet, bodies: abc.Mapping[str, Body]) -> str:
    """Write the items to a file, submit it and return the job's identifier."""
    lines = [
        json.dumps(
            {
                "custom_id": name,
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": body,
            }
        )
        for name, body in bodies.items()
    ]
    path = running.folder / "items.jsonl"
    path.write_text("\n".join(lines) + "\n")
    run = running.run_ctl("--output", "json", "jobs", "submit", str(path))
    if run.returncode:
        raise RuntimeError(f"the job was refused: {run.stderr}")
    job_id: str = json.loads(run.stdout)["id"]
    return job_id


def read_status(running: fleet.Fleet, job_id: str) -> str | None:
    """Return the status of a job, or ``None`` if it is not available."""
    run = running.run_ctl("--output", "json", "jobs", "show", job_id)
    if run.returncode:
        return None
    status: str = json.loads(run.stdout)["status"]
    return status
