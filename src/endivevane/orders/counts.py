"""Prometheus metrics of the orders to engines."""

from __future__ import annotations

import prometheus_client

ORDERS = prometheus_client.Counter(
    "endivevane_orders",
    "Orders to engines, by action and outcome.",
    ["action", "outcome"],
)
GROUPS_OWNED = prometheus_client.Gauge(
    "endivevane_groups_owned", "Engine groups that this daemon owns."
)
REPLICAS_SHORT = prometheus_client.Gauge(
    "endivevane_replicas_short",
    "Replicas that the declared models of an owned group lack.",
    ["service", "model"],
)
REPLICAS_WANTED = prometheus_client.Gauge(
    "endivevane_replicas_wanted",
    "Replicas that the document and demand ask for, at the owner of a group.",
    ["service", "model"],
)
