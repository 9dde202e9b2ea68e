import itertools
import time

import result
import zmq
from behave import given, then, when

from endivevane import testing
from endivevane.cluster import events, messages, transport
from endivevane.configuration import publishing
from endivevane.coordination import feed, gossip_messages, members
from endivevane.daemon import settings as daemon_settings
from features.support import cluster_members

_operations = itertools.count()


class SlowStore:
    """Delays calls to a table store."""

    def __init__(self, inner):
        self.inner = inner
        self.delay_s = 0.0

    def __getattr__(self, name):
        return getattr(self.inner, name)

    def read(self, *arguments):
        time.sleep(self.delay_s)
        return self.inner.read(*arguments)

    def scan(self, *arguments):
        time.sleep(self.delay_s)
        return self.inner.scan(*arguments)

    def transact(self, *arguments):
        time.sleep(self.delay_s)
        return self.inner.transact(*arguments)


class Probe:
    """A transport of a peer that is not a member."""

    def __init__(self, context, keys, name="outsider"):
        self.address = context.group._ports.reserve_address()
        document = cluster_members.make_settings(
            name, ("z1", "r1"), self.address, self.address, (), keys
        )
        settings = daemon_settings.Settings.model_validate(document)
        self.transport = transport.Transport(settings, 8)
        self.received = []
        context.cleanups.append(self.transport.close)

    def send_requests(self, task, address, public_key):
        self.transport.connect(task.session().daemon, address, public_key)
        header = gossip_messages.Header("outsider", 0)
        description = members.Description(self.address, "z1", "r1")
        update = members.Update("outsider", 0, members.MemberState.ALIVE, description)
        header_with_update = gossip_messages.Header("outsider", 0, updates=(update,))
        self.transport.send(
            task.session().daemon, gossip_messages.SyncRequest(header_with_update, 0)
        )
        self.transport.send(task.session().daemon, messages.ConfigGet(header, {}))

    def listen(self, duration_s):
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            self.transport.wait(0.05)
            self.received += self.transport.receive()


@given("{count:d} members with CURVE keys that have joined")
def step_start_members(context, count):
    context.store = SlowStore(testing.MemoryTableStore())
    context.group = cluster_members.LocalGroup(count, context.store)
    context.cleanups.append(context.group.close)
    context.group.start()
    waited_s = context.group.wait_joined()
    assert waited_s is not None, [len(task.members()) for task in context.group.tasks]


@when("a configuration is published {count:d} times")
def step_publish(context, count):
    context.delays = []
    for number in range(count):
        context.group.publish(number)
        revision = context.group.documents.revision
        context.delays.append(
            cluster_members.wait_until(
                lambda revision=revision: all(
                    task.snapshot.revision >= revision for task in context.group.tasks
                ),
                10.0,
            )
        )


@then("all members applied each revision within {limit:g} seconds")
def step_check_delays(context, limit):
    print(f"in force after {context.delays}")
    assert all(delay is not None and delay <= limit for delay in context.delays)


@then("all zones confirm the last revision within {limit:g} seconds")
def step_check_confirmed(context, limit):
    expected = {zone: len(context.delays) for zone, _ in cluster_members.ZONES}

    def is_confirmed():
        return publishing.read_confirmations(context.store).unwrap() == expected

    assert cluster_members.wait_until(is_confirmed, limit) is not None


@when("a peer sends the documents of revision 1 to all members")
def step_send_old(context):
    keys = context.group.keys[0]
    probe = Probe(context, keys)
    header = gossip_messages.Header("outsider", 0, 1, 1)
    old = cluster_members.make_documents(0).documents["fleet"]
    rows = messages.ConfigRows(header, 1, "accepted", {"fleet": 1}, {"fleet": old})
    for number, task in enumerate(context.group.tasks):
        key = context.group.keys[number]["public"]
        name = task.session().daemon
        probe.transport.connect(name, context.group.addresses[number], key)
        probe.transport.send(name, rows)
    probe.listen(1.0)
    for task in context.group.tasks:
        assert task.transport.counts.messages["in", "config_rows"] >= 1


@then("all members keep revision {revision:d}")
def step_check_kept(context, revision):
    found = [task.snapshot.revision for task in context.group.tasks]
    assert found == [revision] * len(found), found


def _restart(context, number):
    group = context.group
    group.tasks[number].stop()
    group.tasks[number] = group.make_task(number)
    group.tasks[number].start()


