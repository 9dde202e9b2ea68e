import asyncio
import dataclasses
import time

import orjson
from behave import given, then, when

from endivevane.serving import item_gate, item_sender, job_registry, jobs, owned_jobs
from features.support import failed_run_world, job_world

# Above the time of any of these scenarios by far: an item has at most nine runs, and
# waits for at most 0.4 s, 1 s of an outage and 0.2 s for the others' shares of writes.
_LIMIT_S = 20.0
# A second run begins after a back-off of 0.2 s and a round of 0.04 s.
_NEXT_RUN_S = 0.5
# Above three times the attempts of any route of these scenarios.
_ANY_LOSSES = 20
# Time in which the next owner would have begun a run: a back-off, a transaction that
# waits for its turn, and some rounds.
_NEXT_OWNER_S = 1.0
_BAD_JOBS = 3
_ITEMS_PER_BAD_JOB = 40
_BUSY_ITEMS = 200


def _play(context, play, script=lambda _item_id, _number: 500, **settings):
    """Run a play in a world of its own."""

    async def run():
        world = failed_run_world.World(
            script, attempts=getattr(context, "attempts", 3), **settings
        )
        context.world = world
        try:
            await play(world)
        finally:
            world.stop()

    asyncio.run(run())


def _fail_all(owner, attempts, times):
    """Let all items of a job fail at the same moment, some times."""
    owned = owner.runner._owned["job"]
    route = job_world.make_route(attempts=attempts)
    end = item_sender.RunEnd.FAILED
    for run in list(owned.runs.values()):
        for _ in range(times):
            owner.runner._finish_run(owned, run, route, end, has_advanced=False)


@given(
    "a route with {attempts:d} attempts and an item that is answered 500 at each run"
)
def step_failing_item(context, attempts):
    context.attempts = attempts


@given(
    "a route with {attempts:d} attempts and {count:d} items that are answered 500 at "
    "each run"
)
def step_failing_items(context, attempts, count):
    context.attempts = attempts
    context.count = count


@when(
    "{losses:d} owners are lost one after the other, each with its {answer:d}. answer "
    "of 500"
)
def step_owners_lost(context, losses, answer):
    lost = asyncio.Queue()

    def lose(owner, item_id):
        if len(context.world.owners) <= losses and owner.answers[item_id] == answer:
            owner.lose()
            lost.put_nowait(owner)

    async def play(world):
        await world.submit(world.add_owner())
        while world.losses < losses:
            waiting = asyncio.ensure_future(lost.get())
            done, _ = await asyncio.wait((waiting,), timeout=_LIMIT_S / losses)
            if not done or world.list_results():
                waiting.cancel()
                break
            await world.add_owner().take_over("job")
        await world.wait_for_results(1, _LIMIT_S)

    _play(context, play, on_answer=lose)


@then("the item is listed as failed after {least:d} to {most:d} answers of 500")
def step_failed_after(context, least, most):
    (result,) = context.world.list_results().values()
    assert not result.is_completed and result.item_id == "job-0", result
    answers = context.world.answers_500["job-0"]
    assert least <= answers <= most, answers


@when(
    "the write of its first count is lost {count:d} times, and its answer the next time"
)
def step_count_answer_lost(context, count):
    async def play(world):
        world.rows.faults.extend(["dropped"] * count + ["lost"])
        await world.submit(world.add_owner())
        await world.wait_for_results(1, _LIMIT_S)
        assert not world.rows.faults

    _play(context, play)


@then("no run begins before the store holds the count of the runs before it")
def step_counts_first(context):
    assert not context.world.unstored_runs, context.world.unstored_runs[:5]


@when("the job is ended while the write of its count is under way")
def step_ended_meanwhile(context):
    async def play(world):
        world.rows.faults.append("held")
        await world.submit(world.add_owner())
        await world.wait_until(lambda: world.rows.held, _LIMIT_S)
        await asyncio.sleep(_NEXT_RUN_S)
        other = world.add_owner()
        await other.daemon.changes.find_stored("job")
        assert await other.daemon.changes.end("job", time.monotonic() + 2.0)
        world.rows.let_go.set()
        await asyncio.sleep(_NEXT_RUN_S)

    _play(context, play)


@then("the job stays ended and the item has run once")
def step_stays_ended(context):
    assert context.world.rows.read_job("job").state is jobs.JobState.ENDED
    assert context.world.runs["job-0"] == 1, context.world.runs


@when("another owner takes the job over while the write of its count is under way")
def step_taken_over_meanwhile(context):
    async def play(world):
        world.rows.faults.append("held")
        await world.submit(world.add_owner())
        await world.wait_until(lambda: world.rows.held, _LIMIT_S)
        await asyncio.sleep(_NEXT_RUN_S)
        await world.add_owner().take_over("job")
        world.rows.let_go.set()
        await world.wait_for_results(1, _LIMIT_S)
        await asyncio.sleep(_NEXT_RUN_S)

    _play(context, play)


