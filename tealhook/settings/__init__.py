"""Configuration of a controller: the platform's settings file and the operators' policy."""

from tealhook.settings.platform import Settings, SettingsError, load_settings
from tealhook.settings.policy import DEFAULT_POLICY, Policy, PolicyError, load_policy

__all__ = ["DEFAULT_POLICY", "Policy", "PolicyError", "Settings", "SettingsError", "load_policy", "load_settings"]
