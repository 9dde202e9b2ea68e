"""Division of the tables into parts that are swept by one daemon each."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane.batch import records
from endivevane.coordination import register, rendezvous

_HEX_DIGITS = "0123456789abcdef"
_NAME_STARTS = "abcdefghijklmnopqrstuvwxyz0123456789"
_LAST_CHARACTER = "\U0010ffff"
_TABLE_STARTS = {records.JOBS: "batch_", records.FILES: "file-"}


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """The rows of a table whose key has a prefix.

    :param skipped: prefixes of rows that belong to shards of their own
    """

    table: str
    prefix: str
    skipped: frozenset[str] = frozenset()

    @property
    def name(self) -> str:
        """Table and prefix."""
        return f"{self.table}/{self.prefix}"

    def find_jump(self, key: str) -> str | None:
        """Return the key after which the scan goes on if the row is skipped."""
        if not self.skipped:
            return None
        start = _TABLE_STARTS.get(self.table)
        if start is None:
            group = key.partition("/")[0] + "/"
        else:
            group = key[: len(start) + len(records.make_organisation_prefix(""))]
        return group + _LAST_CHARACTER if group in self.skipped else None


def list_shards(organisations: abc.Collection[str]) -> abc.Iterator[Shard]:
    """Yield shards that cover all jobs, files and register rows.

    The jobs and files of an organisation are spread over 16 shards, since a few
    organisations have most of them. Rows of organisations that are no longer in the
    configuration are in the shards that skip those of all others.
    """
    for table, start in _TABLE_STARTS.items():
        groups = {
            start + records.make_organisation_prefix(name) for name in organisations
        }
        for group in sorted(groups):
            for digit in _HEX_DIGITS:
                yield Shard(table, group + digit)
        for digit in _HEX_DIGITS:
            yield Shard(table, start + digit, frozenset(groups))
    names = {f"{name}/" for name in organisations}
    for name in sorted(names):
        yield Shard(register.TABLE, name)
    for character in _NAME_STARTS:
        yield Shard(register.TABLE, character, frozenset(names))


def is_own(shard: Shard, daemon: str, members: abc.Collection[str]) -> bool:
    """Tell whether a daemon sweeps a shard.

    Two daemons with different views may both sweep it, which does no harm.
    """
    weights = dict.fromkeys(members, 1.0)
    return rendezvous.choose_member(shard.name, weights) == daemon