@when("the store goes down and the member {number:d} restarts")
def step_restart(context, number):
    context.store.inner.is_down = True
    _restart(context, number)


@when(
    "the store goes down, the other members of its zone stop, "
    "and the member {number:d} restarts"
)
def step_restart_alone(context, number):
    context.store.inner.is_down = True
    zones = len(cluster_members.ZONES)
    for other, task in enumerate(context.group.tasks):
        if other % zones == number % zones and other != number:
            task.stop()
    _restart(context, number)


@then(
    "the member {number:d} is ready with revision {revision:d} within {limit:g} seconds"
)
def step_check_ready(context, number, revision, limit):
    task = context.group.tasks[number]
    waited_s = cluster_members.wait_until(
        lambda: task.is_ready() and task.snapshot.revision == revision, limit
    )
    assert waited_s is not None, (task.is_ready(), task.snapshot.revision)
    print(f"ready after {waited_s:.2f} s")


@then("the member {number:d} is not ready within {limit:g} seconds")
def step_check_not_ready(context, number, limit):
    task = context.group.tasks[number]
    assert cluster_members.wait_until(task.is_ready, limit) is None


@then(
    "the member {number:d} is ready with revision {revision:d} "
    "within {limit:g} seconds after the store is back"
)
def step_check_ready_later(context, number, revision, limit):
    context.store.inner.is_down = False
    step_check_ready(context, number, revision, limit)


@given("3 alive daemons of a zone, one of which has applied an older revision")
def step_zone(context):
    context.applied = {"d1": 7, "d2": 5, "d3": 7, "gone": 1}
    context.live = ["d1", "d2", "d3"]


@then("the zone confirms the older revision")
def step_check_older(context):
    assert feed.compute_confirmation(context.live, context.applied) == 5


@then("a zone with a daemon that has not reported confirms nothing")
def step_check_unreported(context):
    assert feed.compute_confirmation(["d1", "d4"], context.applied) is None
    assert feed.compute_confirmation([], context.applied) is None


@then("a later confirmation never lowers an earlier one, whatever the store does")
def step_check_not_lowered(context):
    memory = testing.MemoryTableStore()
    highest = 0
    faults = [None, *testing.Fault]
    for first, second, revision in itertools.product(faults, faults, (3, 9, 4)):
        memory.script(first, second)
        outcome = feed.write_confirmation(
            memory, "z1", revision, f"ack-{next(_operations)}"
        )
        memory.apply_delayed()
        row = memory.rows(feed.TABLE).get("acks/z1")
        found = row.value["revision"] if row else 0
        assert found >= highest, (first, second, revision, found, highest)
        if isinstance(outcome, result.Ok):
            assert found >= revision, (first, second, revision, found)
        highest = found
    assert highest == 9, highest


@when("a peer with an unknown key and a plain peer send to each member for 2 seconds")
def step_send_unknown(context):
    public, secret = (key.decode() for key in zmq.curve_keypair())
    allowed = [item["public"] for item in context.group.keys]
    unknown_keys = {"public": public, "secret": secret, "peer_public": allowed}
    context.probes = [Probe(context, unknown_keys), Probe(context, None)]
    context.views = [task.members() for task in context.group.tasks]
    for _ in range(4):
        for probe in context.probes:
            for number, task in enumerate(context.group.tasks):
                address = context.group.addresses[number]
                probe.send_requests(task, address, allowed[number])
            probe.listen(0.25)


@then("neither gets an answer and the members' tables are unchanged")
def step_check_nothing(context):
    for probe in context.probes:
        assert not probe.received, probe.received
    views = [{member.name for member in task.members()} for task in context.group.tasks]
    assert all("outsider" not in view for view in views), views
    refused = [
        task.transport.counts.dropped["handshake"] for task in context.group.tasks
    ]
    assert all(count >= 1 for count in refused), refused
    # The same messages with an allowed key are answered, so no answer means rejected.
    allowed_probe = Probe(context, context.group.keys[0])
    allowed_probe.send_requests(
        context.group.tasks[1],
        context.group.addresses[1],
        context.group.keys[1]["public"],
    )
    allowed_probe.listen(1.0)
    assert allowed_probe.received


