import asyncio
import collections
import dataclasses
import json
import time

from behave import given, then, when

from endivevane import logs
from endivevane.entry import configuration_rows, membership
from endivevane.quarantine import evidence
from endivevane.quarantine import messages as quarantine_messages
from endivevane.quarantine import rows as quarantine_rows
from endivevane.rate_limits import messages as rate_messages
from endivevane.serving import (
    follower,
    job_registry,
    jobs,
    load_table,
    outcome_table,
    peer_messages,
    peer_registry,
    slot_messages,
    slot_registry,
)
from features.support import odd_values, serving_fakes, serving_world

# Texts that are strange but do no harm where any text may stand.
_HARMLESS_TEXTS = ("a NUL", "a line break", "an empty text")
_HARMLESS = {
    **dict.fromkeys(("host", "path", "route", "owner", "operation"), _HARMLESS_TEXTS),
    **dict.fromkeys(("member/0", "member/3"), _HARMLESS_TEXTS),
    "failed_runs": ("an empty object",),
    "begun_runs": ("an empty list",),
    "organisation": ("null", *_HARMLESS_TEXTS),
    "quarantine/0": ("an empty list",),
}


class _JobRows:
    """The rows of jobs and what a daemon makes of them."""

    prefix = jobs.JOB_PREFIX

    def __init__(self):
        self._registry = job_registry.JobRegistry()
        self.apply = self._registry.apply

    def make_row(self, name):
        job = jobs.Job(
            job_id=name,
            host="h",
            path="/p/",
            route="r",
            total=1,
            created_ms=1,
            due_ms=1,
            chunks=1,
            state="open",
            owner="d/1",
            epoch=1,
            listed=0,
            tokens_left=5,
            operation="o",
        )
        return dataclasses.asdict(job)

    def list_applied(self):
        return list(self._registry.entries)


class _MemberRows:
    """The rows of daemons and what a daemon makes of them."""

    prefix = jobs.MEMBER_PREFIX

    def __init__(self):
        identity = serving_fakes.make_identity()
        self._registry = peer_registry.PeerRegistry(identity)
        self.apply = membership.Membership(identity, self._registry, None).apply

    def make_row(self, name):
        return ["near", "10.0.0.1", 80, name, 1.0]

    def list_applied(self):
        return list(self._registry.peers)


class _QuarantineRows:
    """The rows of quarantines and what a daemon makes of them."""

    prefix = quarantine_rows.ROW_PREFIX

    def __init__(self):
        self.apply = serving_fakes.make_quarantine().apply_row
        self._begun = []
        logs.add_observer(self._observe)

    def _observe(self, event, fields):
        if event == "quarantine_begun":
            self._begun.append(fields["entry"])

    def make_row(self, name):
        now_ms = int(time.time() * 1000)
        return [[name], 1, now_ms, now_ms]

    def list_applied(self):
        return self._begun


_KINDS = {
    "a job": _JobRows,
    "a daemon": _MemberRows,
    "a quarantine": _QuarantineRows,
}


def _list_odd_rows(kind):
    """Return the keys and values of rows with an odd field that must not pass."""
    rows = {}
    sound = kind.make_row("odd")
    for field in sound if isinstance(sound, dict) else range(len(sound)):
        label = field if isinstance(field, str) else f"{kind.prefix}{field}"
        for value, odd in odd_values.ODD_VALUES.items():
            if value not in _HARMLESS.get(label, ()):
                name = f"{field}={value.replace(' ', '-')}"
                fields = kind.make_row(name)
                rows[name] = odd_values.dump_with(fields, field, odd)
    return rows


@given("a daemon that follows the state of {kind}")
def step_followed_state(context, kind):
    context.kind = _KINDS[kind]()
    context.rows = serving_fakes.FakeStore()
    context.feed = follower.TableFollower(
        context.rows, jobs.STATE_TABLE, "", context.kind.apply
    )
    events = context.events = collections.Counter()
    logs.add_observer(lambda event, _fields: events.update([event]))


@when("the table holds each odd value in each field of its row, then a sound row")
def step_every_odd_row(context):
    kind = context.kind
    context.odd_keys = _list_odd_rows(kind)
    rows = [(kind.prefix + name, value) for name, value in context.odd_keys.items()]
    sound = json.dumps(kind.make_row("sound")).encode()
    context.feed_table = jobs.STATE_TABLE
    asyncio.run(odd_values.follow(context, [*rows, (f"{kind.prefix}sound", sound)]))


@then('each odd row has left 1 log line "{event}" and nothing else')
def step_odd_rows_logged(context, event):
    applied = set(context.kind.list_applied()) - {"sound"}
    assert not applied, sorted(applied)
    assert context.events[event] == len(context.odd_keys), context.events
    assert not context.events["row_not_applied"], context.events


@then("the sound row is applied")
def step_sound_row_applied(context):
    assert context.kind.list_applied() == ["sound"]


