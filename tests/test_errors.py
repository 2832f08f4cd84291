"""Errors have typed fields that agree with their one-line messages."""

import json

import pytest

from tealhook.errors import TealhookError
from tealhook.http import HttpError
from tealhook.settings import PolicyError, SettingsError
from tealhook.settings.platform import parse_settings
from tealhook.settings.policy import Position, parse_policy
from tealhook.wire.job_parser import InvalidJobError, parse_job
from tests.simulation.settings import settings_text


def test_settings_error_names_key():
    text = settings_text(0, 3).replace('api_addr = "', 'api_addr = "x', 1)
    with pytest.raises(SettingsError) as caught:
        parse_settings("settings.toml", text)
    error = caught.value
    assert (error.path, error.key) == ("settings.toml", "api_addr")
    assert str(error) == f"settings.toml: api_addr: {error.problem}"


def test_settings_error_about_whole_file_names_no_key():
    with pytest.raises(SettingsError) as caught:
        parse_settings("settings.toml", "[")
    assert caught.value.key is None and str(caught.value).startswith("settings.toml: not TOML: ")


def test_policy_error_names_position_and_rule():
    with pytest.raises(PolicyError) as caught:
        parse_policy("policy", "\n  feedback = 0.5 + nothing")
    error = caught.value
    assert (error.position, error.rule) == (Position("policy", 2, 20), "feedback")
    assert str(error) == f"policy:2:20: feedback: {error.problem}"


def test_malformed_submission_error_names_field_and_job():
    with pytest.raises(InvalidJobError) as caught:
        parse_job(json.dumps({"name_id": "req-000001", "lineup": 5}).encode())
    error = caught.value
    assert (error.field, error.job_id) == ("lineup", "req-000001")
    assert str(error) == f"lineup: {error.problem}"


def test_error_of_submission_without_id_names_no_job():
    with pytest.raises(InvalidJobError) as caught:
        parse_job(b"{}")
    assert caught.value.field == "name_id" and caught.value.job_id is None


def test_all_errors_share_one_base_class():
    assert all(issubclass(error, TealhookError) for error in (SettingsError, PolicyError, InvalidJobError, HttpError))