@when("an allowed peer sends {count:d} malformed messages")
def step_send_malformed(context, count):
    probe = Probe(context, context.group.keys[0])
    context.probe = probe
    key = context.group.keys[1]["public"]
    probe.transport.connect("d1", context.group.addresses[1], key)
    target = probe.transport._connections["d1"].routing_id
    bad = [
        b"",
        b"\xff\xfe",
        b"[]",
        b"{}",
        b'["ping"]',
        b'["ping","x",-1,0,0,[],1]',
        b'["ping","x",0,0,0,[["y"]],1]',
        b'["ping","x",0,0,0,[],"1"]',
        b'["unknown","x",0,0,0,[]]',
        b'["quarantine","x",0,0,0,[],[],"x",""]',
        b'["config_rows","x",0,0,0,[],1,"accepted",{"a":"b"},{}]',
        b"[" * 2000,
    ]
    for number in range(count):
        frames = [target, bad[number % len(bad)]]
        if number % 50 == 49:
            frames.append(b"extra")
        probe.transport._client.send_multipart(frames)
    probe.listen(1.0)


@then("the messages are counted as malformed and the member still answers")
def step_check_counted(context):
    counts = context.group.tasks[1].transport.counts
    dropped = counts.dropped["malformed"] + counts.dropped["frames"]
    assert dropped == 200, counts.dropped
    context.probe.send_requests(
        context.group.tasks[1],
        context.group.addresses[1],
        context.group.keys[1]["public"],
    )
    context.probe.listen(1.0)
    assert context.probe.received


@when("every store call takes {delay:g} seconds for {duration:g} seconds")
def step_slow(context, delay, duration):
    context.store.delay_s = delay
    deaths = []
    until_s = time.monotonic() + duration
    while time.monotonic() < until_s:
        for task in context.group.tasks:
            deaths += [
                member.name
                for member in task.members()
                if member.state is members.MemberState.DEAD
            ]
        time.sleep(0.05)
    context.store.delay_s = 0.0
    context.deaths = deaths


@then("no member was declared dead")
def step_check_no_deaths(context):
    assert not context.deaths, context.deaths[:5]


@when("the member 0 broadcasts {count:d} messages")
def step_broadcast(context, count):
    for number in range(count):
        context.group.tasks[0].broadcast("job_cancelled", {"number": number})
    context.count = count


@then("every other member gets each of them once within {limit:g} seconds")
def step_check_broadcast(context, limit):
    expected = context.count * (len(context.group.tasks) - 1)
    received = context.group.received
    cluster_members.wait_until(lambda: len(received) >= expected, limit)
    time.sleep(0.5)
    numbers = sorted(event.body["number"] for event in received)
    wanted = sorted(list(range(context.count)) * (len(context.group.tasks) - 1))
    assert numbers == wanted, f"{len(numbers)} of {len(wanted)}"


@given("{count:d} members whose names are bound to their CURVE keys")
def step_start_bound(context, count):
    context.store = SlowStore(testing.MemoryTableStore())
    context.group = cluster_members.LocalGroup(count, context.store, has_names=True)
    context.cleanups.append(context.group.close)
    context.group.start()
    assert context.group.wait_joined() is not None


@when('a host with the key of "{owner}" sends a cancel as "{sender}" from "{origin}"')
def step_speak_as(context, owner, sender, origin):
    """Send the message to member 0 over a new connection."""
    keys = context.group.keys[int(owner[1:])]
    probe = Probe(context, keys, owner)
    task = context.group.tasks[0]
    context.before = task.transport.counts.dropped["wrong_name"]
    context.received = []
    task.subscribe(context.received.append)
    address = context.group.addresses[0]
    probe.transport.connect("d0", address, context.group.keys[0]["public"])
    header = gossip_messages.Header(sender, 0)
    body = {"job_id": f"{owner}-{sender}-{origin}"}
    message = messages.Application(header, "job_cancelled", body, origin)
    probe.transport.send("d0", message)
    probe.listen(1.0)
    context.delivered = [
        event.body["job_id"]
        for event in context.received
        if isinstance(event, events.PeerMessage)
    ]
    context.job_id = body["job_id"]


@then("the member takes the cancel")
def step_check_taken(context):
    assert context.delivered == [context.job_id], context.delivered


@then("the member drops the cancel and counts a wrong name")
def step_check_dropped(context):
    dropped = context.group.tasks[0].transport.counts.dropped["wrong_name"]
    assert context.delivered == [] and dropped == context.before + 1, (
        context.delivered,
        dropped,
    )
