"""Measure memory and time to readiness of a controller that starts with the records of many ended jobs.

    python3 -m benchmarks.start_with_history [--checkout DIRECTORY] [--ended 0 100000] [--timeout SECONDS]

A real process on loopback and the real clock, without machines and cloud. It is started twice on the same records: the
first time nothing but the records exists, the second time also what the first process has left, as after a crash.
`--checkout` measures the controller of another checkout, such as an earlier version.
"""

from __future__ import annotations

import argparse
import contextlib
import http.client
import math
import os
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from benchmarks.state_service import StateService, ended_key, serve

ROOT = Path(__file__).resolve().parent.parent
ACTIVE_JOBS = 50
SAMPLE_INTERVAL_S = 0.02
SETTLING_S = 4.0  # how long a process is watched after it has read all active jobs
SPEC = {
    "name_id": "",
    "lineup": "train",
    "crew": "team-0",
    "shape": "array",
    "urgency": "standard",
    "plays": 4,
    "vcpus": 2.0,
    "cards": 0.0,
    "memory_gb": 4.0,
    "playbook": "img-1",
    "pull_gb": 1.0,
    "rigs": None,
    "yard": None,
    "together": False,
    "spread": False,
    "loaners": True,
    "expected_s": 60.0,
    "snapshot_every_s": 0.0,
    "snapshot_s": 0.0,
    "due_s": None,
}
SETTINGS = """
node = "n0"
domain = "za"
api_addr = "127.0.0.1:{api}"
mesh_addr = "127.0.0.1:{mesh}"
[[known]]
node = "n1"
domain = "za"
endpoint = "127.0.0.1:{closed}"
[[known]]
node = "n2"
domain = "za"
endpoint = "127.0.0.1:{closed}"
[services]
cloud = "127.0.0.1:{closed}"
state = "127.0.0.1:{state}"
[params]
nodes = 3
zones = ["za"]
skew_ms = 250.0
{teams}
[params.workers]
report_s = 1.0
lease_s = 11.0
cancel_s = 36.0
[params.state]
rps = 150.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 16
[params.cloud]
rps = 2.0
list_lag_s = 8.0
[params.limits]
mem_mb = 98.0
"""


@dataclass
class Measurement:
    """What was measured in one start; times are in seconds from the start of the process, NaN if never reached."""

    healthy_s: float = float("nan")  # `GET /healthz` answers 200
    answered_s: float = float("nan")  # a poll of an active job answers 200
    recovering_s: float = float("nan")  # the teams' assignments are being read
    synced_s: float = float("nan")  # all active jobs are known
    processor_s: float = 0.0  # processor time until then
    peak_mb: float = 0.0  # most anonymous memory


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def _status(port: int, path: str) -> int | None:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1.0)
    with contextlib.suppress(OSError, http.client.HTTPException):
        connection.request("GET", path)
        return connection.getresponse().status
    return None


def _memory_mb(pid: int) -> float:
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


def _processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_start(
    checkout: Path, settings: Path, api_port: int, service: StateService, timeout_s: float
) -> Measurement:
    """Start a controller, watch it until it is ready, and kill it."""
    service.forget_requests()
    measurement = Measurement()
    log = settings.with_suffix(".log")
    started_at = time.monotonic()
    with log.open("wb") as stderr:
        process = subprocess.Popen(
            [sys.executable, "run.py", "--config", str(settings)],
            cwd=checkout,
            stderr=stderr,
            env=os.environ | {"LOG_LEVEL": "info"},
        )
    try:
        ends_at = started_at + timeout_s
        while time.monotonic() < ends_at and process.poll() is None:
            now_s = time.monotonic() - started_at
            measurement.peak_mb = max(measurement.peak_mb, _memory_mb(process.pid))
            if math.isnan(measurement.healthy_s) and _status(api_port, "/healthz") == 200:
                measurement.healthy_s = now_s
            if math.isnan(measurement.answered_s) and _status(api_port, "/work/req-active-0") == 200:
                measurement.answered_s = now_s
            if math.isnan(measurement.synced_s) and _is_synced(checkout, log, service):
                measurement.synced_s = now_s
                measurement.processor_s = _processor_s(process.pid)
            if "list live" in service.first_seen:
                measurement.recovering_s = service.first_seen["list live"] - started_at
                if not math.isnan(measurement.synced_s):
                    ends_at = min(ends_at, time.monotonic() + SETTLING_S)
            time.sleep(SAMPLE_INTERVAL_S)
    finally:
        process.kill()
        process.wait()
    return measurement


def _is_synced(checkout: Path, log: Path, service: StateService) -> bool:
    """Check whether all active jobs have been read; earlier versions don't log it, but watch only from then on."""
    if (checkout / "tealhook" / "state_store" / "scanning_watcher.py").exists():
        return b"job/: read" in log.read_bytes()
    return "watch job/" in service.first_seen


def measure(checkout: Path, ended_jobs: int, timeout_s: float) -> list[Measurement]:
    """Start a controller twice on the records of this many ended jobs and of some active ones."""
    active = {
        f"job/req-active-{number}": {"t": "team-0", "st": "active", "s": SPEC | {"name_id": f"req-active-{number}"}}
        | {"at": 1.7e9}
        for number in range(ACTIVE_JOBS)
    }
    service = StateService(ended_jobs, active)
    server = serve(service)
    with tempfile.TemporaryDirectory() as directory:
        api_port = _free_port()
        settings = Path(directory, "n0.toml")
        teams = "".join(f'[[params.teams]]\nname = "team-{n}"\ncpus = 80.0\ncpus_max = 128.0\n' for n in range(6))
        ports = {"api": api_port, "mesh": _free_port(), "closed": _free_port(), "state": server.server_port}
        settings.write_text(SETTINGS.format(**ports, teams=teams))
        measurements = [measure_start(checkout, settings, api_port, service, timeout_s) for _ in range(2)]
        status, _answer = service.handle("GET", "/store/" + ended_key(max(0, ended_jobs - 1)), {})
        assert status == 200 or not ended_jobs
    server.shutdown()
    return measurements


def main() -> None:
    """Print a table of the measurements."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--checkout", type=Path, default=ROOT, help="a built checkout; by default this one")
    parser.add_argument("--ended", type=int, nargs="+", default=[0, 10_000, 100_000, 1_000_000])
    parser.add_argument("--timeout", type=float, default=180.0, help="seconds after which a start is given up")
    arguments = parser.parse_args()
    print("| ended jobs | start | peak MB | healthy s | poll answered s | teams read s | all active s | processor s |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for ended_jobs in arguments.ended:
        measurements = measure(arguments.checkout.resolve(), ended_jobs, arguments.timeout)
        for start, m in zip(("first", "second"), measurements, strict=True):
            times = (m.healthy_s, m.answered_s, m.recovering_s, m.synced_s, m.processor_s)
            cells = [f"{ended_jobs:,}", start, f"{m.peak_mb:.0f}", *(f"{value:.1f}" for value in times)]
            print("| " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
