"""A daemon with the batch part only, for scenarios with real processes."""

import argparse
import logging
import pathlib
import signal
import threading
import time

import result
import werkzeug.wrappers

from endivevane import logs
from endivevane.batch import api, runner
from endivevane.cluster import tasks
from endivevane.coordination import clock
from endivevane.daemon import batch_port, settings
from endivevane.platform import engine, http_pool, objects, table
from endivevane.types import parse_address
from endivevane.web import app, server

_LOAD_INTERVAL_S = 0.2


class LoadWatcher:
    """Reads the load of every engine again and again on one thread each."""

    def __init__(self, get_snapshot):
        self._get_snapshot = get_snapshot
        self._reports = {}
        self._watched = set()

    def load_report(self, target_name):
        return self._reports.get(target_name)

    def run(self):
        while True:
            for service in self._get_snapshot().services.values():
                for target in service.targets:
                    if target.name in self._watched or service.is_plain:
                        continue
                    self._watched.add(target.name)
                    threading.Thread(
                        target=self._watch, args=(target,), daemon=True
                    ).start()
            time.sleep(_LOAD_INTERVAL_S)

    def _watch(self, target):
        pool = http_pool.HttpPool(target.address, http_pool.PoolSettings(0.5, 1.0))
        client = engine.EngineClient(pool)
        while True:
            outcome = client.fetch_load()
            if isinstance(outcome, result.Ok):
                self._reports[target.name] = outcome.ok_value
            time.sleep(_LOAD_INTERVAL_S)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--config", type=pathlib.Path, required=True)
    loaded = settings.load_settings(parser.parse_args().config)
    logs.configure("info")
    logging.getLogger("waitress").setLevel(logging.ERROR)
    system = clock.SystemClock()
    limits = http_pool.PoolSettings(read_timeout_s=loaded.platform.timeout_s)
    store = table.TableClient(
        http_pool.HttpPool(parse_address(loaded.platform.table_service), limits)
    )
    object_store = objects.ObjectClient(
        http_pool.HttpPool(parse_address(loaded.platform.object_store), limits)
    )
    cluster = tasks.ClusterTask(loaded, system, store)
    port = batch_port.ClusterPort(cluster, store, system)
    loads = LoadWatcher(port.snapshot)
    batch = runner.BatchRunner(loaded.batch, store, object_store, port, loads, system)
    batch_api = api.BatchApi(
        store,
        object_store,
        system,
        loaded.limits.max_upload_bytes,
        batch.notify_cancelled,
    )

    def is_ready(_call):
        status = 200 if cluster.is_ready() else 503
        return werkzeug.wrappers.Response("", status=status)

    routes = [*batch_api.routes(), app.Route("GET", "/readyz", is_ready, role=None)]
    application = app.Application(
        routes, port.snapshot, loaded.limits.max_request_bytes
    )
    http = server.HttpServer(
        server.ServerSettings(parse_address(loaded.daemon.listen)), application
    )
    cluster.start()
    threading.Thread(target=loads.run, daemon=True).start()
    batch.start()
    http.start()
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    while not stopping.wait(0.5):
        pass
    batch.drain(5.0)
    http.stop()
    cluster.stop()


if __name__ == "__main__":
    main()
