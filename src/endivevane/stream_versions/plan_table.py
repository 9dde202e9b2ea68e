"""The plans that this daemon has read from the store."""

from __future__ import annotations

from collections import abc

from endivevane import exceptions, logs
from endivevane.serving import store
from endivevane.stream_versions import plan as plans
from endivevane.stream_versions import rows


class PlanTable:
    """Holds the newest plan of each service.

    :ivar is_loaded: whether all plans have been read since the start
    :ivar revision: incremented with each change
    """

    def __init__(self) -> None:
        self.is_loaded = False
        self.revision = 0
        # Row key -> version of the row, and its plan, ``None`` if there is none.
        self._rows: dict[str, tuple[int, plans.Plan | None]] = {}
        self._observers: list[abc.Callable[[], None]] = []

    def call_when_changed(self, observer: abc.Callable[[], None]) -> None:
        """Call a function after each change of a plan."""
        self._observers.append(observer)

    def find(self, service: str) -> plans.Plan | None:
        """Return the plan of a service, ``None`` if none is known."""
        return self._rows.get(rows.make_plan_key(service).key, (0, None))[1]

    def find_row_version(self, service: str) -> int:
        """Return the version of the row of a service's plan, 0 for no row."""
        return self._rows.get(rows.make_plan_key(service).key, (0, None))[0]

    def apply_row(self, row: store.Row) -> None:
        """Apply a row unless a newer version of it is known.

        One that can't be read keeps the plan that was known, and is replaced when the
        shares change.
        """
        key = row.row_key.key
        version, known = self._rows.get(key, (0, None))
        if row.version <= version:
            return
        try:
            decoded = None if row.value is None else rows.decode_plan(key, row.value)
        except exceptions.ProtocolError as error:
            logs.error("version_plan_unreadable", key=key, cause=error)
            decoded = known
        self._rows[key] = (0 if row.value is None else row.version, decoded)
        self.revision += 1
        for observer in self._observers:
            observer()
