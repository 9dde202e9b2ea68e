"""Deletes old input files that no open job reads."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane.batch import records
from endivevane.coordination import store
from endivevane.retention import decisions, platform_calls, shards

_OPEN_JOBS = shards.Shard(records.OPEN, "")
# Bounds the files that are checked with one scan of the open jobs.
_MAX_MARKED_FILES = 500


class FileSweeper:
    """Applies the retention policy to input files.

    A file is marked first, so that no job can be created with it. The open jobs are
    read after that, since no further job can start to use the file. A second write,
    conditional on the revision of the mark, then commits to erasing the file.
    """

    def __init__(
        self, calls: platform_calls.PlatformCalls, policy: decisions.Policy
    ) -> None:
        self._calls = calls
        self._policy = policy
        self._marked: list[store.Row] = []

    def sweep(self, shard: shards.Shard) -> None:
        """Mark the due files of a shard; :meth:`resolve_marked` erases them."""
        for row in self._calls.scan(shard):
            record = records.decode(records.InputFile, row.value)
            step = self._policy.decide_file(record)
            if step is decisions.FileStep.ERASE:
                self._erase(row)
            if step is decisions.FileStep.SETTLE:
                self._marked.append(row)
            if step is decisions.FileStep.MARK:
                written = self._set_state(row, records.FileState.DELETING)
                self._marked += [written] if written is not None else []
            if len(self._marked) >= _MAX_MARKED_FILES:
                self.resolve_marked()

    def resolve_marked(self) -> None:
        """Erase the marked files that are not in use and make the others ready again.

        One scan of the open jobs serves all of them, since it reads the row of every
        open job.
        """
        marked, self._marked = self._marked, []
        if not marked:
            return
        wanted = {row.key for row in marked}
        open_rows = self._calls.scan(_OPEN_JOBS)
        used = {row.value["input_file_id"] for row in open_rows} & wanted
        for row in marked:
            self._resolve(row, row.key in used)

    def _resolve(self, row: store.Row, is_used: bool) -> None:
        if not is_used:
            states = records.FileState
            erasing = self._set_state(row, states.ERASING, lambda: self._is_due(row))
            if erasing is not None:
                self._erase(erasing)
                return
            if self._is_due(row):
                return
        self._set_state(row, records.FileState.READY)

    def _is_due(self, row: store.Row) -> bool:
        record = records.decode(records.InputFile, row.value)
        return self._policy.decide_file(record) is decisions.FileStep.SETTLE

    def _erase(self, row: store.Row) -> None:
        record = records.decode(records.InputFile, row.value)
        for key in records.list_segment_keys(record):
            self._calls.delete_object(key, "input_object")
        self._calls.delete_rows([row], "file_row")

    def _set_state(
        self,
        row: store.Row,
        state: records.FileState,
        is_due: abc.Callable[[], bool] = lambda: True,
    ) -> store.Row | None:
        record = records.decode(records.InputFile, row.value)
        changed = dataclasses.replace(record, state=state)
        return self._calls.write(row, records.encode(changed), is_due)
