"""Ownership of engine groups, with fencing tokens for orders."""

from __future__ import annotations

import dataclasses

import result

from endivevane.coordination import clock, lease, store

TABLE = "owners"


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """An engine group that this daemon owns.

    :param fencing_token: revision of the ``owners`` row, to be sent with each order
    :param epoch: session epoch under which the group was acquired
    :param grace_until_s: monotonic time until which an engine that ignores fencing
        tokens may still execute an order from the previous owner
    """

    group: str
    epoch: int
    fencing_token: int
    grace_until_s: float


def may_acquire(
    row: store.Row | None, daemon: str, epoch: int, observer: lease.SessionObserver
) -> bool:
    """Return whether a daemon may acquire a group.

    :param row: the ``owners`` row of the group
    :param epoch: the daemon's own session epoch
    """
    if row is None:
        return True
    owner, owner_epoch = str(row.value["owner"]), int(row.value["owner_epoch"])
    if owner == daemon:
        return owner_epoch != epoch
    return observer.is_expired(owner, owner_epoch)


def acquire(
    table_store: store.TableStore,
    group: str,
    row: store.Row | None,
    daemon: str,
    epoch: int,
    operation_id: str,
) -> result.Result[int, store.StoreError]:
    """Write this daemon as the owner; block on the store.

    :param row: the row that was passed to :func:`may_acquire`
    :param epoch: the daemon's own session epoch, valid when the call is made
    :returns: the fencing token
    """
    value = {"owner": daemon, "owner_epoch": epoch}
    return store.transact_with_readback(
        table_store,
        operation_id,
        [store.Condition(TABLE, group, row.revision if row is not None else None)],
        [store.Write(TABLE, group, value)],
    )


class OwnedGroups:
    """Groups that this daemon owns, and whether it may send orders to them.

    :param session: this daemon's session; its expiry ends every ownership
    :param longest_term_s: longest session term in the cluster
    :param longest_order_s: longest time that an engine takes to execute an order
    :param groups_clock: only its monotonic part is used
    """

    def __init__(
        self,
        session: lease.SessionLease,
        longest_term_s: float,
        longest_order_s: float,
        groups_clock: clock.Clock,
    ) -> None:
        self._session = session
        self._grace_s = longest_term_s + longest_order_s
        self._clock = groups_clock
        self._owned: dict[str, Ownership] = {}

    def record_acquired(self, group: str, epoch: int, fencing_token: int) -> None:
        """Record a successful :func:`acquire`.

        :param epoch: the epoch in the written row
        """
        grace_until_s = self._clock.monotonic_s() + self._grace_s
        known = self._owned.get(group)
        if known is not None and known.fencing_token >= fencing_token:
            return
        self._owned[group] = Ownership(group, epoch, fencing_token, grace_until_s)

    def record_lost(self, group: str) -> None:
        """Drop a group after an engine has shown a higher token or refused ours."""
        self._owned.pop(group, None)

    def find(self, group: str) -> Ownership | None:
        """Return the ownership of a group if its session epoch is still valid."""
        owned = self._owned.get(group)
        if owned is None or owned.epoch != self._session.epoch:
            return None
        return owned

    def may_send_order(self, group: str, is_fencing_checked: bool) -> bool:
        """Return whether an order may be sent now.

        :param is_fencing_checked: whether the engine refuses old fencing tokens; one
            that does not gets no order until those of earlier owners have expired
        """
        owned = self.find(group)
        if owned is None:
            return False
        return is_fencing_checked or self._clock.monotonic_s() >= owned.grace_until_s
