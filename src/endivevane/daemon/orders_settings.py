"""Converts the orders section of the settings file to the task's settings."""

from __future__ import annotations

from endivevane.daemon import settings
from endivevane.orders import orders, plans, replicas


def make_settings(
    section: settings.OrdersSection, term_s: float
) -> orders.OrdersSettings:
    """Return the settings of the orders task.

    :param term_s: term of this daemon's session, the minimum of the longest term
    """
    return orders.OrdersSettings(
        interval_s=section.interval_s,
        call_timeout_s=section.call_timeout_s,
        longest_term_s=max(section.longest_term_s, term_s),
        longest_order_s=section.longest_order_s,
        silent_after_s=section.silent_after_s,
        fleet_loads=section.fleet_loads,
        placement=plans.PlacementSettings(
            max_models=section.max_models,
            max_loads=section.max_loads,
            max_demand_loads=section.max_demand_loads,
            max_reloading_share=section.max_reloading_share,
            residence_s=section.residence_s,
        ),
        demand=replicas.DemandSettings(
            fill_share=section.fill_share,
            hysteresis_share=section.hysteresis_share,
            fall_after_s=section.fall_after_s,
        ),
    )
