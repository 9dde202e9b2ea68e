"""Requests that targets have not answered whole yet."""

from __future__ import annotations

from collections import abc

from endivevane.serving import model

Abort = abc.Callable[[str], None]


class Watch:
    """A request at a target, as a context that lasts until its answer is whole.

    :param watches: all watches, to which this one belongs inside the context
    :param abort: called with a cause to end the call to the target
    """

    def __init__(
        self, watches: set[Watch], request: model.ClientRequest, abort: Abort
    ) -> None:
        self.request = request
        self.abort = abort
        self._watches = watches
        self._has_begun = False

    def __enter__(self) -> Watch:
        self._watches.add(self)
        return self

    def __exit__(self, *_: object) -> None:
        self.end()

    @property
    def is_waiting(self) -> bool:
        """Whether no answer has begun yet."""
        return self.is_open and not self._has_begun

    @property
    def is_open(self) -> bool:
        """Whether the request is still at its target."""
        return self in self._watches

    def begin_answer(self) -> None:
        """Record the first event of the answer, or the first bytes of its body."""
        self._has_begun = True

    def end(self) -> None:
        """Stop watching, since the answer is whole or the attempt has ended."""
        self._watches.discard(self)


class RequestsAtTargets:
    """The requests of this daemon that are at targets."""

    def __init__(self) -> None:
        self._watches: set[Watch] = set()

    def watch(self, request: model.ClientRequest, abort: Abort) -> Watch:
        """Return a context in which a request counts as being at a target.

        :param abort: ends the call to the target, given a cause
        """
        return Watch(self._watches, request, abort)

    def list_waiting(self) -> list[Watch]:
        """Return the watches of requests whose answers have not begun."""
        return [watch for watch in self._watches if watch.is_waiting]
