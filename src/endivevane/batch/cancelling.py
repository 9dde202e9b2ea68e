"""Telling the daemons that run a job that it was cancelled."""

from __future__ import annotations

import threading
import typing
from collections import abc

from endivevane.batch import messages, ports, sending

# A daemon that does not answer in time learns of the cancel by its next look at the
# open jobs; waiting longer would only delay the caller.
_STOP_WAIT_S = 1.0


class CancelNotifier:
    """Sends cancels and waits until the owners of claims have stopped sending.

    :param post: gives a message to the runner's thread of this daemon
    """

    def __init__(self, cluster: ports.Cluster, post: sending.Post) -> None:
        self._cluster = cluster
        self._post = post
        self._changed = threading.Condition()
        self._waiting: dict[str, set[str]] = {}
        # Used by the runner's thread alone.
        self._stopping: list[messages.JobCancelled] = []
        cluster.register(ports.JOB_CANCELLED, self._receive)

    def notify(self, job_id: str, owners: abc.Collection[str]) -> bool:
        """Tell every live daemon; called after the cancel was written.

        :param owners: daemons that hold chunks of the job
        :returns: whether all owners have said that they stopped
        """
        own = self._cluster.session().daemon
        live = {member.name for member in self._cluster.live_members()} | {own}
        with self._changed:
            self._waiting[job_id] = set(owners) & live
        for name in live:
            if name == own:
                self._post(messages.JobCancelled(job_id, own))
                continue
            body = {"job_id": job_id, "reply_to": own}
            self._cluster.send(name, ports.JOB_CANCELLED, body)
        with self._changed:
            has_stopped = self._changed.wait_for(
                lambda: not self._waiting.get(job_id), _STOP_WAIT_S
            )
            self._waiting.pop(job_id, None)
        return has_stopped

    def note_cancelled(self, message: messages.JobCancelled) -> None:
        """Remember a cancel to acknowledge; called by the runner's thread."""
        self._stopping.append(message)

    def acknowledge_stopped(
        self, list_running_keys: abc.Callable[[], abc.Collection[tuple[str, int]]]
    ) -> None:
        """Say that a cancelled job has stopped once its last item has ended.

        An item that a thread is about to send may reach its engine after the cancel.
        Called by the runner's thread.

        :param list_running_keys: returns (job id, chunk number) of chunks with
            running items
        """
        if not self._stopping:
            return
        running = {job_id for job_id, _ in list_running_keys()}
        for message in self._stopping:
            if message.job_id not in running:
                self._acknowledge(message.job_id, message.reply_to)
        self._stopping = [item for item in self._stopping if item.job_id in running]

    def _acknowledge(self, job_id: str, reply_to: str) -> None:
        """Say that this daemon runs no item of a job and sends none."""
        own = self._cluster.session().daemon
        if reply_to == own:
            self._note_stopped(job_id, own)
        elif reply_to:
            body = {"job_id": job_id, "stopped": True}
            self._cluster.send(reply_to, ports.JOB_CANCELLED, body)

    def _receive(self, sender: str, body: dict[str, typing.Any]) -> None:
        job_id = str(body["job_id"])
        if body.get("stopped"):
            self._note_stopped(job_id, sender)
            return
        reply_to = str(body.get("reply_to", ""))
        self._post(messages.JobCancelled(job_id, reply_to))

    def _note_stopped(self, job_id: str, daemon: str) -> None:
        with self._changed:
            self._waiting.get(job_id, set()).discard(daemon)
            self._changed.notify_all()
