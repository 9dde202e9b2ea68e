import json
import threading
import time

from behave import given, then, when

from endivevane import testing
from endivevane.coordination import clock
from endivevane.online import messages, quarantine_rows
from features.support import batch_fleet, raw_http
from tools import fleet

_MODEL = "small-lm"
_CRASHING = "crash the engine"
_ZONES = {
    "one region": (fleet.Zone("zone-a", "west"), fleet.Zone("zone-b", "west")),
    "two regions": (fleet.Zone("zone-a", "west"), fleet.Zone("zone-b", "east")),
}


class QuarantineFleet(batch_fleet.BatchFleet):
    """A batch fleet in given zones whose engines crash on one prompt."""

    def __init__(self, zones):
        super().__init__(daemons=3, engines=6, zones=_ZONES[zones])
        self.supervisor = None

    def keep_running(self):
        """Restart crashed engines until the fleet is closed."""

        def run():
            while not self.is_closed.wait(1.0):
                self.restart_crashed()

        self.is_closed = threading.Event()
        self.supervisor = threading.Thread(target=run)
        self.supervisor.start()

    def close(self):
        if self.supervisor is not None:
            self.is_closed.set()
            self.supervisor.join()
        super().close()

    def restart_crashed(self):
        for engine in self.fleet.engines:
            if engine.process.is_running:
                continue
            engine.restart()
            engine.set_faults(crash_on=_CRASHING)

    def count_crashes(self):
        """Return the number of engine crashes, counted by their log lines."""
        logs = [item.process.log_path.read_text() for item in self.fleet.engines]
        return sum(log.splitlines().count("crashed") for log in logs)

    def send(self, daemon, prompt):
        """Send a request to one daemon and return its status."""
        messages = [{"role": "user", "content": prompt}]
        body = {"model": _MODEL, "max_tokens": 8, "messages": messages}
        fields = {"Authorization": f"Bearer {self.fleet.caller_key()}"}
        sock = raw_http.connect(daemon.address)
        data = json.dumps(body).encode()
        sock.sendall(
            raw_http.encode_request("POST", "/v1/chat/completions", data, fields)
        )
        return raw_http.read_answer(sock).status

    def send_to_all(self, prompt):
        """Send a request to all daemons at the same time and return the statuses."""
        barrier = threading.Barrier(len(self.fleet.daemons))
        statuses = [0] * len(self.fleet.daemons)

        def run(index):
            barrier.wait()
            statuses[index] = self.send(self.fleet.daemons[index], prompt)

        threads = [
            threading.Thread(target=run, args=(index,))
            for index in range(len(statuses))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60.0)
        return statuses


@given("3 daemons and 6 engines in {zones}, which crash on a request")
def step_fleet(context, zones):
    context.world = QuarantineFleet(zones)
    context.cleanups.append(context.world.close)
    context.world.start()
    for engine in context.world.fleet.engines:
        engine.set_faults(crash_on=_CRASHING)


@when("the crashing request is sent to all daemons at the same moment")
def step_send_all(context):
    statuses = context.world.send_to_all(_CRASHING)
    print(f"statuses={statuses} crashes={context.world.count_crashes()}")
    assert 200 not in statuses, statuses


@when("the crashing request is sent to the restarted daemon")
def step_send_one(context):
    status = context.world.send(context.world.fleet.daemons[0], _CRASHING)
    print(f"status={status} crashes={context.world.count_crashes()}")


@when("all engines that crashed are started again")
def step_restart(context):
    context.world.restart_crashed()


@given("engines that crash are started again after a second")
def step_keep_running(context):
    context.world.keep_running()


@when("a job with the crashing request among {count:d} items is run")
def step_job(context, count):
    lines = batch_fleet.make_lines(count, _MODEL)
    [line] = batch_fleet.make_lines(1, _MODEL, content=_CRASHING)
    crashing = {**json.loads(line), "custom_id": "crashing"}
    lines.insert(count // 2, json.dumps(crashing))
    file = context.world.upload(lines)
    context.job = context.world.wait(context.world.create(file.id).id)


@then('the job has {good:d} good items and one that failed as "{code}"')
def step_check_job(context, good, code):
    failed = context.world.read(context.job.error_file_id)
    print(f"crashes={context.world.count_crashes()} failed={failed}")
    assert len(context.world.read(context.job.output_file_id)) == good
    found = [(item["custom_id"], item["error"]["code"]) for item in failed]
    assert found == [("crashing", code)], found


@when("a daemon is killed and started again while the others are paused")
def step_restart_daemon(context):
    """The daemon can learn of the quarantine from the table service only."""
    first, *others = context.world.fleet.daemons
    first.kill()
    for daemon in others:
        daemon.pause()
        context.cleanups.append(daemon.resume)
    first.restart()


@when("the store is down")
def step_store_down(context):
    context.world.fleet.store.set_faults(down=True)


@then("at most {limit:d} engines have crashed")
def step_check_crashes(context, limit):
    crashes = context.world.count_crashes()
    print(f"crashes={crashes}")
    assert 1 <= crashes <= limit, crashes


@then("all daemons answer healthy requests")
def step_check_healthy(context):
    for daemon in context.world.fleet.daemons:
        daemon.resume()
    time.sleep(1.0)
    statuses = context.world.send_to_all("healthy")
    assert statuses == [200, 200, 200], statuses


@given("rows of crashes in a store")
def step_rows(context):
    context.clock = clock.ManualClock(1000.0, 1_700_000_000_000)
    context.store = testing.MemoryTableStore()
    context.got = []
    context.rows = quarantine_rows.QuarantineRows(
        context.clock, context.store, context.got.append
    )


def _read_deaths(context):
    row = context.store.read(quarantine_rows.TABLE, "f").unwrap()
    return row.value["deaths"] if row is not None else 0


@when("two daemons write one crash each of different targets")
def step_two_rows(context):
    crashed_ms = context.clock.wall_ms()
    for target, deaths in (("t1", 1), ("t1", 1), ("t2", 2)):
        entry = messages.QuarantineChanged("f", -crashed_ms, target)
        assert context.rows.write(entry)
        assert _read_deaths(context) == deaths, (target, _read_deaths(context))


@then("a read delivers a quarantine, and after its end nothing")
def step_read_rows(context):
    context.got.clear()
    context.rows.read()
    assert [entry.until_wall_ms > 0 for entry in context.got] == [True], context.got
    context.clock.advance(301.0)
    context.rows.read()
    assert len(context.got) == 1, context.got


@then("the expired row is overwritten by a new crash and removed after its end")
def step_old_row(context):
    entry = messages.QuarantineChanged("f", -context.clock.wall_ms(), "t9")
    assert context.rows.write(entry) and _read_deaths(context) == 1
    context.clock.advance(700.0)
    context.rows.read()
    assert _read_deaths(context) == 0
