"""Coordination primitives over a transactional table store.

The package imports nothing from the daemon and can be embedded in other programs. It
performs no I/O of its own: the clock, the store and the random number generator are
injected, and the caller transports the messages.

- ``clock``, ``store``: interfaces to time and to the table store
- ``lease``, ``fencing``: sessions, their observers, ownership with fencing tokens
- ``membership``, with ``gossip_messages``, ``members`` and the settings in ``probes``:
  failure detector
- ``feed``: following a configuration revision that only increases
- ``shares``: max-min fair division of a rate
- ``register``, ``retry``, ``admission``, ``deadlines``, ``rendezvous``: at-most-once
  calls, retry budgets, admission control, fair queues, rendezvous hashing

The other modules are internal.
"""

__all__ = [
    "admission",
    "clock",
    "deadlines",
    "feed",
    "fencing",
    "gossip_messages",
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
