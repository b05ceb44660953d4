"""The command line: parses, calls one function, prints."""

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

OK, FAILED, MISTAKES, UNREACHABLE, CONFLICT = range(5)
KEY_VARIABLE = "CATKINTRAIL_KEY"
DEFAULT_URL = "http://127.0.0.1:8101"
EPILOG = (
    "exit codes: 0 done, 1 refused or failed, 2 mistakes in arguments or"
    " documents, 3 an instance does not answer, 4 a conflicting change"
)
SERVER_THREADS = 64
STANDIN_BODY_BYTES = 32 << 20


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line.

    Args:
        arguments: Arguments without the program's name; those of the process
            by default.

    Returns:
        The exit code.
    """
    options = _make_parser().parse_args(arguments)
    try:
        return options.function(options)
    except errors.CheckError as error:
        for mistake in error.mistakes:
            _complain(f"{error.source}: {mistake.path}: {mistake.message}")
        return MISTAKES
    except admin_client.AdminError as error:
        _complain(str(error))
        if not error.status:
            return UNREACHABLE
        return {400: MISTAKES, 409: CONFLICT}.get(error.status, FAILED)
    except errors.CatkintrailError as error:
        _complain(str(error))
        return FAILED
    except KeyboardInterrupt:
        return FAILED


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="catkintrail",
        description="A serving layer for prompts whose lengths differ greatly.",
        epilog=EPILOG,
    )
    parser.add_argument(
        "--version", action="version", version=f"catkintrail {__version__}"
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_entry(commands)
    _add_relay(commands)
    _add_check(commands)
    _add_admin(commands)
    _add_load(commands)
    log_commands.add_commands(commands, _add)
    _add_standin(commands)
    return parser


def _add(
    commands: Any, name: str, function: Callable, help_text: str
) -> argparse.ArgumentParser:
    parser = commands.add_parser(
        name, help=help_text, description=help_text, epilog=EPILOG
    )
    parser.set_defaults(function=function)
    return parser


# The entry instance and the check of documents.


def _add_entry(commands: Any) -> None:
    parser = _add(
        commands,
        "entry",
        _run_entry,
        "Run one entry instance: callers' API, administration API, peers.",
    )
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="its settings"
    )


def _run_entry(options: argparse.Namespace) -> int:
    return daemon.run(settings.read_settings(options.settings))


def _add_relay(commands: Any) -> None:
    _add(
        commands,
        "relay",
        _run_relay,
        "Run one relaying instance on the users' platform; the variable"
        " CATKINTRAIL_BOOT holds the path of its settings.",
    )


def _run_relay(_options: argparse.Namespace) -> int:
    return relay_start.main()


def _add_check(commands: Any) -> None:
    parser = _add(
        commands,
        "check",
        _run_check,
        "Check settings or a set of objects, without a running instance.",
    )
    parser.add_argument("files", nargs="+", metavar="FILE")


def _run_check(options: argparse.Namespace) -> int:
    code = OK
    for path in options.files:
        try:
            print(f"{path}: {_check_file(path)}")
        except errors.CheckError as error:
            code = MISTAKES
            for mistake in error.mistakes:
                _complain(f"{path}: {mistake.path}: {mistake.message}")
    return code


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


# The operator's client.


def _add_admin(commands: Any) -> None:
    admin = commands.add_parser(
        "admin", help="Read and change objects, see history and status."
    )
    actions = admin.add_subparsers(required=True, metavar="ACTION")
    get = _add_action(actions, "get", _admin_get, "Print objects in force.")
    get.add_argument("kind", nargs="?", choices=list(objects.KINDS))
    get.add_argument("name", nargs="?")
    for name, function, text in (
        ("apply", _admin_apply, "Publish the objects of a document."),
        ("diff", _admin_diff, "Show what `apply` would change."),
    ):
        parser = _add_action(actions, name, function, text)
        parser.add_argument("file", metavar="FILE")
        parser.add_argument(
            "--prune",
            action="store_true",
            help="delete objects that the document lacks",
        )
    delete = _add_action(actions, "delete", _admin_delete, "Delete an object.")
    delete.add_argument("kind", choices=list(objects.KINDS))
    delete.add_argument("name")
    history = _add_action(
        actions, "history", _admin_history, "Show who changed what, when."
    )
    history.add_argument("--limit", type=int, default=20)
    _add_action(
        actions, "status", _admin_status, "Show the state of each instance."
    )
    _add_action(
        actions, "drain", _admin_drain, "Let an instance finish, then stop."
    )


def _add_action(
    actions: Any, name: str, function: Callable, help_text: str
) -> argparse.ArgumentParser:
    parser = _add(actions, name, function, help_text)
    parser.add_argument(
        "--url",
        action="append",
        help=f"an instance ({DEFAULT_URL}); `status` takes several",
    )
    parser.add_argument(
        "--key",
        default=os.environ.get(KEY_VARIABLE, ""),
        help=f"API key with the operator's role (${KEY_VARIABLE})",
    )
    parser.add_argument(
        "--authority", default="", help="certificate that signs the instance's"
    )
    return parser


def _client(options: argparse.Namespace) -> admin_client.AdminClient:
    url = (options.url or [DEFAULT_URL])[0]
    return admin_client.AdminClient(url, options.key, options.authority)


def _admin_get(options: argparse.Namespace) -> int:
    data = _client(options).read_objects()
    found = data["objects"]
    if options.kind:
        found = found[options.kind]
    if options.name:
        if options.name not in found:
            _complain(f"no {objects.SINGULAR[options.kind]} {options.name!r}")
            return FAILED
        found = found[options.name]
    _print_json(found)
    return OK


def _admin_apply(options: argparse.Namespace) -> int:
    client = _client(options)
    planned = _plan(client, options)
    if not planned:
        print("nothing to change")
        return OK
    answer = client.change([edit for edit, _ in planned])
    print(f"generation {answer['generation']}: {len(planned)} objects changed")
    return OK


def _admin_diff(options: argparse.Namespace) -> int:
    planned = _plan(_client(options), options)
    print(admin_client.format_diff(planned) or "nothing to change")
    return OK


def _plan(
    client: admin_client.AdminClient, options: argparse.Namespace
) -> list[admin_client.PlannedEdit]:
    data = checking.read_document(options.file)
    return client.plan(data, options.file, options.prune)


def _admin_delete(options: argparse.Namespace) -> int:
    client = _client(options)
    before = client.read_objects()["objects"][options.kind].get(options.name)
    if before is None:
        _complain(f"no {objects.SINGULAR[options.kind]} {options.name!r}")
        return FAILED
    base = publication.digest_of(before)
    edit = publication.Edit(options.kind, options.name, None, base)
    answer = client.change([edit])
    print(f"generation {answer['generation']}: deleted")
    return OK


def _admin_history(options: argparse.Namespace) -> int:
    for change in _client(options).read_history(options.limit):
        edits = ", ".join(
            f"{edit['kind']}.{edit['name']}" for edit in change["edits"]
        )
        print(
            f"{change['generation']}  {_format_time(change['time'])}"
            f"  {change['author']}  {edits}"
        )
    return OK


def _admin_status(options: argparse.Namespace) -> int:
    code = OK
    for url in options.url or [DEFAULT_URL]:
        client = admin_client.AdminClient(url, options.key, options.authority)
        try:
            _print_json(client.read_status())
        except admin_client.AdminError as error:
            _complain(str(error))
            code = UNREACHABLE if not error.status else FAILED
    return code


def _admin_drain(options: argparse.Namespace) -> int:
    _client(options).drain()
    print("draining")
    return OK


# The load tool.


def _add_load(commands: Any) -> None:
    parser = _add(
        commands,
        "load",
        _run_load,
        "Send a mixed load; print time to first token by prompt length.",
    )
    parser.add_argument("--url", action="append", required=True)
    parser.add_argument("--key", default=os.environ.get(KEY_VARIABLE, ""))
    parser.add_argument("--route", required=True, help="a route to a model")
    parser.add_argument("--requests", type=int, default=200)
    parser.add_argument("--per-second", type=float, default=10.0)
    parser.add_argument("--long-fraction", type=float, default=0.02)
    parser.add_argument("--output-tokens", type=int, default=32)
    parser.add_argument("--deadline", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--slowdown",
        action="store_true",
        help="first send the short prompts alone, then compare",
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
        alone = load.run_load(plan._replace(short_only=True))
        print("short prompts alone:")
        print(load.format_result(alone))
        print("mixed:")
    print(load.format_result(load.run_load(plan)))
    return OK


# The stand-ins.


def _add_standin(commands: Any) -> None:
    standin = commands.add_parser(
        "standin", help="Run a stand-in, for trial and test only."
    )
    kinds = standin.add_subparsers(required=True, metavar="KIND")
    one = _add(
        kinds, "platform", _run_platform, "Run a stand-in of the platform."
    )
    _add_port(one)
    one.add_argument(
        "--targets",
        metavar="FILE",
        help="JSON with the list `targets`; see examples",
    )
    one.add_argument("--lag", type=float, default=0.5, help="seconds")
    one = _add(kinds, "engine", _run_engine, "Run a stand-in engine.")
    _add_port(one)
    one.add_argument("--name", required=True)
    one.add_argument("--speed", type=float, default=1.0)
    one.add_argument("--kv-tokens", type=int, default=450_000)
    one.add_argument("--block-tokens", type=int, default=512)
    one.add_argument("--lag", type=float, default=0.5, help="seconds")
    one.add_argument("--event-gap", type=float, default=0.02)
    one.add_argument(
        "--ignore-fencing",
        action="store_true",
        help="take orders with old fencing numbers too",
    )
    one = _add(kinds, "service", _run_service, "Run a stand-in service.")
    _add_port(one)
    one.add_argument("--name", required=True)
    one.add_argument("--call-seconds", type=float, default=0.02)


def _add_port(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)


def _run_platform(options: argparse.Namespace) -> int:
    targets: tuple = ()
    if options.targets:
        targets = _read_targets(options.targets)
    one = platform.Platform(targets, options.lag)
    return _serve(options, one.serve, one.start)


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


def _run_engine(options: argparse.Namespace) -> int:
    shape = engine_model.EngineShape(
        kv_tokens=options.kv_tokens, block_tokens=options.block_tokens
    )
    one = engine.Engine(
        engine.EngineOptions(
            options.name,
            shape,
            options.speed,
            report_lag_seconds=options.lag,
            event_gap=options.event_gap,
            checks_fencing=not options.ignore_fencing,
        )
    )
    return _serve(options, one.serve, one.start)


def _run_service(options: argparse.Namespace) -> int:
    one = service.Service(options.name, options.call_seconds)
    return _serve(options, one.serve, lambda: None)


def _serve(
    options: argparse.Namespace,
    handler: wsgi.Application,
    start: Callable[[], None],
) -> int:
    server = wsgi.make_server(
        options.address,
        options.port,
        wsgi.make_application(handler, STANDIN_BODY_BYTES),
        SERVER_THREADS,
        60.0,
    )
    start()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    thread.join()
    return OK


# Output.


def _print_json(data: Any) -> None:
    print(json.dumps(data, indent=2, sort_keys=True))


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def _complain(message: str) -> None:
    print(f"catkintrail: {message}", file=sys.stderr)
