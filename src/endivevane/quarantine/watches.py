"""Requests that wait at targets for their first event."""

from __future__ import annotations

from collections import abc

from endivevane.serving import model

Abort = abc.Callable[[str], None]


class Watch:
    """A request that waits for its first event at a target, as a context.

    :param watches: all watches, to which this one belongs inside the context
    :param abort: called with a cause to end the call to the target
    """

    def __init__(
        self, watches: set[Watch], request: model.ClientRequest, abort: Abort
    ) -> None:
        self.request = request
        self.abort = abort
        self._watches = watches

    def __enter__(self) -> Watch:
        self._watches.add(self)
        return self

    def __exit__(self, *_: object) -> None:
        self.end()

    @property
    def is_waiting(self) -> bool:
        """Whether no answer has begun yet."""
        return self in self._watches

    def end(self) -> None:
        """Stop watching, since an answer has begun or the attempt has ended."""
        self._watches.discard(self)


class WaitingRequests:
    """The requests of this daemon that wait at targets."""

    def __init__(self) -> None:
        self._watches: set[Watch] = set()

    def watch(self, request: model.ClientRequest, abort: Abort) -> Watch:
        """Return a context in which a request counts as waiting.

        :param abort: ends the call to the target, given a cause
        """
        return Watch(self._watches, request, abort)

    def list_all(self) -> list[Watch]:
        """Return all watches."""
        return list(self._watches)
