"""Runs of batch items at the targets of a world."""

import itertools

from endivevane.serving import (
    failures,
    item_refusals,
    item_sender,
    jobs,
    owned_jobs,
)

_MAX_RUNS = 6
JOB = jobs.Job(
    job_id="job",
    host="shop.example",
    path="/quote/",
    route="quote",
    total=1,
    created_ms=0,
    due_ms=0,
    chunks=1,
    state=jobs.JobState.OPEN,
    owner="",
    epoch=0,
    listed=0,
    tokens_left=1,
    operation="",
)


def make_sender(world, segments=()):
    """Return the sender of items of a world's daemon, whose prompts have segments."""
    return item_sender.ItemSender(
        world.registry,
        world.client,
        lambda host, _headers: ((b"Host", host.encode()),),
        lambda _headers: segments,
        world.quarantine,
        item_refusals.RefusalJudge(world.loads),
    )


async def run_item(world, body=b"hello", segments=()):
    """Run an item until it is completed, at one target after the other."""
    sender = make_sender(world, segments)
    item = jobs.Item("abc", "/quote/1", {}, body, 1)
    run = owned_jobs.ItemRun(item)
    names = itertools.islice(itertools.cycle(world.replicas), _MAX_RUNS)
    for name in names:
        target = world.registry.find(name).target
        try:
            end, _ = await sender.send(JOB, run, target)
        except failures.TargetCallError:
            continue
        if end is item_sender.RunEnd.COMPLETED:
            return run
    raise AssertionError(f"not completed in {_MAX_RUNS} runs: {run.pieces}")
