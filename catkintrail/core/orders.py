"""Orders to engines: one holder a zone, fenced where engines check it.

An order states the wanted version, so that a repeat does no harm. Engines that
do not check fencing numbers get orders only after the orders of any earlier
holder have surely ended, and what they report is compared and corrected.
"""

from typing import Callable, NamedTuple

from catkintrail import errors
from catkintrail import messages
from catkintrail import objects
from catkintrail.core import lease
from catkintrail.ports import targets as targets_port

__all__ = ["OrderOutcome", "give_orders", "lease_name"]


class OrderOutcome(NamedTuple):
    """What became of one order.

    Attributes:
        target: The engine.
        outcome: `taken`, `failed` or `held_back`.
    """

    target: str
    outcome: str


def lease_name(zone: str) -> str:
    """Returns the store's name of a zone's lease on orders."""
    return f"lease/orders/{zone}"


def give_orders(
    keeper: lease.LeaseKeeper,
    engines: targets_port.Targets,
    misplaced: list[messages.Misplaced],
    models: dict[str, objects.Model],
    make_id: Callable[[], str],
    clock: Callable[[], float],
) -> list[OrderOutcome]:
    """Orders engines to load the version that their model wants.

    The lease is checked on the clock right before each order.

    Args:
        keeper: The zone's lease.
        engines: Calls to engines.
        misplaced: The engines to correct.
        models: The models' objects.
        make_id: Makes order ids.
        clock: Monotonic time in seconds.

    Returns:
        The outcome for each engine whose model still wants a version.
    """
    outcomes = []
    for one in misplaced:
        model = models.get(one.serves)
        if model is None or not model.wanted_version:
            continue
        now = clock()
        may_order = keeper.may_order_unfenced(now)
        if model.fencing:
            may_order = keeper.is_held(now)
        if not may_order:
            outcomes.append(OrderOutcome(one.target, "held_back"))
            continue
        order = targets_port.Order(
            make_id(), keeper.lease.fencing, model.wanted_version
        )
        outcome = "taken"
        try:
            engines.order(one.address, order)
        except errors.TargetError:
            outcome = "failed"
        outcomes.append(OrderOutcome(one.target, outcome))
    return outcomes
