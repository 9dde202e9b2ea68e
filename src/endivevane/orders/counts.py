"""Prometheus metrics for the orders to engines."""

from __future__ import annotations

import prometheus_client

from endivevane import logs
from endivevane.orders import plans

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


def record_order(group: str, order: plans.Order, outcome: str) -> None:
    """Count and log an order about a model or an adapter."""
    ORDERS.labels(order.action, outcome).inc()
    logs.info(
        "engine_order",
        group=group,
        target=order.target,
        action=order.action,
        model=order.model,
        version=order.version,
        adapter=order.adapter or None,
        outcome=outcome,
    )


def record_role(group: str, target: str, role: str, outcome: str) -> None:
    """Count and log an order that changes a role."""
    ORDERS.labels("set_role", outcome).inc()
    logs.info("engine_role", group=group, target=target, role=role, outcome=outcome)
