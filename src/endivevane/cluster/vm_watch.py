"""Polls the platform's list of VMs for leaving VMs."""

from __future__ import annotations

import result

from endivevane.cluster import calls, messages, neighbours
from endivevane.external import vms

LIST = "vm_list"
_INTERVAL_S = 1.0
# The list contains every VM, so in a large cluster only two daemons of each zone read
# it and broadcast the names of the leaving VMs.
_SMALL_CLUSTER = 16
_READERS_PER_ZONE = 2


class VmWatch:
    """Polls the list or applies it from peers; runs on the cluster thread.

    :param vm_list: client of the platform's list; ``None`` disables polling
    :param background: runs the blocking calls
    :param peers: other daemons and the connections to them
    """

    def __init__(
        self,
        vm_list: vms.VmListClient | None,
        background: calls.BackgroundCalls,
        peers: neighbours.Neighbours,
    ) -> None:
        self._vm_list = vm_list
        self._background = background
        self._peers = peers
        self._due_s = 0.0
        self._as_of_s = 0.0
        self._leaving: frozenset[str] = frozenset()
        self.listed: frozenset[str] | None = None

    def run(self, now_s: float, is_ready: bool) -> None:
        """Read the list when it is due and this daemon is one of the readers.

        A daemon that is not ready reads it too, to find the peers to query.
        """
        if self._vm_list is None or now_s < self._due_s:
            return
        if is_ready and not self._is_reader():
            return
        self._due_s = now_s + _INTERVAL_S
        self._background.start(LIST, self._vm_list.fetch)

    def record(
        self, outcome: result.Result[vms.VmList, vms.VmListError] | None
    ) -> frozenset[str] | None:
        """Apply a fetched list; return the leaving VMs if they changed."""
        if outcome is None or isinstance(outcome, result.Err):
            return None
        listed = outcome.ok_value
        self.listed = frozenset(vm.name for vm in listed.vms)
        leaving = frozenset(
            vm.name for vm in listed.vms if vm.state is vms.VmState.LEAVING
        )
        if not self._apply(listed.as_of_s, leaving):
            return None
        names = tuple(sorted(leaving))
        message = messages.VmsLeaving(self._peers.make_header(), listed.as_of_s, names)
        self._peers.send_to_links(message)
        return leaving

    def handle(self, message: messages.VmsLeaving) -> frozenset[str] | None:
        """Apply a peer's list; return the leaving VMs if they changed."""
        leaving = frozenset(message.names)
        if not self._apply(message.as_of_s, leaving):
            return None
        self._peers.forward(message)
        return leaving

    def _apply(self, as_of_s: float, leaving: frozenset[str]) -> bool:
        if as_of_s < self._as_of_s:
            return False
        self._as_of_s = as_of_s
        if leaving == self._leaving:
            return False
        self._leaving = leaving
        for name in leaving:
            self._peers.detector.report_leaving(name)
        return True

    def _is_reader(self) -> bool:
        detector = self._peers.detector
        if len(detector.table) <= _SMALL_CLUSTER:
            return True
        me = detector.me
        readers = detector.table.list_zone(me.description.zone)[:_READERS_PER_ZONE]
        return me.name in readers
