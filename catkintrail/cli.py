"""Command-line interface of the entry instance, relay and tools."""

import argparse
import datetime
import json
import os
import sys
import threading
from typing import Any, Callable

from catkintrail import __version__
from catkintrail import admin_client
from catkintrail import checking
from catkintrail import daemon
from catkintrail import errors
from catkintrail import load
from catkintrail import log_commands
from catkintrail import objects
from catkintrail import relay_start
from catkintrail import settings
from catkintrail.adapters import wsgi
from catkintrail.core import publication
from catkintrail.platform import boot
from catkintrail.standin import engine
from catkintrail.standin import engine_model
from catkintrail.standin import platform
from catkintrail.standin import service

__all__ = ["main"]

OK, FAILED, INVALID_INPUT, UNREACHABLE, CONFLICT = range(5)
API_KEY_VARIABLE = "CATKINTRAIL_KEY"
DEFAULT_URL = "http://127.0.0.1:8101"
EPILOG = (
    "exit codes: 0 done, 1 refused or failed, 2 mistakes in arguments or"
    " documents, 3 an instance does not answer, 4 a conflicting change"
)
STANDIN_SERVER_THREADS = 64
MAX_STANDIN_BODY_BYTES = 32 << 20


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line.

    Args:
        arguments: Arguments without the program's name; None for those of
            the process.

    Returns:
        The exit code, as listed in `EPILOG`.
    """
    options = _build_parser().parse_args(arguments)
    try:
        return options.function(options)
    except errors.CheckError as error:
        for mistake in error.mistakes:
            _print_error(f"{error.source}: {mistake.path}: {mistake.message}")
        return INVALID_INPUT
    except admin_client.AdminError as error:
        _print_error(str(error))
        if not error.status:
            return UNREACHABLE
        return {400: INVALID_INPUT, 409: CONFLICT}.get(error.status, FAILED)
    except errors.CatkintrailError as error:
        _print_error(str(error))
        return FAILED
    except KeyboardInterrupt:
        return FAILED


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="catkintrail",
        description="A serving layer for prompts whose lengths differ greatly.",
        epilog=EPILOG,
    )
    parser.add_argument(
        "--version", action="version", version=f"catkintrail {__version__}"
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_entry_command(commands)
    _add_relay_command(commands)
    _add_check_command(commands)
    _add_admin_commands(commands)
    _add_load_command(commands)
    log_commands.add_commands(commands, _add_command)
    _add_standin_commands(commands)
    return parser


def _add_command(
    commands: Any, name: str, function: Callable, help_text: str
) -> argparse.ArgumentParser:
    parser = commands.add_parser(
        name, help=help_text, description=help_text, epilog=EPILOG
    )
    parser.set_defaults(function=function)
    return parser


# Entry instance, relaying instance and validation of files.


def _add_entry_command(commands: Any) -> None:
    parser = _add_command(
        commands,
        "entry",
        _run_entry,
        "Run an entry instance with the callers' API, the administration API"
        " and peer streams.",
    )
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="settings file"
    )


def _run_entry(options: argparse.Namespace) -> int:
    return daemon.run(settings.read_settings(options.settings))


def _add_relay_command(commands: Any) -> None:
    _add_command(
        commands,
        "relay",
        _run_relay,
        "Run a relaying instance on the deployment platform; the environment"
        " variable CATKINTRAIL_BOOT holds the path of its settings file.",
    )


def _run_relay(_options: argparse.Namespace) -> int:
    return relay_start.main()


def _add_check_command(commands: Any) -> None:
    parser = _add_command(
        commands,
        "check",
        _run_check,
        "Validate settings and object files, without a running instance.",
    )
    parser.add_argument("files", nargs="+", metavar="FILE")


def _run_check(options: argparse.Namespace) -> int:
    exit_code = OK
    for path in options.files:
        try:
            print(f"{path}: {_check_file(path)}")
        except errors.CheckError as error:
            exit_code = INVALID_INPUT
            for mistake in error.mistakes:
                _print_error(f"{path}: {mistake.path}: {mistake.message}")
    return exit_code


def _check_file(path: str) -> str:
    if path.endswith(".toml"):
        boot.read_settings(path)
        return "settings of a relaying instance are right"
    data = checking.read_document(path)
    if "instance" in data or "callers" in data or "peers" in data:
        settings.check_settings(data, path)
        return "settings are right"
    checked = objects.check_object_set(data, path)
    counts = ", ".join(
        f"{len(getattr(checked, kind))} {kind}" for kind in objects.KINDS
    )
    return f"objects are right: {counts}"


# Administration commands.


def _add_admin_commands(commands: Any) -> None:
    admin_parser = commands.add_parser(
        "admin", help="Read and change objects, show history and status."
    )
    actions = admin_parser.add_subparsers(required=True, metavar="ACTION")
    get = _add_admin_command(
        actions, "get", _admin_get, "Print published objects."
    )
    get.add_argument("kind", nargs="?", choices=list(objects.KINDS))
    get.add_argument("name", nargs="?")
    for name, function, text in (
        ("apply", _admin_apply, "Publish the objects of a document."),
        ("diff", _admin_diff, "Show the changes that `apply` would make."),
    ):
        parser = _add_admin_command(actions, name, function, text)
        parser.add_argument("file", metavar="FILE")
        parser.add_argument(
            "--prune",
            action="store_true",
            help="delete objects that are missing from the document",
        )
    delete = _add_admin_command(
        actions, "delete", _admin_delete, "Delete an object."
    )
    delete.add_argument("kind", choices=list(objects.KINDS))
    delete.add_argument("name")
    history = _add_admin_command(
        actions,
        "history",
        _admin_history,
        "Print accepted changes with author and time.",
    )
    history.add_argument("--limit", type=int, default=20)
    _add_admin_command(
        actions, "status", _admin_status, "Print the status of each instance."
    )
    _add_admin_command(
        actions,
        "drain",
        _admin_drain,
        "Let an instance finish its requests, then stop it.",
    )


def _add_admin_command(
    actions: Any, name: str, function: Callable, help_text: str
) -> argparse.ArgumentParser:
    parser = _add_command(actions, name, function, help_text)
    parser.add_argument(
        "--url",
        action="append",
        help=f"URL of an instance (default {DEFAULT_URL});"
        " repeatable for `status`",
    )
    parser.add_argument(
        "--key",
        default=os.environ.get(API_KEY_VARIABLE, ""),
        help=f"API key with the operator role (default ${API_KEY_VARIABLE})",
    )
    parser.add_argument(
        "--authority", default="", help="CA certificate of the instance"
    )
    return parser


def _make_client(options: argparse.Namespace) -> admin_client.AdminClient:
    url = (options.url or [DEFAULT_URL])[0]
    return admin_client.AdminClient(url, options.key, options.authority)


def _admin_get(options: argparse.Namespace) -> int:
    data = _make_client(options).read_objects()
    selected = data["objects"]
    if options.kind:
        selected = selected[options.kind]
    if options.name:
        if options.name not in selected:
            _print_error(
                f"{objects.SINGULAR[options.kind]} {options.name!r} not found"
            )
            return FAILED
        selected = selected[options.name]
    _print_json(selected)
    return OK


def _admin_apply(options: argparse.Namespace) -> int:
    client = _make_client(options)
    changes = _plan(client, options)
    if not changes:
        print("nothing to change")
        return OK
    response = client.publish_edits([edit for edit, _ in changes])
    print(
        f"generation {response['generation']}: {len(changes)} objects changed"
    )
    return OK


def _admin_diff(options: argparse.Namespace) -> int:
    changes = _plan(_make_client(options), options)
    print(admin_client.format_diff(changes) or "nothing to change")
    return OK


def _plan(
    client: admin_client.AdminClient, options: argparse.Namespace
) -> list[admin_client.PlannedEdit]:
    data = checking.read_document(options.file)
    return client.plan_edits(data, options.file, options.prune)


def _admin_delete(options: argparse.Namespace) -> int:
    client = _make_client(options)
    current = client.read_objects()["objects"][options.kind].get(options.name)
    if current is None:
        _print_error(
            f"{objects.SINGULAR[options.kind]} {options.name!r} not found"
        )
        return FAILED
    base = publication.object_digest(current)
    edit = publication.Edit(options.kind, options.name, None, base)
    response = client.publish_edits([edit])
    print(f"generation {response['generation']}: deleted")
    return OK


def _admin_history(options: argparse.Namespace) -> int:
    for change in _make_client(options).read_history(options.limit):
        edits = ", ".join(
            f"{edit['kind']}.{edit['name']}" for edit in change["edits"]
        )
        print(
            f"{change['generation']}  {_format_time(change['time'])}"
            f"  {change['author']}  {edits}"
        )
    return OK


def _admin_status(options: argparse.Namespace) -> int:
    exit_code = OK
    for url in options.url or [DEFAULT_URL]:
        client = admin_client.AdminClient(url, options.key, options.authority)
        try:
            _print_json(client.read_status())
        except admin_client.AdminError as error:
            _print_error(str(error))
            exit_code = UNREACHABLE if not error.status else FAILED
    return exit_code


def _admin_drain(options: argparse.Namespace) -> int:
    _make_client(options).drain()
    print("draining")
    return OK


# Load generator.


def _add_load_command(commands: Any) -> None:
    parser = _add_command(
        commands,
        "load",
        _run_load,
        "Send short and long prompts; print time to first token by prompt"
        " length.",
    )
    parser.add_argument("--url", action="append", required=True)
    parser.add_argument("--key", default=os.environ.get(API_KEY_VARIABLE, ""))
    parser.add_argument(
        "--route", required=True, help="name of a route to a model"
    )
    parser.add_argument("--requests", type=int, default=200)
    parser.add_argument("--per-second", type=float, default=10.0)
    parser.add_argument("--long-fraction", type=float, default=0.02)
    parser.add_argument("--output-tokens", type=int, default=32)
    parser.add_argument("--deadline", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--slowdown",
        action="store_true",
        help="first send a load of short prompts alone, for comparison",
    )


def _run_load(options: argparse.Namespace) -> int:
    plan = load.LoadPlan(
        tuple(url.rstrip("/") for url in options.url),
        options.key,
        options.route,
        options.requests,
        options.per_second,
        options.long_fraction,
        options.output_tokens,
        options.deadline,
        options.seed,
    )
    if options.slowdown:
        short_result = load.run_load(plan._replace(short_only=True))
        print("short prompts alone:")
        print(load.format_result(short_result))
        print("mixed:")
    print(load.format_result(load.run_load(plan)))
    return OK


# Stand-ins for the platform, engines and services.


def _add_standin_commands(commands: Any) -> None:
    standin_parser = commands.add_parser(
        "standin",
        help="Run a stand-in of an external system, for trials and tests.",
    )
    subcommands = standin_parser.add_subparsers(required=True, metavar="KIND")
    platform_parser = _add_command(
        subcommands,
        "platform",
        _run_platform_standin,
        "Run a stand-in of the platform.",
    )
    _add_listen_arguments(platform_parser)
    platform_parser.add_argument(
        "--targets",
        metavar="FILE",
        help="JSON file with a list `targets`, as in examples/",
    )
    platform_parser.add_argument(
        "--lag",
        type=float,
        default=0.5,
        help="delay of target updates in seconds",
    )
    engine_parser = _add_command(
        subcommands, "engine", _run_engine_standin, "Run a stand-in engine."
    )
    _add_listen_arguments(engine_parser)
    engine_parser.add_argument("--name", required=True)
    engine_parser.add_argument("--speed", type=float, default=1.0)
    engine_parser.add_argument("--kv-tokens", type=int, default=450_000)
    engine_parser.add_argument("--block-tokens", type=int, default=512)
    engine_parser.add_argument(
        "--lag", type=float, default=0.5, help="age of load reports in seconds"
    )
    engine_parser.add_argument("--event-gap", type=float, default=0.02)
    engine_parser.add_argument(
        "--ignore-fencing",
        action="store_true",
        help="accept orders with outdated fencing numbers",
    )
    service_parser = _add_command(
        subcommands, "service", _run_service_standin, "Run a stand-in service."
    )
    _add_listen_arguments(service_parser)
    service_parser.add_argument("--name", required=True)
    service_parser.add_argument("--call-seconds", type=float, default=0.02)


def _add_listen_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)


def _run_platform_standin(options: argparse.Namespace) -> int:
    targets: tuple = ()
    if options.targets:
        targets = _read_targets(options.targets)
    platform_standin = platform.Platform(targets, options.lag)
    return _serve(options, platform_standin.serve, platform_standin.start)


def _read_targets(path: str) -> tuple[platform.TargetSetting, ...]:
    data = checking.read_document(path)
    mistakes: list[errors.Mistake] = []
    targets = [
        checking.check_record(
            item, platform.TargetSetting, f"targets[{index}]", mistakes
        )
        for index, item in enumerate(data.get("targets", []))
    ]
    if mistakes:
        raise errors.CheckError(path, mistakes)
    return tuple(targets)


def _run_engine_standin(options: argparse.Namespace) -> int:
    parameters = engine_model.EngineParameters(
        kv_tokens=options.kv_tokens, block_tokens=options.block_tokens
    )
    engine_standin = engine.Engine(
        engine.EngineOptions(
            options.name,
            parameters,
            options.speed,
            report_lag_seconds=options.lag,
            event_loss_probability=options.event_gap,
            checks_fencing=not options.ignore_fencing,
        )
    )
    return _serve(options, engine_standin.serve, engine_standin.start)


def _run_service_standin(options: argparse.Namespace) -> int:
    service_standin = service.Service(options.name, options.call_seconds)
    return _serve(options, service_standin.serve, lambda: None)


def _serve(
    options: argparse.Namespace,
    handler: wsgi.Application,
    start: Callable[[], None],
) -> int:
    server = wsgi.make_server(
        options.address,
        options.port,
        wsgi.make_application(handler, MAX_STANDIN_BODY_BYTES),
        STANDIN_SERVER_THREADS,
        60.0,
        max_body_bytes=MAX_STANDIN_BODY_BYTES,
    )
    start()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    thread.join()
    return OK


# Output helpers.


def _print_json(data: Any) -> None:
    print(json.dumps(data, indent=2, sort_keys=True))


def _format_time(seconds: float) -> str:
    utc_time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return utc_time.strftime("%Y-%m-%dT%H:%M:%SZ")


def _print_error(message: str) -> None:
    print(f"catkintrail: {message}", file=sys.stderr)
