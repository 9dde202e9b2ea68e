"""Coordination parts that work over a transactional table store.

The package imports nothing of the daemon and can be embedded in other programs. All
parts are plain code over data: the clock, the store and the source of random numbers
are passed in, and the caller carries the messages.

- ``clock``, ``store``: interfaces to time and to the table store
- ``lease``, ``fencing``: sessions, their observers, ownership with fencing numbers
- ``membership``, with the messages of ``exchange``, the members of ``members`` and the
  settings of ``probes``: failure detector
- ``feed``: following a revision that never goes back
- ``shares``: division of a rate by need
- ``register``, ``retry``, ``admission``, ``deadlines``, ``rendezvous``: calls that run
  at most once, retry budgets, admission, ordered queues, hashing

The other modules are parts of these.
"""

__all__ = [
    "admission",
    "clock",
    "deadlines",
    "exchange",
    "feed",
    "fencing",
    "lease",
    "members",
    "membership",
    "probes",
    "register",
    "rendezvous",
    "retry",
    "shares",
    "store",
]
