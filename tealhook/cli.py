"""Command line: `tealhook serve | check | submit | show | cancel`."""

from __future__ import annotations

import argparse
import logging
import math
import os
import sys

from tealhook import __version__

EXIT_OK, EXIT_FAILED, EXIT_USAGE = 0, 1, 2
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _parse_controller_addr(text: str) -> str:
    """Return the address of a controller (host and port) unchanged; raise ArgumentTypeError if it is invalid."""
    host, _, port = text.rpartition(":")
    port_number = int(port) if port.isascii() and port.isdecimal() and len(port) <= 5 else 0
    if not host or any(c in "/:@" or not c.isprintable() or c.isspace() for c in host) or not 0 < port_number < 65536:
        raise argparse.ArgumentTypeError(f"expected a controller's address such as 10.0.0.1:8080, got {text!r}")
    return text


def _parse_seconds(text: str) -> float:
    """Return a finite number of seconds above 0; raise ArgumentTypeError for any other text."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds <= 0:
        raise argparse.ArgumentTypeError(f"expected a number of seconds above 0, got {text!r}")
    return seconds


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="tealhook",
        description="Schedules preemptable tasks on rented machines.",
        epilog="Exit codes: 0 success, 1 failed or refused, 2 invalid usage, settings or policy. "
        "LOG_LEVEL: error, info, debug.",
    )
    parser.add_argument("--version", action="version", version=f"tealhook {__version__}")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND", required=True)
    for name, summary in (
        ("serve", "run a controller"),
        ("check", "check settings and policy without starting a controller"),
    ):
        command = commands.add_parser(name, help=summary, description=summary)
        command.add_argument("--policy", metavar="FILE", help="policy expressions (default: the built-in policy)")
        command.add_argument("--config", metavar="FILE", required=name == "serve", help="settings file (TOML)")
    check = commands.choices["check"]
    check.add_argument("--print-policy", action="store_true", help="print the built-in policy and exit")
    for name, summary in (
        ("submit", "submit a job"),
        ("show", "show a job's state"),
        ("cancel", "cancel a job"),
    ):
        command = commands.add_parser(name, help=summary, description=summary)
        command.add_argument(
            "--api",
            type=_parse_controller_addr,
            metavar="ADDR",
            required=True,
            help="a controller's address, such as 10.0.0.1:8080",
        )
        command.add_argument(
            "--timeout",
            type=_parse_seconds,
            default=60.0,
            metavar="S",
            help="seconds after which to give up (default: 60)",
        )
        if name == "submit":
            command.add_argument("job", help="file with the job as JSON, or - for standard input")
        else:
            command.add_argument("job", help="job id, such as req-000412")
    return parser


def _set_up_logging() -> int:
    """Configure logging to standard error by LOG_LEVEL; return an exit code."""
    level = os.environ.get("LOG_LEVEL", "info").lower()
    if level not in LOG_LEVELS:
        print(f"tealhook: LOG_LEVEL: expected error, info or debug, got {level!r}", file=sys.stderr)
        return EXIT_USAGE
    logging.basicConfig(
        stream=sys.stderr, level=LOG_LEVELS[level], format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    return EXIT_OK


def _serve_or_check(args: argparse.Namespace) -> int:
    """Load settings and policy; run the controller, or only report the write limits for `check`."""
    from tealhook.settings import PolicyError, SettingsError, load_policy, load_settings

    try:
        settings = load_settings(args.config)
        policy = load_policy(args.policy)
    except (SettingsError, PolicyError) as exc:
        print(f"tealhook: {exc}", file=sys.stderr)
        return EXIT_USAGE
    if args.command == "check":
        limits = settings.params.state.strictest
        print(
            f"ok; written to the state service: {limits.write_rps:g} changes/s, {limits.value_kb:g} KiB a value, "
            f"{limits.txn_ops} changes a transaction"
        )
        return EXIT_OK
    from tealhook.runtime import serve

    try:
        serve(settings, policy)
    except KeyboardInterrupt:
        return EXIT_OK
    except OSError as exc:
        print(f"tealhook: {settings.node}: {exc.strerror or exc}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


def main(argv: list[str] | None = None) -> int:
    """Run the command that the arguments name, by default those of the process, and return its exit code."""
    parser = _build_parser()
    args = parser.parse_args(argv)
    if args.command in ("serve", "check"):
        if args.command == "check" and args.print_policy:
            from tealhook.settings import DEFAULT_POLICY

            print(DEFAULT_POLICY, end="")
            return EXIT_OK
        if args.config is None:
            parser.error("check: --config is required, unless --print-policy is given")
        return _set_up_logging() or _serve_or_check(args)
    from tealhook.user import run_user_command

    return run_user_command(args)