@then("the former owner sends the item no more")
def step_former_silent(context):
    former = context.world.owners[0]
    assert former.answers["job-0"] == 1, former.answers
    assert not former.runner.owned


@when("a daemon takes over a job whose row has {counts}")
def step_earlier_release(context, counts):
    async def play(world):
        first = world.add_owner()
        await first.daemon.changes.accept(job_world.make_submission("job", 1))
        key = jobs.make_job_key("job")
        fields = orjson.loads(world.rows.rows[key][0])
        if counts == "no field of failed runs":
            del fields["failed_runs"]
        elif counts == "2 failed runs of the item":
            fields["failed_runs"] = {"job-0": 2}
        else:
            fields["failed_runs"] = {"job-9": 2}
        world.rows.put(key, orjson.dumps(fields))
        first.lose()
        await world.add_owner().take_over("job")
        await world.wait_for_results(1, _LIMIT_S)

    _play(context, play)


@when("all have failed for the last time and the owner is lost once some are listed")
def step_lost_with_results(context):
    async def play(world):
        first = world.add_owner()
        # The runs end by the step alone, so that the results come at the same moment.
        first.task.cancel()
        await world.submit(first, items=context.count)
        world.rows.on_results = first.lose
        _fail_all(first, context.attempts, context.attempts)
        await world.wait_until(lambda: first.is_lost, _LIMIT_S)
        context.listed_by_first = len(world.list_results())
        await world.add_owner().take_over("job")
        await world.wait_for_results(context.count, _LIMIT_S)

    _play(context, play)


@then("each item that was not listed is sent once more and all are listed as failed")
def step_each_once_more(context):
    results = context.world.list_results().values()
    assert len(results) == len({result.item_id for result in results}) == context.count
    assert not any(result.is_completed for result in results)
    answers = context.world.answers_500
    assert 0 < context.listed_by_first < context.count
    assert len(answers) == context.count - context.listed_by_first, answers
    assert set(answers.values()) == {1}, answers


@given(
    "a route with {attempts:d} attempts and an item that meets 2 of each of them, two "
    "answers of 500 and then completes"
)
def step_unlucky_item(context, attempts):
    context.attempts = attempts
    context.ends = [
        *("broken", 500, "refused", 503, "silent", "broken", 500, "refused", 503),
        *("silent", 200),
    ]


@when("a daemon runs it")
def step_run_unlucky(context):
    def script(item_id, number):
        if context.ends[number - 1] == "silent":
            owner = context.world.owners[0]
            for run in owner.runner._owned["job"].list_running():
                asyncio.get_running_loop().call_later(0.05, run.task.cancel)
        return context.ends[number - 1]

    async def play(world):
        await world.submit(world.add_owner())
        await world.wait_for_results(1, _LIMIT_S)

    _play(context, play, script)


@then("it is listed as completed")
def step_listed_completed(context):
    (result,) = context.world.list_results().values()
    assert result.is_completed, result
    assert context.world.runs["job-0"] == len(context.ends), context.world.runs


@then("the store took {count:d} writes of counts")
def step_count_writes(context, count):
    assert context.world.rows.failed_runs_writes == count


@when("the store is down for {down_s:g} s from the first answer on")
def step_down_meanwhile(context, down_s):
    def cut(_owner, _item_id):
        if context.runs_by_return is None:
            context.world.rows.is_down = True

    async def play(world):
        await world.submit(world.add_owner())
        await world.wait_until(lambda: world.rows.is_down, _LIMIT_S)
        await asyncio.sleep(down_s)
        context.runs_by_return = world.runs["job-0"]
        world.rows.is_down = False
        await world.wait_for_results(1, _LIMIT_S)

    context.runs_by_return = None
    _play(context, play, on_answer=cut)


@then("the item has run once by then")
def step_one_run(context):
    assert context.runs_by_return == 1, context.runs_by_return


@given(
    "{daemons:d} daemons, one of which runs 3 jobs of 40 items that are answered 500 "
    "at each run"
)
def step_storm(context, daemons):
    context.daemons = daemons


@when("all of them are listed as failed within {limit_s:g} s")
def step_storm_played(context, limit_s):
    names = [f"job{number}" for number in range(_BAD_JOBS)]

    async def play(world):
        owner = world.add_owner()
        started_s = time.monotonic()
        for name in names:
            await world.submit(owner, name, _ITEMS_PER_BAD_JOB)
        for name in names:
            await world.wait_for_results(_ITEMS_PER_BAD_JOB, limit_s, name)
        context.took_s = time.monotonic() - started_s

    _play(context, play, daemons=context.daemons)


