"""Orders to engines to load the wanted version of their model.

One lease holder per zone sends the orders. An order states the wanted version
and is therefore idempotent. Engines that check fencing numbers reject orders
of earlier holders. Other engines get orders only after every order of an
earlier holder must have taken effect; the versions that they report are
compared with the wanted ones, and differences are corrected.
"""

from typing import Callable, NamedTuple

from catkintrail import errors
from catkintrail import messages
from catkintrail import objects
from catkintrail.core import lease
from catkintrail.ports import targets as targets_port

__all__ = ["OrderOutcome", "lease_name", "send_orders"]


class OrderOutcome(NamedTuple):
    """The outcome of one order.

    Attributes:
        target: Name of the engine.
        outcome: `taken`, `failed`, or `held_back` if the lease did not permit
            the order.
    """

    target: str
    outcome: str


def lease_name(zone: str) -> str:
    """Returns the record name of a zone's lease for orders."""
    return f"lease/orders/{zone}"


def send_orders(
    manager: lease.LeaseManager,
    engines: targets_port.Targets,
    version_mismatches: list[messages.Misplaced],
    models: dict[str, objects.Model],
    make_id: Callable[[], str],
    clock: Callable[[], float],
) -> list[OrderOutcome]:
    """Orders engines to load the wanted version of their model.

    The lease is checked immediately before each order is sent.

    Args:
        manager: Holder of the zone's lease for orders.
        engines: Client for calls to engines.
        version_mismatches: Engines that have loaded another version than the
            wanted one.
        models: Configuration objects of the models, by name.
        make_id: Returns a new order id.
        clock: Returns the monotonic time in seconds.

    Returns:
        The outcome for each engine whose model still has a wanted version.
    """
    outcomes = []
    for engine in version_mismatches:
        model = models.get(engine.serves)
        if model is None or not model.wanted_version:
            continue
        now = clock()
        may_order = manager.may_send_unfenced_orders(now)
        if model.fencing:
            may_order = manager.is_held(now)
        if not may_order:
            outcomes.append(OrderOutcome(engine.target, "held_back"))
            continue
        order = targets_port.Order(
            make_id(), manager.lease.fencing, model.wanted_version
        )
        outcome = "taken"
        try:
            engines.order(engine.address, order)
        except errors.TargetError:
            outcome = "failed"
        outcomes.append(OrderOutcome(engine.target, outcome))
    return outcomes
