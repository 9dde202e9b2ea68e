"""Cluster members with real sockets, in this process or one process each."""

import json
import random
import time

import zmq

from endivevane import types
from endivevane.cluster import events, link_shares, tasks
from endivevane.configuration import publishing
from endivevane.coordination import clock
from endivevane.daemon import settings as daemon_settings
from endivevane.external import http_pool, table
from tools import ports, processes, toml_text

ZONES = (("z1", "r1"), ("z2", "r1"), ("z3", "r2"))


def make_documents(number):
    fleet = {
        "kind": "fleet",
        "zones": [{"name": name, "region": region} for name, region in ZONES],
        "link": {"capacity_mbit_s": 15.0 + number},
    }
    return publishing.Change({"fleet": fleet})


def make_settings(name, place, listen, platform, seeds, keys=None, term_s=9.0):
    document = {
        "daemon": {
            "name": name,
            "zone": place[0],
            "region": place[1],
            "listen": listen,
            "cluster_listen": listen,
        },
        "platform": {
            "table_service": platform,
            "object_store": platform,
            "vm_list": platform,
        },
        "membership": {"seeds": list(seeds)},
        "session": {"term_s": term_s},
    }
    if keys is not None:
        document["keys"] = keys
    return document


def make_key_sections(count):
    pairs = [[key.decode() for key in zmq.curve_keypair()] for _ in range(count)]
    allowed = [public for public, _ in pairs]
    return [
        {"public": public, "secret": secret, "peer_public": allowed}
        for public, secret in pairs
    ]


def wait_until(is_done, limit_s):
    """Wait for a condition; return the seconds waited, or ``None`` on a timeout."""
    started_s = time.monotonic()
    while time.monotonic() - started_s < limit_s:
        if is_done():
            return time.monotonic() - started_s
        time.sleep(0.01)
    return None


class LocalGroup:
    """Cluster tasks in this process, using an in-memory table store."""

    def __init__(self, count, table_store, has_keys=True, has_names=False):
        self.store = table_store
        self._ports = ports.Ports()
        self.addresses = [self._ports.reserve_address() for _ in range(count)]
        self.keys = make_key_sections(count) if has_keys else [None] * count
        if has_names:
            names = {f"d{n}": [item["public"]] for n, item in enumerate(self.keys)}
            for section in self.keys:
                section.update(peer_public=[], peers=names)
        self.documents = publishing.NO_DOCUMENTS
        self.link_rate = 0.0
        self.link_needs = [0.0] * count
        self.link_shares = [self.make_shares(number) for number in range(count)]
        self.tasks = [self.make_task(number) for number in range(count)]
        self.received = []

    def make_task(self, number):
        document = make_settings(
            f"d{number}",
            ZONES[number % len(ZONES)],
            self.addresses[number],
            self.addresses[number],
            self.addresses[:3],
            self.keys[number],
        )
        settings = daemon_settings.Settings.model_validate(document)
        generator = random.Random(number)
        return tasks.ClusterTask(
            settings,
            clock.SystemClock(),
            self.store,
            generator=generator,
            shares=self.link_shares[number],
        )

    def make_shares(self, number):
        return link_shares.LinkShares(
            f"d{number}",
            clock.SystemClock(),
            lambda: (self.link_needs[number], self.link_rate),
        )

    def start(self):
        for task in self.tasks:
            task.subscribe(self._receive)
            task.start()

    def wait_joined(self, limit_s=10.0):
        count = len(self.tasks)
        return wait_until(
            lambda: all(len(task.members()) == count for task in self.tasks)
            and all(task.is_ready() for task in self.tasks),
            limit_s,
        )

    def publish(self, number):
        outcome = publishing.publish(self.store, make_documents(number), self.documents)
        self.documents = outcome.unwrap()

    def close(self):
        for task in self.tasks:
            task.stop()
        self._ports.release()

    def _receive(self, event):
        if isinstance(event, events.PeerMessage):
            self.received.append(event)


class ProcessGroup:
    """One process for each member, using the stand-in platform."""

    def __init__(self, count, term_s):
        self._ports = ports.Ports()
        self._processes = processes.Processes()
        self._count = count
        self._term_s = term_s
        self.members = []
        self.documents = publishing.NO_DOCUMENTS

    def start(self):
        platform = self._ports.reserve_address()
        stand_in = self._processes.start(
            "standins.platform", ["--listen", platform], "platform"
        )
        stand_in.wait_for_url(f"http://{platform}/_record")
        pool = http_pool.HttpPool(
            types.parse_address(platform), http_pool.PoolSettings()
        )
        self.store = table.TableClient(pool)
        addresses = [self._ports.reserve_address() for _ in range(self._count)]
        keys = make_key_sections(self._count)
        for number, address in enumerate(addresses):
            document = make_settings(
                f"d{number}",
                ZONES[number % len(ZONES)],
                address,
                platform,
                addresses,
                keys[number],
                self._term_s,
            )
            path = self._processes.folder / f"d{number}.toml"
            path.write_text(toml_text.render(document))
            member = self._processes.start(
                "features.support.member_process", [str(path)], f"d{number}"
            )
            self.members.append(member)
        for member in self.members:
            member.wait_for_line("act ")

    def publish(self, number):
        outcome = publishing.publish(self.store, make_documents(number), self.documents)
        self.documents = outcome.unwrap()

    def read_lines(self, member):
        lines = member.log_path.read_text().split("\n")[:-1]
        return [json.loads(line[4:]) for line in lines if line.startswith("act ")]

    def wait_for_revision(self, revision, limit_s):
        waited_s = wait_until(
            lambda: all(
                any(line["revision"] >= revision and line["epoch"] for line in lines)
                for lines in map(self.read_lines, self.members)
            ),
            limit_s,
        )
        assert waited_s is not None, f"revision {revision} is not in force everywhere"

    def close(self):
        self._processes.close()
        self._ports.release()
