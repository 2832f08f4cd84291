"""Settings file that the platform provides (TOML), validated before the controller starts."""

from __future__ import annotations

import math
import re

import msgspec

from tealhook.errors import TealhookError

BYTES_PER_MB = 2**20


class SettingsError(TealhookError, ValueError):
    """An unreadable or invalid settings file; the message is one line with the file, the key and the problem."""

    def __init__(self, path: str, key: str | None, problem: str) -> None:
        """Initialize with the dotted `key` of the invalid value, or None if the file as a whole is invalid."""
        super().__init__(f"{path}: {key}: {problem}" if key is not None else f"{path}: {problem}")
        self.path = path
        self.key = key
        self.problem = problem


class Peer(msgspec.Struct):
    """Name, mesh address and zone of a controller of the cluster."""

    node: str
    endpoint: str
    domain: str = ""


class ServiceAddresses(msgspec.Struct):
    """Addresses of the cloud API and the state store."""

    cloud: str
    state: str


class Team(msgspec.Struct):
    """A team with its guaranteed CPUs and GPUs and its limits; a guarantee or limit of 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct):
    """A service objective, such as the time within which a share of the jobs of a class should finish."""

    kind: str
    class_: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerTimings(msgspec.Struct):
    """Heartbeat period of the workers, their lease, and the time within which a cancellation must take effect.

    The lease is the time for which a worker runs its tasks without an answered heartbeat. The controller does not use
    `gang_wait_s` and `gang_peer_s`.
    """

    report_s: float
    lease_s: float
    cancel_s: float
    gang_wait_s: float = 0.0
    gang_peer_s: float = 0.0


class NextStateLimits(msgspec.Struct):
    """Limits that the state store will enforce from an unannounced time on; an absent limit does not change."""

    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct):
    """Limits of the state store.

    Writes keep within `strictest`. Values read may be larger, since they can date from before a limit was lowered.
    """

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextStateLimits | None = None

    @property
    def strictest(self) -> StateLimits:
        """The lower of each present and future limit: writes within them are accepted before and after the change."""
        future = self.next or NextStateLimits()
        return StateLimits(
            self.rps,
            min(self.write_rps, future.write_rps or self.write_rps),
            min(self.value_kb, future.value_kb or self.value_kb),
            min(self.txn_ops, future.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct):
    """Request rate limit of the cloud API, and the maximum delay of its machine list."""

    rps: float
    list_lag_s: float


class ControllerLimits(msgspec.Struct):
    """Resources that one controller may use on its machine."""

    core_share: float = 1.0
    mem_mb: float = 256.0
    max_connections: int = 512

    def memory_bytes(self, share: float) -> float:
        """Return the bytes of a share of the controller's memory."""
        return self.mem_mb * BYTES_PER_MB * share


class ClusterParams(msgspec.Struct):
    """Parameters that all controllers of the cluster share."""

    workers: WorkerTimings
    state: StateLimits
    cloud: CloudLimits
    nodes: int = 1
    zones: list[str] = []
    skew_ms: float = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    limits: ControllerLimits = msgspec.field(default_factory=ControllerLimits)


class Settings(msgspec.Struct):
    """Contents of the settings file of one controller."""

    node: str
    api_addr: str
    mesh_addr: str
    services: ServiceAddresses
    params: ClusterParams
    domain: str = ""
    known: list[Peer] = []

    @property
    def peers(self) -> dict[str, str]:
        """The mesh addresses of all other controllers, by name."""
        return {peer.node: peer.endpoint for peer in self.known if peer.node != self.node}

    def completion_objectives(self) -> dict[str, list[float]]:
        """Return the times in seconds within which jobs of each class should finish, in ascending order."""
        times_s: dict[str, list[float]] = {}
        for objective in sorted(self.params.objectives, key=lambda objective: objective.within_s or 0.0):
            if objective.kind == "finished" and objective.class_ and objective.within_s:
                times_s.setdefault(objective.class_, []).append(objective.within_s)
        return times_s

    @property
    def team_names(self) -> list[str]:
        """The names of all teams, in the order of the file."""
        return [team.name for team in self.params.teams]


_ADDR = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})\Z")
_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}\Z")


def _check_addr(path: str, key: str, value: str) -> None:
    match = _ADDR.match(value)
    if not match or any(int(part) > 255 for part in match.groups()[:4]) or not 0 < int(match[5]) < 65536:
        raise SettingsError(path, key, f"expected IPv4 address and port such as '10.0.0.1:8080', got {value!r}")


