"""Partition of the tables into shards, each swept by one daemon."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane.batch import records
from endivevane.coordination import register, rendezvous

_HEX_DIGITS = "0123456789abcdef"
_NAME_FIRST_CHARACTERS = "abcdefghijklmnopqrstuvwxyz0123456789"
_LAST_CHARACTER = "\U0010ffff"
_KEY_PREFIXES = {records.JOBS: "batch_", records.FILES: "file-"}


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """The rows of a table whose keys have a prefix.

    :param skipped: key prefixes that are covered by other shards
    """

    table: str
    prefix: str
    skipped: frozenset[str] = frozenset()

    @property
    def name(self) -> str:
        """Table and key prefix."""
        return f"{self.table}/{self.prefix}"

    def find_resume_key(self, key: str) -> str | None:
        """Return the key after which the scan resumes, ``None`` for a row to sweep."""
        if not self.skipped:
            return None
        key_prefix = _KEY_PREFIXES.get(self.table)
        if key_prefix is None:
            organisation_prefix = key.partition("/")[0] + "/"
        else:
            organisation_prefix = key[
                : len(key_prefix) + len(records.make_organisation_prefix(""))
            ]
        return (
            organisation_prefix + _LAST_CHARACTER
            if organisation_prefix in self.skipped
            else None
        )


def list_shards(organisations: abc.Collection[str]) -> abc.Iterator[Shard]:
    """Yield shards that cover all jobs, files and register rows.

    The jobs and files of an organisation are spread over 16 shards, since a few
    organisations have most of them. Rows of organisations that are no longer in the
    configuration are covered by the shards that skip all known organisations.
    """
    for table, key_prefix in _KEY_PREFIXES.items():
        organisation_prefixes = {
            key_prefix + records.make_organisation_prefix(name)
            for name in organisations
        }
        for organisation_prefix in sorted(organisation_prefixes):
            for digit in _HEX_DIGITS:
                yield Shard(table, organisation_prefix + digit)
        for digit in _HEX_DIGITS:
            yield Shard(table, key_prefix + digit, frozenset(organisation_prefixes))
    names = {f"{name}/" for name in organisations}
    for name in sorted(names):
        yield Shard(register.TABLE, name)
    for character in _NAME_FIRST_CHARACTERS:
        yield Shard(register.TABLE, character, frozenset(names))


def is_assigned(shard: Shard, daemon: str, members: abc.Collection[str]) -> bool:
    """Return whether a shard is assigned to a daemon, by rendezvous hashing.

    Daemons with different views of the membership may both sweep a shard, which is
    safe.
    """
    weights = dict.fromkeys(members, 1.0)
    return rendezvous.choose_member(shard.name, weights) == daemon
