"""Rotates the CURVE keys of daemons that run in separate processes."""

import json
import os
import re
import signal
import threading
import time
import tomllib
import urllib.request

from tools import fleet, fleet_plan, toml_text

_LIMIT_S = 8.0
_ACKS = r'endivevane_cluster_messages_total\{direction="in",kind="ack"\} (\S+)'
_RELOADS = r'endivevane_settings_reloads_total\{outcome="%s"\} (\S+)'


class Rotation:
    """Rotates keys and samples the member states that each daemon reports."""

    def __init__(self, count):
        plan = fleet.FleetPlan(daemons=count, engines=1, has_own_keys=True)
        self._fleet = fleet.Fleet(plan)
        self._restarting = None
        self._stop = threading.Event()
        self._sampler = threading.Thread(target=self._sample, daemon=True)
        self.faults = []
        self.unresponsive = []
        self.seen_alive_s = []

    @property
    def daemons(self):
        return self._fleet.daemons

    def start(self):
        self._fleet.start()
        self._wait(lambda: all(len(self._states(d)) == 3 for d in self.daemons))
        self._sampler.start()

    def close(self):
        self._stop.set()
        if self._sampler.is_alive():
            self._sampler.join(5)
        self._fleet.close()

    def apply_invalid_files(self):
        for daemon in self.daemons:
            text = daemon.settings_path.read_text()
            self._change(daemon, lambda keys: keys.update(peers={"x": "short"}))
            self._reload(daemon, "refused")
            daemon.settings_path.write_text(text)

    def rotate(self, index):
        daemon = self.daemons[index]
        public, secret = fleet_plan.make_pair()
        old = tomllib.loads(daemon.settings_path.read_text())["keys"]["public"]
        self._change_all(daemon.name, [old, public])
        self._change(daemon, lambda keys: keys.update(public=public, secret=secret))
        self._restarting = daemon.name
        daemon.restart()
        ready_s = time.monotonic()
        others = [item for item in self.daemons if item is not daemon]
        self._wait(lambda: all(self._alive(item, daemon.name) for item in others))
        self._wait(lambda: len(self._states(daemon)) == len(self.daemons))
        self.seen_alive_s.append(time.monotonic() - ready_s)
        self._restarting = None
        self._change_all(daemon.name, public)
        self.expect_answers()

    def expect_answers(self):
        """Record the daemons that get no further answers to their probes."""
        before = [self._read(daemon, _ACKS) for daemon in self.daemons]
        for daemon, value in zip(self.daemons, before, strict=True):
            if not self._wait(lambda d=daemon, v=value: self._read(d, _ACKS) > v + 1):
                self.unresponsive.append(daemon.name)

    def _change_all(self, name, keys):
        for daemon in self.daemons:
            self._change(daemon, lambda section: section["peers"].update({name: keys}))
            self._reload(daemon, "applied")
        self.expect_answers()

    def _change(self, daemon, function):
        document = tomllib.loads(daemon.settings_path.read_text())
        function(document["keys"])
        daemon.settings_path.write_text(toml_text.render(document))

    def _reload(self, daemon, outcome):
        pattern = _RELOADS % outcome
        before = self._read(daemon, pattern)
        os.kill(daemon.process.pid, signal.SIGHUP)
        done = self._wait(lambda: self._read(daemon, pattern) == before + 1)
        assert done, f"{daemon.name}: no {outcome} reload"

    def _sample(self):
        while not self._stop.wait(0.1):
            for daemon in self.daemons:
                skipped = self._restarting
                try:
                    states = self._states(daemon)
                except OSError:
                    continue
                for name, state in states.items():
                    # Only dead is a fault: a pause of the machine may cause suspicion.
                    is_dead = state == "dead"
                    if is_dead and skipped is None and self._restarting is None:
                        self.faults.append((daemon.name, name, state))

    def _alive(self, daemon, name):
        return self._states(daemon).get(name) == "alive"

    def _states(self, daemon):
        body = json.loads(self._get(daemon, "/admin/status"))
        return {item["name"]: item["state"] for item in body["members"]}

    def _read(self, daemon, pattern):
        found = re.search(pattern, self._get(daemon, "/metrics"))
        return float(found[1]) if found else 0.0

    def _get(self, daemon, path):
        headers = {"Authorization": f"Bearer {self._fleet.operator_key}"}
        request = urllib.request.Request(daemon.url + path, headers=headers)
        with urllib.request.urlopen(request, timeout=2) as answer:
            return answer.read().decode()

    def _wait(self, is_done):
        end_s = time.monotonic() + _LIMIT_S
        while time.monotonic() < end_s:
            if is_done():
                return True
            time.sleep(0.05)
        return False
