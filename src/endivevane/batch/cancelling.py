"""Notification of the daemons that run a cancelled job."""

from __future__ import annotations

import threading
import typing
from collections import abc

from endivevane.batch import messages, ports, sending

# A daemon that does not reply in time sees the cancel when it next lists the open jobs;
# a longer wait would only delay the caller.
_STOP_WAIT_S = 1.0


class CancelNotifier:
    """Notifies daemons of cancels and waits for the owners of claims to stop.

    :param post: puts a message into the inbox of this daemon's runner thread
    """

    def __init__(self, cluster: ports.Cluster, post: sending.Post) -> None:
        self._cluster = cluster
        self._post = post
        self._changed = threading.Condition()
        self._waiting: dict[str, set[str]] = {}
        # Accessed only by the runner thread.
        self._stopping: list[messages.JobCancelled] = []
        cluster.register(ports.JOB_CANCELLED, self._receive)

    def notify(self, job_id: str, owners: abc.Collection[str]) -> bool:
        """Notify every live daemon; call this after the cancel is stored.

        :param owners: daemons that hold chunks of the job
        :returns: whether all owners acknowledged in time
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

    def record_cancelled(self, message: messages.JobCancelled) -> None:
        """Queue a cancel for acknowledgement; called by the runner thread."""
        self._stopping.append(message)

    def acknowledge_stopped(
        self, list_running_keys: abc.Callable[[], abc.Collection[tuple[str, int]]]
    ) -> None:
        """Acknowledge cancelled jobs whose last item has ended.

        An earlier acknowledgement would be wrong: an item that a thread is about to
        send may reach its engine after the cancel. Called by the runner thread.

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
        """Report that this daemon neither runs nor sends items of a job."""
        own = self._cluster.session().daemon
        if reply_to == own:
            self._record_stopped(job_id, own)
        elif reply_to:
            body = {"job_id": job_id, "stopped": True}
            self._cluster.send(reply_to, ports.JOB_CANCELLED, body)

    def _receive(self, sender: str, body: dict[str, typing.Any]) -> None:
        job_id = str(body["job_id"])
        if body.get("stopped"):
            self._record_stopped(job_id, sender)
            return
        reply_to = str(body.get("reply_to", ""))
        self._post(messages.JobCancelled(job_id, reply_to))

    def _record_stopped(self, job_id: str, daemon: str) -> None:
        with self._changed:
            self._waiting.get(job_id, set()).discard(daemon)
            self._changed.notify_all()
