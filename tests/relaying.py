"""Builders of settings, configurations and routers for tests."""

import random
import time

from catkintrail import relay_settings
from catkintrail.adapters import target_connector
from catkintrail.core import request_router
from catkintrail.core import target_notices
from catkintrail.core import target_paths
from catkintrail.core import route_table
from catkintrail.core import store_views
from catkintrail.core import targets as target_records
from catkintrail.platform import engines

FIGURES = route_table.EngineFigures(
    450_000, 0.925, 0.00966, 0.00254, 256.0, 0.0917, 2048, 46, 13_229.0
)


def make_settings(**changes):
    settings = relay_settings.RelaySettings(
        name="a-1",
        availability_zone="za",
        address="10.0.0.1",
        caller_address="10.0.0.1:8000",
        ready_address="10.0.0.1:8001",
        peer_address="10.0.0.1:8002",
        datagram_port=7000,
        seeds=("10.0.0.1:8002", "10.0.0.2:8002"),
        store_address="10.9.9.9:8223",
        drain_seconds=8.0,
        revocation_seconds=5.0,
        configuration_seconds=2.0,
        retry_ratio=0.2,
        retry_extra=100.0,
        retry_window_seconds=10.0,
        memory_free_seconds=4.0,
    )
    return settings._replace(**changes)


def make_route(**changes):
    route = route_table.Route(
        name="ask",
        host="wells.example",
        path_prefix="/ask/",
        kind=route_table.RouteKind.STREAMING,
        services=(route_table.WeightedService("engines", 1.0),),
        timeout_ms=10_000.0,
        goal_ms=300.0,
        gap_goal_ms=200.0,
        max_sends=2,
        priority=1,
        is_public=False,
        is_resumable=True,
    )
    return route._replace(**changes)


BOOKING = make_route(
    name="book",
    path_prefix="/book/",
    kind=route_table.RouteKind.NON_IDEMPOTENT,
    services=(route_table.WeightedService("desk", 1.0),),
    timeout_ms=800.0,
    goal_ms=200.0,
    gap_goal_ms=0.0,
    max_sends=2,
    is_resumable=False,
)
LOOKUP = BOOKING._replace(
    name="look", path_prefix="/look/", kind=route_table.RouteKind.IDEMPOTENT
)


def make_configuration(
    version=1, keys=("key-1",), routes=None, figures=FIGURES
):
    holder = route_table.Organisation("guild", None)
    return route_table.Configuration(
        version,
        routes or (make_route(), BOOKING, LOOKUP),
        {
            "engines": route_table.Service("engines", 364, figures),
            "desk": route_table.Service("desk", 110, None),
        },
        {key: holder for key in keys},
        route_table.CallerLimits(),
    )


def make_target(name, service="engines", zone="za", **changes):
    target = target_records.Target(
        name, service, f"10.1.0.{name.rpartition('-')[2]}:80", zone, 8, False, 1
    )
    return target._replace(**changes)


def make_router(targets=(), now=100.0, configuration=None, **settings):
    """Returns the router of an instance that has been running for a while."""
    router = request_router.RequestRouter(
        make_settings(**settings), 1, random.Random(1), now - 60.0
    )
    router.fleet_state.update_configuration(
        configuration or make_configuration(), now
    )
    router.fleet_state.replace_targets(list_entries(targets), now)
    return router


def list_entries(targets, position=store_views.NO_POSITION):
    """Returns statements about entries that have the same position."""
    return [
        store_views.EntryStatement(target.name, target, position)
        for target in targets
    ]


def make_peer_address(address, zone="za"):
    return target_paths.PeerAddress(address, zone)


def make_connector():
    """Returns a connector without peers."""
    return target_connector.TargetConnector(time.monotonic, random.Random(1))


def make_engine_client(record_statement=None, connector=None):
    """Returns a client that records statements as an instance does."""
    notices = target_notices.TargetNotices()

    def record(target, statement, sent_at):
        notices.record(target, statement, sent_at, time.monotonic())
        if statement.is_leaving:
            notices.departures.add(target.name, target.born, sent_at)

    return engines.EngineClient(
        time.monotonic,
        notices,
        record_statement or record,
        connector or make_connector(),
    )
