import pathlib
import random
import subprocess
import sys
import tempfile

import result
from behave import given, then, when

from endivevane import exceptions, testing
from endivevane.configuration import models, publishing, snapshot

_INVALID_FILES = {
    "malformed.endivevane.toml": "kind = service",
    "unknown-key.endivevane.toml": "[online]\ndeadline = 5",
    "wrong-unit.endivevane.toml": '[online]\ndeadline_s = "5 minutes"',
    "duplicate-target.endivevane.toml": (
        '[[targets]]\nname = "chat-1"\naddress = "127.0.0.1:1"\nzone = "zone-a"\n'
        '[[targets]]\nname = "chat-1"\naddress = "127.0.0.1:2"\nzone = "zone-a"'
    ),
    "no-kind.endivevane.toml": None,
    "bad-address.endivevane.toml": (
        '[[targets]]\nname = "chat-1"\naddress = "127.0.0.1"\nzone = "zone-a"'
    ),
}
_SERVICE_HEAD = (
    'kind = "service"\nname = "chat"\ntype = "model"\norganisations = ["orchard"]\n'
    '[[models]]\nname = "chat-model"\n'
)


def make_service(name, target_count, zone="zone-a", organisation="orchard"):
    model = models.ServiceModel(
        kind="service",
        name=name,
        type="model",
        organisations=(organisation,),
        models=(models.LanguageModelModel(name=f"{name}-model"),),
        targets=tuple(
            models.TargetModel(
                name=f"{name}-{index}", address=f"127.0.0.1:{9000 + index}", zone=zone
            )
            for index in range(target_count)
        ),
    )
    return {f"services/{name}": model.model_dump(mode="json")}


def _fetch(context, known=publishing.NO_DOCUMENTS):
    return publishing.fetch_changes(context.store, known).unwrap()


@given("an empty table store")
def step_store(context):
    context.store = testing.MemoryTableStore()
    context.outcomes = {}


@given('a published fleet with zones "{zones}" and the organisation "{organisation}"')
def step_fleet(context, zones, organisation):
    fleet = models.FleetModel(
        kind="fleet",
        zones=tuple(models.ZoneModel(name=z, region="region-1") for z in zones.split()),
    )
    owner = models.OrganisationModel(kind="organisation", name=organisation)
    change = publishing.Change(
        {
            "fleet": fleet.model_dump(mode="json"),
            f"organisations/{organisation}": owner.model_dump(mode="json"),
        }
    )
    publishing.publish(context.store, change, publishing.NO_DOCUMENTS).unwrap()


@given("two publishers that have read the head")
def step_publishers(context):
    base = _fetch(context)
    context.bases = {1: base, 2: base}


@given('publisher {number:d} has put service "{name}" with {count:d} target into force')
def step_in_force(context, number, name, count):
    change = publishing.Change(make_service(name, count))
    context.first = publishing.publish(context.store, change, _fetch(context)).unwrap()
    context.bases = {1: context.first, 2: context.first}


@when('publisher {number:d} publishes service "{name}" with {count:d} targets')
def step_publish(context, number, name, count):
    change = publishing.Change(make_service(name, count))
    base = context.bases[number]
    context.outcomes[number] = publishing.publish(context.store, change, base)


@when('publisher {number:d} removes service "{name}"')
def step_remove(context, number, name):
    change = publishing.Change({}, removed=(f"services/{name}",))
    outcome = publishing.publish(context.store, change, context.bases[number])
    context.bases[number] = outcome.unwrap()


@when("the next write takes effect and its response is lost")
def step_lose(context):
    context.store.script(testing.Fault.LOST_AFTER)


@when(
    'the next response is lost and publisher 1 publishes "{name}" before the read back'
)
def step_lose_then_move(context, name):
    calls = []

    def choose_fault(kind):
        calls.append(kind)
        if len(calls) == 1:
            return testing.Fault.LOST_AFTER
        if len(calls) == 2:
            change = publishing.Change(make_service(name, 2))
            base = context.bases[1]
            context.outcomes[1] = publishing.publish(context.store, change, base)
        return None

    context.store.choose_fault = choose_fault


@then("both publishes succeed")
def step_success(context):
    for outcome in context.outcomes.values():
        assert isinstance(outcome, result.Ok), outcome


@then('the services in force are "{names}"')
def step_services(context, names):
    keys = [key for key in _fetch(context).documents if key.startswith("services/")]
    assert sorted(keys) == [f"services/{name}" for name in names.split()], keys


