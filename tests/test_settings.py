"""Settings file and policy language: valid input is accepted, invalid input is rejected with a one-line error."""

import subprocess
import sys
from pathlib import Path

import pytest

from tealhook.settings import DEFAULT_POLICY, PolicyError, SettingsError, load_policy
from tealhook.settings.platform import parse_settings
from tealhook.settings.policy import RULES, parse_policy
from tests.simulated_cluster import settings_text

ROOT = Path(__file__).resolve().parent.parent


def test_valid_settings_with_unknown_fields_are_accepted():
    settings = parse_settings("s.toml", "surprise = 1\n" + settings_text(0, 3))
    assert settings.peers == {"n1": "10.0.0.2:8081", "n2": "10.0.0.3:8081"}
    assert settings.team_names == ["team-0", "team-1", "team-2"]


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('api_addr = "10.0.0.1:8080"', 'api_addr = "nowhere"', "s.toml: api_addr: expected IPv4"),
        ("lease_s = 9.0", 'lease_s = "long"', "s.toml: params.workers.lease_s: Expected `float`, got `str`"),
        ("lease_s = 9.0", "lease_s = -1.0", "s.toml: params.workers.lease_s: expected a number above 0"),
        ("cancel_s = 30.0", "cancel_s = 5.0", "s.toml: params.workers.cancel_s: expected more than lease_s"),
        ("[params]", "[params", "s.toml: not TOML"),
        ('node = "n0"', "", "s.toml: (top): Object missing required field `node`"),
    ],
)
def test_invalid_settings_name_file_key_and_expectation(old, new, expected):
    with pytest.raises(SettingsError) as caught:
        parse_settings("s.toml", settings_text(0, 3).replace(old, new, 1))
    assert str(caught.value).startswith(expected) and "\n" not in str(caught.value)


def test_documented_default_policy_equals_built_in_policy():
    variables = {"mean": 70.0, "urgent": 10.0, "lease_s": 9.0, "boot_s": 30.0, "limit": 100.0, "guaranteed": 1.0}
    documented = load_policy(str(ROOT / "deploy" / "policy.conf"))
    built_in = parse_policy("printed", DEFAULT_POLICY)
    for name in RULES:
        values = {policy.evaluate(name, variables) for policy in (documented, built_in, load_policy(None))}
        assert len(values) == 1, name


def test_policy_values_stay_in_range():
    policy = parse_policy("p", "spot_share = 3 * used\nidle_return_s = 60 / used\nfence_s = 5 if used > 1 else 7")
    assert policy.evaluate("spot_share", {"used": 1.0}) == 1.0
    assert policy.evaluate("idle_return_s", {"used": 0.0}) == 0.0  # A division by zero gives the minimum.
    assert policy.evaluate("fence_s", {"used": 2.0}) == 5.0


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("ready_cpus = used +", "p:1:"),
        ("ready_cpus = used\n  fence_s = nothing", "p:2:13: fence_s: unknown name 'nothing'"),
        ("ready_cpus = open('x')", "p:1:14: ready_cpus: unknown function 'open'"),
        ("ready_cpus = used.real", "p:1:14: ready_cpus: not allowed"),
        ("ready_cpus = used > 1", "p:1:14: ready_cpus: expected a number"),
        ("ready_cpus = 1 if used else 2", "p:1:19: ready_cpus: expected a comparison"),
        ("ready_cpus = 9 ** 99", "p:1:19: ready_cpus: expected a constant power"),
        ("spot_share = 2", "p:1:14: spot_share: expected 0 to 1, got 2"),
        ("speed = 1", "p:1:1: unknown rule 'speed'"),
        ("fence_s = 1\nfence_s = 2", "p:2:1: rule 'fence_s' is set twice"),
        ("fence_s", "p:1:1: expected 'name = expression'"),
        ("fence_s = " + "1+" * 200 + "1", "p:1:11: fence_s: too long"),
    ],
)
def test_invalid_policy_names_line_and_column(text, expected):
    with pytest.raises(PolicyError) as caught:
        parse_policy("p", text)
    assert str(caught.value).startswith(expected)


def _run_tealhook(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "tealhook", *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
        check=False,
    )


def test_command_line_validates_settings_and_sets_exit_codes(tmp_path):
    valid, invalid = tmp_path / "good.toml", tmp_path / "bad.toml"
    valid.write_text(settings_text(0, 3))
    invalid.write_text(settings_text(0, 3).replace("rps = 150.0", "rps = 0.0", 1))
    assert _run_tealhook("check", "--config", str(valid)).returncode == 0
    rejected = _run_tealhook("serve", "--config", str(invalid))
    assert rejected.returncode == 2
    assert rejected.stderr == f"tealhook: {invalid}: params.state.rps: expected a number above 0, got 0.0\n"
    assert _run_tealhook("frobnicate").returncode == 2
    assert "serve" in _run_tealhook("--help").stdout