def _check_positive(path: str, group: str, struct: msgspec.Struct, names: tuple[str, ...]) -> None:
    for name in names:
        value = getattr(struct, name)
        if not math.isfinite(value) or value <= 0:
            raise SettingsError(path, f"{group}.{name}", f"expected a number above 0, got {value}")


def _check_names(path: str, settings: Settings) -> None:
    params = settings.params
    names = [("node", settings.node)]
    names += [(f"known[{i}].node", peer.node) for i, peer in enumerate(settings.known)]
    names += [(f"params.teams[{i}].name", team.name) for i, team in enumerate(params.teams)]
    names += [(f"params.zones[{i}]", zone) for i, zone in enumerate(params.zones)]
    for key, value in names:
        if not _NAME.match(value):
            raise SettingsError(path, key, f"expected 1 to 64 letters, digits, '_', '.' or '-', got {value!r}")


def _check_state_limits(path: str, limits: StateLimits) -> None:
    """Check the present and future limits of the state store; a transaction must allow at least two operations."""
    groups: list[tuple[str, StateLimits | NextStateLimits]] = [("params.state", limits)]
    if limits.next is not None:
        given = tuple(name for name in ("write_rps", "value_kb", "txn_ops") if getattr(limits.next, name) is not None)
        _check_positive(path, "params.state.next", limits.next, given)
        groups.append(("params.state.next", limits.next))
    for group, state in groups:
        if state.txn_ops is not None and state.txn_ops < 2:
            raise SettingsError(path, f"{group}.txn_ops", f"expected at least 2, got {state.txn_ops}")


def _check_teams(path: str, teams: list[Team]) -> None:
    for i, team in enumerate(teams):
        for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            value = getattr(team, name)
            if not math.isfinite(value) or value < 0:
                raise SettingsError(path, f"params.teams[{i}].{name}", f"expected a number of at least 0, got {value}")


def _check_settings(path: str, settings: Settings) -> None:
    """Raise SettingsError for the first invalid value."""
    _check_addr(path, "api_addr", settings.api_addr)
    _check_addr(path, "mesh_addr", settings.mesh_addr)
    _check_addr(path, "services.cloud", settings.services.cloud)
    _check_addr(path, "services.state", settings.services.state)
    _check_names(path, settings)
    for i, peer in enumerate(settings.known):
        _check_addr(path, f"known[{i}].endpoint", peer.endpoint)
    params = settings.params
    _check_positive(path, "params.workers", params.workers, ("report_s", "lease_s", "cancel_s"))
    _check_positive(path, "params.state", params.state, ("rps", "write_rps", "value_kb", "txn_ops"))
    _check_positive(path, "params.cloud", params.cloud, ("rps", "list_lag_s"))
    _check_positive(path, "params.limits", params.limits, ("core_share", "mem_mb", "max_connections"))
    _check_state_limits(path, params.state)
    if params.workers.cancel_s <= params.workers.lease_s:
        raise SettingsError(
            path,
            "params.workers.cancel_s",
            f"expected more than lease_s ({params.workers.lease_s:g}), got {params.workers.cancel_s:g}",
        )
    _check_teams(path, params.teams)
    for key, names in (("teams", settings.team_names), ("zones", params.zones)):
        if len(set(names)) != len(names):
            raise SettingsError(path, f"params.{key}", f"expected each name once, got {', '.join(names)}")


def parse_settings(path: str, text: str) -> Settings:
    """Decode and validate the text of a settings file; `path` names the file in errors."""
    try:
        settings = msgspec.toml.decode(text.encode(), type=Settings)
    except msgspec.ValidationError as exc:
        message, _, json_path = str(exc).partition(" - at `$")
        key = json_path.rstrip("`").lstrip(".") or "(top)"
        raise SettingsError(path, key, message) from None
    except msgspec.DecodeError as exc:
        raise SettingsError(path, None, f"not TOML: {exc}") from None
    _check_settings(path, settings)
    return settings


def load_settings(path: str) -> Settings:
    """Read, decode and validate a settings file; raise SettingsError if it is unreadable or invalid."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(path, None, f"can't be read: {getattr(exc, 'strerror', None) or exc}") from None
    return parse_settings(path, text)