@then("its counts alone took at most {rate:g} writes a second")
def step_rate(context, rate):
    writes = context.world.rows.failed_runs_writes
    assert writes <= 1 + rate * context.took_s, (writes, context.took_s)


@then("each item had {count:d} answers of 500")
def step_answers_each(context, count):
    answers = context.world.answers_500
    assert len(answers) == _BAD_JOBS * _ITEMS_PER_BAD_JOB
    assert set(answers.values()) == {count}, answers


@given(
    "a route with {attempts:d} attempts and {count:d} items with ids of {size:d} "
    "quotes and numbers"
)
def step_long_ids(context, attempts, count, size):
    context.attempts = attempts
    context.ids = [f"job-{number}-".ljust(size, '"') for number in range(count)]


@when("all items of a job with a path of 16 kB fail at the same moment")
def step_run_long_ids(context):
    ids = context.ids
    submission = job_world.make_submission("job", len(ids))
    items = tuple(
        dataclasses.replace(item, item_id=item_id)
        for item, item_id in zip(submission.items, ids, strict=True)
    )
    path = "/p/".ljust(16_000, "x")

    async def play(world):
        given = dataclasses.replace(submission, items=items, path=path)
        owner = world.add_owner()
        await world.submit(owner, submission=given)
        _fail_all(owner, context.attempts, 1)
        await world.wait_for_results(len(ids), _LIMIT_S)

    _play(context, play)


@then("all are listed as failed after {count:d} further answers of 500 each")
def step_all_failed_after(context, count):
    results = context.world.list_results().values()
    assert {result.item_id for result in results} == set(context.ids)
    assert not any(result.is_completed for result in results)
    answers = context.world.answers_500
    assert set(answers.values()) == {count}, answers


@given(
    "{daemons:d} daemons, one of which runs a job of 200 items, each 10th of which is "
    "answered 500 once"
)
def step_busy(context, daemons):
    context.daemons = daemons


@when("all of them are listed as completed within {limit_s:g} s")
def step_busy_played(context, limit_s):
    def script(item_id, number):
        is_unlucky = int(item_id.partition("-")[2]) % 10 == 0
        return 500 if is_unlucky and number == 1 else 200

    async def play(world):
        started_s = time.monotonic()
        owner = world.add_owner()
        await world.submit(owner, items=_BUSY_ITEMS)
        await world.wait_for_results(_BUSY_ITEMS, limit_s)
        context.took_s = time.monotonic() - started_s

    _play(context, play, script, daemons=context.daemons)
    results = context.world.list_results().values()
    assert all(result.is_completed for result in results)


@then("they took fewer writes than there were failed runs")
def step_fewer_writes(context):
    failed = sum(context.world.answers_500.values())
    assert failed == _BUSY_ITEMS // 10, failed
    assert context.world.rows.failed_runs_writes < failed


async def _replace_owners(world, lost, count):
    """Let another owner take the job over as soon as one is lost."""
    for _ in range(count):
        try:
            await asyncio.wait_for(lost.get(), _NEXT_OWNER_S)
        except TimeoutError:
            return
        await world.add_owner().take_over("job")


def _play_losses(context, event, script=lambda _item_id, _number: 500):
    """Lose owners at an event of each, then let the last one run for some time."""

    async def play(world):
        lost = asyncio.Queue()

        def lose(owner, _item_id):
            owner.lose()
            lost.put_nowait(owner)

        setattr(world, event, lose)
        await world.submit(world.add_owner())
        await _replace_owners(world, lost, _ANY_LOSSES)
        await asyncio.sleep(_NEXT_OWNER_S)

    _play(context, play, script)


@when("any number of owners are lost, each with its 1. answer of 500")
def step_any_lost_with_answer(context):
    _play_losses(context, "on_answer")


@given(
    "a route with {attempts:d} attempts and an item that is answered 422 at each run"
)
def step_impossible_item(context, attempts):
    context.attempts = attempts


@when("any number of owners are lost, each with its answer of 422")
def step_any_lost_with_422(context):
    _play_losses(context, "on_answer", lambda _item_id, _number: 422)


@then("the item has begun at most {count:d} runs")
def step_most_runs(context, count):
    assert context.world.runs["job-0"] <= count, context.world.runs


@when("any number of owners are lost, each once its run has begun")
def step_any_lost_with_run(context):
    _play_losses(context, "on_run")


@when("any number of owners are lost, and the retention of {retention_s:d} s passes")
def step_retention_passes(context, retention_s):
    context.retention_s = retention_s

    async def play(world):
        lost = asyncio.Queue()

        def lose(owner, _item_id):
            owner.lose()
            lost.put_nowait(owner)

        world.on_answer = lose
        context.submitted_s = time.time()
        await world.submit(world.add_owner())
        await _replace_owners(world, lost, _ANY_LOSSES)
        await world.wait_for_results(1, _LIMIT_S)
        context.listed_s = time.time()

    _play(context, play, retention_s=retention_s)


