"""An item that fails at each run, while machines that run its job are lost one after the other."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import fleet as parts

MAX_ATTEMPTS = 3
LOSSES = 4  # of 9 machines, for good


class Failing(parts.Replica):
    """A sound replica that can't do an item and answers 500, which counts as run."""

    answered = asyncio.Queue()

    async def stream(self, request, writer):
        attempt = request.headers["attempt-id"]
        await asyncio.sleep(0.02)
        echo = f"Attempt-Id: {attempt}"
        digest = f"Response-Signature: sig.{self.name}.{attempt}"
        writer.write(parts.make_answer(500, b"failed", (echo, digest)))
        await writer.drain()
        self.record.add("answered-500", replica=self.name, attempt=attempt)
        self.answered.put_nowait(time.monotonic())
        return True


async def case(fleet, has_trouble):
    replicas = [Failing(f"i-{n}", fleet.record) for n in range(3)]
    daemons = [parts.Daemon(fleet, n + 1) for n in range(9)]
    await fleet.start([parts.batch_route(maxAttempts=MAX_ATTEMPTS)], replicas, daemons)

    ready_s = time.monotonic()
    await asyncio.sleep(parts.STABLE_S)
    job = parts.new_id()
    body = parts.make_job(job, 1)
    answer = await fleet.call(daemons[0], "POST", f"/digest/{job[:6]}", job, body)
    if answer is None or answer.status != 202:
        raise parts.CannotRun("the job was not accepted")

    def find_owner():
        """Return the daemon that runs the job, and the run of its process."""
        run = fleet.store.value("state", "job/" + job)["owner"]
        name = run.partition("/")[0]
        return next((daemon for daemon in daemons if daemon.name == name), None), run

    losses, answers, broken = 0, 0, []
    former = None
    by_owner = 0
    until_s = time.monotonic() + 60
    while time.monotonic() < until_s:
        try:
            at_s = await asyncio.wait_for(Failing.answered.get(), 0.5)
        except TimeoutError:
            result = await fleet.read(next(d for d in daemons if d.is_running), job)
            if result is not None and result.status == 200 and result.json()["results"]:
                break
            continue
        owner, run = find_owner()
        answers += 1
        by_owner = by_owner + 1 if run == former else 1
        former = run
        # Its machine has run without any trouble since all machines became ready.
        is_in_touch = owner.is_running and at_s - ready_s > parts.STABLE_S
        fleet.record.add(
            "failed", answers=answers, owner=run, by_owner=by_owner, in_touch=is_in_touch
        )
        if answers > 3 * MAX_ATTEMPTS and is_in_touch:
            broken.append(
                f"item {job}00 reaches a replica from {owner.name} for the {answers}. time, "
                f"after {answers - 1} answers of 500"
            )
        if has_trouble and losses < LOSSES and by_owner == 2:
            losses += 1
            owner.send(signal.SIGKILL)
    fleet.record.add("answers", of_500=answers, losses=losses)
    return broken


if __name__ == "__main__":
    parts.main(case, pathlib.Path(__file__).parent)
