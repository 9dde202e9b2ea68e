"""Ownership of engine groups, with fencing numbers for orders."""

from __future__ import annotations

import dataclasses

import result

from endivevane.coordination import clock, lease, store

TABLE = "owners"


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """A group of engines that this daemon owns.

    :param fencing_token: revision of the ``owners`` row, to be sent with each order
    :param epoch: session epoch under which the group was acquired
    :param quiet_until_s: monotonic time before which engines that ignore fencing
        numbers may still run an order of the previous owner
    """

    group: str
    epoch: int
    fencing_token: int
    quiet_until_s: float


def may_acquire(
    row: store.Row | None, daemon: str, epoch: int, observer: lease.SessionObserver
) -> bool:
    """Tell whether a daemon may take a group.

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
    """Write this daemon as the owner; blocks on the store.

    :param row: the row that :func:`may_acquire` was asked about
    :param epoch: the daemon's own session epoch, valid when the call is made
    :returns: the fencing number
    """
    value = {"owner": daemon, "owner_epoch": epoch}
    return store.transact_with_readback(
        table_store,
        operation_id,
        [store.Condition(TABLE, group, row.revision if row is not None else None)],
        [store.Write(TABLE, group, value)],
    )


class GroupFences:
    """Groups that this daemon owns, and which orders it may send.

    :param session: this daemon's session; a lapse ends every ownership
    :param longest_term_s: longest session term in the cluster
    :param longest_order_s: how long an order may take at an engine
    :param fence_clock: only its monotonic part is used
    """

    def __init__(
        self,
        session: lease.SessionLease,
        longest_term_s: float,
        longest_order_s: float,
        fence_clock: clock.Clock,
    ) -> None:
        self._session = session
        self._quiet_s = longest_term_s + longest_order_s
        self._clock = fence_clock
        self._owned: dict[str, Ownership] = {}

    def record_acquired(self, group: str, epoch: int, fencing_number: int) -> None:
        """Record a successful :func:`acquire`.

        :param epoch: the epoch that was written
        """
        quiet_until_s = self._clock.monotonic_s() + self._quiet_s
        known = self._owned.get(group)
        if known is not None and known.fencing_token >= fencing_number:
            return
        self._owned[group] = Ownership(group, epoch, fencing_number, quiet_until_s)

    def record_lost(self, group: str) -> None:
        """Forget a group that another daemon has taken or an engine has refused."""
        self._owned.pop(group, None)

    def find(self, group: str) -> Ownership | None:
        """Return the ownership of a group if the session still covers it."""
        owned = self._owned.get(group)
        if owned is None or owned.epoch != self._session.epoch:
            return None
        return owned

    def may_send_order(self, group: str, is_fencing_checked: bool) -> bool:
        """Tell whether an order may be sent now.

        :param is_fencing_checked: whether the engine refuses old fencing numbers; one
            that does not is left alone until no earlier owner can act on it
        """
        owned = self.find(group)
        if owned is None:
            return False
        return is_fencing_checked or self._clock.monotonic_s() >= owned.quiet_until_s