@then("that is later than its retention")
def step_later(context):
    assert context.listed_s - context.submitted_s > context.retention_s


@then("the item has had {count:d} answers of 500 and is sent no more")
def step_answers_of_all(context, count):
    assert context.world.answers_500["job-0"] == count, context.world.answers_500
    assert context.world.runs["job-0"] == count, context.world.runs


@then("the item has begun {count:d} runs and is sent no more")
def step_runs_of_all(context, count):
    assert context.world.runs["job-0"] == count, context.world.runs


@then("no run begins before the store holds the runs of the owners before it")
def step_recorded_first(context):
    assert not context.world.unrecorded_runs, context.world.unrecorded_runs[:5]


@then("nothing is listed")
def step_none_listed(context):
    assert not context.world.list_results(), context.world.list_results()


@given("a route with {attempts:d} attempts and a job of {count:d} items")
def step_items(context, attempts, count):
    context.attempts = attempts
    context.count = count


@when("{losses:d} owners are lost one after the other, each with its first runs")
def step_lost_with_first_runs(context, losses):
    def script(_item_id, _number):
        return "silent" if context.world.losses < losses else 200

    async def play(world):
        await world.submit(world.add_owner(), items=context.count)
        for _ in range(losses):
            owner = world.owners[-1]
            await world.wait_until(owner.begun.total, _LIMIT_S)
            await asyncio.sleep(_NEXT_RUN_S / 5)
            owner.lose()
            await world.add_owner().take_over("job")
        await world.wait_for_results(context.count, _LIMIT_S)

    _play(context, play, script)


@then("all items complete at the next owner")
def step_all_complete(context):
    results = context.world.list_results().values()
    assert len(results) == context.count, len(results)
    assert all(result.is_completed for result in results), results


@given("a route with {attempts:d} attempts and an item that is silent at first")
def step_silent_item(context, attempts):
    context.attempts = attempts
    context.stops = []


@when("{losses:d} owners are lost once its run has begun")
def step_note_losses(context, losses):
    context.stops += ["lose"] * losses


@when("{count:d} owners are stopped as planned, each once its run has begun")
def step_stops(context, count):
    context.stops += ["stop"] * count

    def script(_item_id, number):
        return "silent" if number <= len(context.stops) else 200

    async def play(world):
        await world.submit(world.add_owner())
        for number, stop in enumerate(context.stops):
            owner = world.owners[-1]
            await world.wait_until(lambda n=number: world.runs["job-0"] > n, _LIMIT_S)
            if stop == "stop":
                await owner.runner.release_jobs()
            owner.lose()
            await world.add_owner().take_over("job")
        await world.wait_for_results(1, _LIMIT_S)

    _play(context, play, script)


@then("the item has begun {count:d} runs and completes at the next owner")
def step_completes(context, count):
    (result,) = context.world.list_results().values()
    assert result.is_completed, result
    assert context.world.runs["job-0"] == count, context.world.runs


@given("an item with {failed:d} failed runs on a route with {attempts:d} attempts")
def step_failed_item(context, failed, attempts):
    context.failed_runs = failed
    context.route = job_world.make_route(attempts=attempts)


@given("a row with {lost:d} lost owners and {begun:d} recorded runs of it")
def step_row(context, lost, begun):
    submission = job_world.make_submission("job", 2)
    job = jobs.Job(
        job_id="job",
        host=submission.host,
        path=submission.path,
        route=submission.route.name,
        total=2,
        created_ms=0,
        due_ms=0,
        chunks=1,
        state=jobs.JobState.OPEN,
        owner="d0/1",
        epoch=1,
        listed=0,
        tokens_left=20,
        operation="claim",
        failed_runs={"job-1": context.failed_runs},
        lost_owners=lost,
        begun_runs=(0, begun) if lost else (),
    )
    assert jobs.decode_job(jobs.encode_job(job)) == job
    entry = job_registry.JobEntry(job, 1, 0.0)
    context.owned = owned_jobs.make_owned_job(
        entry, submission.items, jobs.JobProgress()
    )


@when("its job is {age_s:g} s old and it {events}")
def step_decide(context, age_s, events):
    run = context.owned.runs["job-1"]
    if events == "has had events":
        run.restore(jobs.Progress(1, [b"a"]))
    context.admission = item_gate.decide(context.owned, run, context.route, age_s)


@then("the decision is to {admission}")
def step_admission(context, admission):
    assert context.admission is item_gate.Admission(admission), context.admission