@then("the revision is {revision:d}")
def step_revision(context, revision):
    assert _fetch(context).revision == revision, _fetch(context).revision


@then(
    'publisher {number:d} gets a conflict on "{key}" from version {expected:d} '
    "to version {actual:d}"
)
def step_conflict(context, number, key, expected, actual):
    error = context.outcomes[number].err()
    assert isinstance(error, exceptions.PublishConflict), error
    found = (error.document, error.expected_revision, error.actual_revision)
    assert found == (key, expected, actual), found


@then('service "{name}" has {count:d} targets in force')
def step_targets(context, name, count):
    document = _fetch(context).documents[f"services/{name}"].document
    assert len(document["targets"]) == count


@then("a reader that knew the first version sees {count:d} targets")
def step_reader(context, count):
    documents = _fetch(context, known=context.first)
    assert len(documents.documents["services/chat"].document["targets"]) == count


@when('a service "{name}" with a target in zone "{zone}" for "{owner}" is published')
def step_bad_references(context, name, zone, owner):
    change = publishing.Change(make_service(name, 1, zone, owner))
    context.outcomes[1] = publishing.publish(context.store, change, _fetch(context))


@then("the publish is rejected with problems at")
def step_rejected(context):
    error = context.outcomes[1].err()
    assert isinstance(error, publishing.PublishRejected), error
    expected = [row["key"] for row in context.table]
    assert [problem.key for problem in error.problems] == expected, error


@when("{count:d} random publishes run with seed {seed:d} against a store that fails")
def step_random(context, count, seed):
    print(f"seed {seed}")
    generator = random.Random(seed)
    faults = [None] * 25 + list(testing.Fault)
    context.store.choose_fault = lambda kind: generator.choice(faults)
    bases = [publishing.NO_DOCUMENTS] * 4
    context.successes = []
    for index in range(count):
        publisher = generator.randrange(len(bases))
        if generator.random() < 0.5:
            fetched = publishing.fetch_changes(context.store, bases[publisher])
            bases[publisher] = fetched.unwrap_or(bases[publisher])
        # The target count identifies the content of each publish.
        change = publishing.Change(
            make_service(generator.choice("abc"), index % 50 + 1)
        )
        outcome = publishing.publish(context.store, change, bases[publisher])
        if isinstance(outcome, result.Ok):
            bases[publisher] = outcome.ok_value
            (key, document), *_ = change.documents.items()
            context.successes.append((key, document))
    context.store.choose_fault = None
    context.store.apply_delayed()


@then("every publish that reported success was in force at its revision")
def step_in_history(context):
    written = [
        (write.key, write.value["document"])
        for transaction in context.store.history
        for write in transaction.writes
        if write.value is not None and "document" in write.value
    ]
    assert len(context.successes) > 50, len(context.successes)
    for success in context.successes:
        assert success in written, success


@then("revisions only grow by one for each applied publish")
def step_monotonic(context):
    revisions = [
        write.value["revision"]
        for transaction in context.store.history
        for write in transaction.writes
        if write.key == publishing.HEAD_KEY
    ]
    assert revisions == list(range(1, len(revisions) + 1)), revisions


@given('a configuration folder with the file "{file}"')
def step_folder(context, file):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    extra = _INVALID_FILES[file]
    text = 'name = "chat"\n' if extra is None else _SERVICE_HEAD + extra
    (context.folder / file).write_text(text)


@when("endivevanectl validates the folder")
def step_validate(context):
    context.run = subprocess.run(
        [sys.executable, "-m", "endivevane.ctl.main", "validate", str(context.folder)],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@then("the exit code is {code:d}")
def step_exit_code(context, code):
    assert context.run.returncode == code, context.run


@then('standard error names "{file}" and "{text}"')
def step_stderr(context, file, text):
    assert file in context.run.stderr, context.run.stderr
    assert text in context.run.stderr, context.run.stderr


@given('publisher 1 has put service "{name}" with the adapter "{adapter}" into force')
def step_adapter(context, name, adapter):
    ((key, document),) = make_service(name, 1).items()
    document["models"][0]["adapters"] = [adapter]
    change = publishing.Change({key: document})
    publishing.publish(context.store, change, _fetch(context)).unwrap()


@then('"{organisation}" finds "{model}" at service "{service}"')
def step_find(context, organisation, model, service):
    documents = _fetch(context)
    current = snapshot.build_snapshot(
        documents.revision,
        {key: item.document for key, item in documents.documents.items()},
    )
    found = current.find_service(organisation, model)
    assert (found.name if found is not None else "none") == service, found