_STATE = peer_messages.RegionState(
    "far",
    True,
    ("d2",),
    ("d3",),
    (peer_messages.UnregisteredPeer("d4", "10.0.0.4", "r"),),
)
_NOTICES = (rate_messages.LimitNotice("t/1", 5.0, 0.5),)
_MESSAGES = {
    "a report": peer_messages.Report(
        "d1",
        "near",
        "r1",
        7,
        {"t": load_table.Load(1, 2)},
        waiting_items=3,
        waiting_requests={"lm": 4},
        outcomes={"t": outcome_table.Outcomes(2.5, 1.5)},
        version=9,
        alive=(("d2", "r2"),),
        weight=1.5,
        held=(slot_registry.HeldSlot(1, "t", True),),
        state=_STATE,
    ),
    "a membership notice": peer_messages.MembershipNotice(
        "d1", "near", "r1", 7, 9, 1.5, (_STATE,)
    ),
    "a request for a slot": slot_messages.Acquire(
        "r1", 1, "lm", "z1", False, 2, 1, 0.5, 1.5, True, ("a",), ("b",), ("c",), "x"
    ),
    "a granted slot": slot_messages.Granted(1, "t"),
    "a refused slot": slot_messages.Refused(1, 0.5),
    "a released slot": slot_messages.Release("r1", 1, 0.5, 0.25),
    "quarantine news": quarantine_messages.QuarantineNews(
        "near",
        (
            quarantine_messages.EndReport(
                "t/1", 0.5, (evidence.Suspect("f", ("s",), True),), {"s": 0.5}
            ),
        ),
        (quarantine_messages.EntryNotice("e", ("s",), 1, 0.5, 0.25),),
        (quarantine_messages.AnswerNotice({"s": 0.5}),),
    ),
    "rate limits": rate_messages.LimitNews(_NOTICES),
    "a request for a token": rate_messages.TokenRequest(
        1, rate_messages.Need.ITEM, 1, 0.5, _NOTICES
    ),
    "a granted token": rate_messages.TokenGrant(1, "t"),
}
# Larger integers are not exact in the floats that they meet.
_MAX_NUMBER = 2**53


def _list_mutations(value, odd):
    """Return JSON texts in each of which one part of a value is an odd text."""
    if isinstance(value, dict | list):
        names = value if isinstance(value, dict) else range(len(value))
        for name in names:
            for part in (odd, *_list_mutations(value[name], odd)):
                yield odd_values.dump_with(value, name, part)


def _is_in_range(value):
    if isinstance(value, dict):
        return all(map(_is_in_range, value.values()))
    if isinstance(value, list):
        return all(map(_is_in_range, value))
    return isinstance(value, str | None) or 0 <= abs(value) <= _MAX_NUMBER


@when("each odd value takes the place of each part of {kind}")
def step_mutate_message(context, kind):
    sound = json.loads(peer_messages.encode(_MESSAGES[kind]))
    context.wrong = []
    context.tried = 0
    for value, odd in odd_values.ODD_VALUES.items():
        for data in _list_mutations(sound, odd):
            context.tried += 1
            try:
                message = peer_messages.decode(data)
            except ValueError:
                continue
            content = json.loads(peer_messages.encode(message))
            # An age is at least 0.
            allowed = (json.loads(data), json.loads(data.replace(b"-1", b"0")))
            if content not in allowed or not _is_in_range(content):
                context.wrong.append((value, data[:200]))


@then("the datagram is refused, or says what it holds and no number out of range")
def step_no_wrong_message(context):
    assert context.tried >= len(odd_values.ODD_VALUES) * 2, context.tried
    assert not context.wrong, (len(context.wrong), context.wrong[:5])


@given("a daemon that follows the configuration")
def step_followed_configuration(context):
    context.rows = serving_fakes.FakeStore()
    context.tables = []
    context.feed_table = "op"

    def apply(row):
        table = configuration_rows.decode_routes(row.value, row.version)
        if table is not None:
            context.tables.append(table.configuration)

    context.feed = follower.TableFollower(context.rows, "op", "", apply)
    events = context.events = collections.Counter()
    logs.add_observer(lambda event, _fields: events.update([event]))


@when("configurations with each odd value in each part are written, then a sound one")
def step_odd_configurations(context):
    sound = serving_world.make_configuration(trafficSplit=[{"service": "b"}])
    sound["limits"].update(headerTimeoutMs=3000, idleTimeoutMs=15000)
    odd = [
        (f"{value} {number}", data)
        for value, text in odd_values.ODD_VALUES.items()
        for number, data in enumerate(_list_mutations(sound, text))
    ]
    context.odd_count = len(odd)
    last = json.dumps({**sound, "version": 77}).encode()
    asyncio.run(odd_values.follow(context, [*odd, ("config", last)]))


@then("each of them has left 1 log line, or is in force without the odd value")
def step_odd_configurations_logged(context):
    assert not context.events["row_not_applied"], context.events
    unusable = context.events["configuration_unusable"]
    assert unusable + len(context.tables) == context.odd_count + 1, context.events
    wrong = [
        table
        for table in context.tables
        if not _is_in_range(json.loads(json.dumps(dataclasses.asdict(table))))
    ]
    assert not wrong, (len(wrong), wrong[:3])


@then("the sound configuration is in force")
def step_sound_configuration(context):
    assert context.tables[-1].version == 77
