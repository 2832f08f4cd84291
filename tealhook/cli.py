"""The command line: `tealhook serve | check | submit | show | cancel`."""

from __future__ import annotations

import argparse
import logging
import math
import os
import sys

from tealhook import __version__

EXIT_OK, EXIT_FAILED, EXIT_USAGE = 0, 1, 2
LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _addr(text: str) -> str:
    """The address of a controller: host and port."""
    host, _, port = text.rpartition(":")
    number = int(port) if port.isascii() and port.isdecimal() and len(port) <= 5 else 0
    if not host or any(c in "/:@" or not c.isprintable() or c.isspace() for c in host) or not 0 < number < 65536:
        raise argparse.ArgumentTypeError(f"expected a controller's address such as 10.0.0.1:8080, got {text!r}")
    return text


def _seconds(text: str) -> float:
    """A time to wait, finite and above 0."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds <= 0:
        raise argparse.ArgumentTypeError(f"expected a number of seconds above 0, got {text!r}")
    return seconds


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="tealhook",
        description="Schedules preemptable tasks on rented machines.",
        epilog="Exit codes: 0 done, 1 failed or refused, 2 wrong usage or settings. LOG_LEVEL: error, info, debug.",
    )
    parser.add_argument("--version", action="version", version=f"tealhook {__version__}")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND", required=True)
    for name, text in (("serve", "run a controller"), ("check", "check settings and policy, start nothing")):
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument("--policy", metavar="FILE", help="policy expressions (default: the built-in policy)")
        command.add_argument("--config", metavar="FILE", required=name == "serve", help="settings file (TOML)")
    check = commands.choices["check"]
    check.add_argument("--print-policy", action="store_true", help="print the built-in policy and stop")
    for name, text in (
        ("submit", "submit a job"),
        ("show", "show a job's state"),
        ("cancel", "cancel a job"),
    ):
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument(
            "--api", type=_addr, metavar="ADDR", required=True, help="a controller's address, as 10.0.0.1:8080"
        )
        command.add_argument("--timeout", type=_seconds, default=60.0, metavar="S", help="give up after (default: 60)")
        if name == "submit":
            command.add_argument("job", help="file with the job as JSON; - for standard input")
        else:
            command.add_argument("job", help="job id, as req-000412")
    return parser


def _set_up_logging() -> int:
    level = os.environ.get("LOG_LEVEL", "info").lower()
    if level not in LEVELS:
        print(f"tealhook: LOG_LEVEL: expected error, info or debug, got {level!r}", file=sys.stderr)
        return EXIT_USAGE
    logging.basicConfig(
        stream=sys.stderr, level=LEVELS[level], format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    return EXIT_OK


def _serve(args: argparse.Namespace) -> int:
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
    """The entry point; `run.py --config FILE` is short for `serve --config FILE`."""
    parser = _parser()
    args = parser.parse_args(argv)
    if args.command in ("serve", "check"):
        if args.command == "check" and args.print_policy:
            from tealhook.settings import DEFAULT_POLICY

            print(DEFAULT_POLICY, end="")
            return EXIT_OK
        if args.config is None:
            parser.error("check: --config is required")
        return _set_up_logging() or _serve(args)
    from tealhook.user import run_user_command

    return run_user_command(args)
