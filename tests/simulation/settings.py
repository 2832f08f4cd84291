"""Settings of a simulated cluster and the machine types that its cloud offers."""

from __future__ import annotations

from typing import Any


def settings_text(node: int, nodes: int, **overrides: Any) -> str:
    """Return the settings file of one of the nodes of a small deployment.

    Each team has `cpu_guarantee` and `cpu_limit`; `guarantee_objective` adds an objective for teams with a guarantee.
    """
    values = {
        "report_s": 1.0,
        "lease_s": 9.0,
        "cancel_s": 30.0,
        "cpu_limit": 24.0,
        "cpu_guarantee": 0.0,
        "write_rps": 40.0,
        "value_kb": 8.0,
        "mem_mb": 256.0,
        "guarantee_objective": True,
        "next_limits": {},
    } | overrides
    known = "".join(
        f'[[known]]\nnode = "n{i}"\ndomain = "za"\nendpoint = "10.0.0.{i + 1}:8081"\n'
        for i in range(nodes)
        if i != node
    )
    teams = "".join(
        f'[[params.teams]]\nname = "team-{i}"\ncpus = {values["cpu_guarantee"]}\ncpus_max = {values["cpu_limit"]}\n'
        for i in range(3)
    )
    if values["guarantee_objective"] and values["cpu_guarantee"]:
        teams += '[[params.objectives]]\nkind = "guarantee"\nwithin_s = 5.0\nshare = 0.8\n'
    next_limits = "[params.state.next]\n" if values["next_limits"] else ""
    next_limits += "".join(f"{name} = {value}\n" for name, value in values["next_limits"].items())
    return f"""
node = "n{node}"
domain = "za"
api_addr = "10.0.0.{node + 1}:8080"
mesh_addr = "10.0.0.{node + 1}:8081"
{known}
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
nodes = {nodes}
zones = ["za", "zb"]
skew_ms = 250.0
{teams}
[params.workers]
report_s = {values["report_s"]}
lease_s = {values["lease_s"]}
cancel_s = {values["cancel_s"]}
[params.state]
rps = 150.0
write_rps = {values["write_rps"]}
value_kb = {values["value_kb"]}
txn_ops = 16
{next_limits}
[params.cloud]
rps = 2.0
list_lag_s = 4.0
[params.limits]
mem_mb = {values["mem_mb"]}
"""


MACHINE_TYPES = [
    {
        "name": "small",
        "vcpus": 8,
        "cards": 0,
        "memory_gb": 32,
        "local_gb": 20,
        "pull_gb_per_s": 0.5,
        "hourly": 0.4,
        "spot_price": 0.15,
        "ready_s": 10,
        "yards": ["za", "zb"],
    },
    {
        "name": "large",
        "vcpus": 16,
        "cards": 0,
        "memory_gb": 64,
        "local_gb": 30,
        "pull_gb_per_s": 0.4,
        "hourly": 0.9,
        "spot_price": 0.35,
        "ready_s": 8,
        "yards": ["zb"],
    },
]
