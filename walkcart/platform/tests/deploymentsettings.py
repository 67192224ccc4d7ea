"""Settings files as the platform writes them on its deployments, made from a seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.processmachine import (
    CALLERS_PORT,
    PEER_PORTS,
    READINESS_PORT,
)

#: Port for operators, on which this product doesn't listen.
CONTROL_PORT = 7005


@dataclass(frozen=True, slots=True)
class Deployment:
    """What differs between deployments.

    Args:
        name: name of the deployment.
        regions: region of each data centre.
        contact_ms: time after which a machine counts as in touch.
        budget_slack: repeats beyond the ratio.
    """

    name: str
    regions: dict[str, str]
    contact_ms: int
    budget_slack: int


DEPLOYMENTS = (
    Deployment(
        "faro-andino",
        {"andina-bog": "andina", "caribe-baq": "caribe", "pacifico-clo": "pacifico"},
        4000,
        56,
    ),
    Deployment(
        "swapline",
        {
            "hobart-derwent": "hobart",
            "launceston-tamar": "launceston",
            "burnie-emu": "burnie",
        },
        4000,
        54,
    ),
    Deployment(
        "trentside",
        {"notts-colwick": "notts", "brum-tyseley": "brum", "stoke-etruria": "stoke"},
        5000,
        52,
    ),
)


def make_deployment_settings(
    deployment: Deployment,
    name: str,
    ip: str,
    data_centre: str,
    store: HostPort,
    random: Random,
) -> str:
    """Return the text of a settings file, with bounds that vary by `random`."""
    zones = "\n".join(
        f'{zone} = "{region}"' for zone, region in deployment.regions.items()
    )
    bounds = {
        "seedLagS": 3,
        "addrReuseS": 2,
        "contactMs": deployment.contact_ms,
        "ackMs": deployment.contact_ms + 1000,
        "catchUpS": 4,
        "drainMs": random.choice((1500, 3000, 3000.0)),
        "graceS": random.choice((4, 6, 6.5, 10)),
        "lossSlackMs": 200,
        "configApplyMs": 3000,
        "downgradeSlackMs": 250,
        "maxStretchMs": 3 * deployment.contact_ms,
        "retryBudgetRatio": random.choice((0.1, 0.2, 1)),
        "retryWindowS": random.choice((5, 10, 12.5)),
        "budgetSlack": deployment.budget_slack,
        "recoverS": 12,
    }
    optional = {
        "warmupTolerance": 1.5,
        "warmupSlack": 5,
        "quotaWindowS": 5,
        "quotaTolerance": 0.1,
        "quotaSlack": 36,
        "newBound": "true",
    }
    bounds |= {key: value for key, value in optional.items() if random.random() < 0.5}
    lines = "\n".join(f"{key} = {value}" for key, value in bounds.items())
    return f"""nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{data_centre}"
region = "{deployment.regions[data_centre]}"
portRange = [{PEER_PORTS[0]},{PEER_PORTS[1]}]
seeds = ["{ip}:{CONTROL_PORT}"]
bootstrap = {random.choice(("true", "false"))}
lossCounts = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]

[zones]
{zones}

[listen]
front = "{ip}:{CALLERS_PORT}"
ready = "{ip}:{READINESS_PORT}"
control = "{ip}:{CONTROL_PORT}"

[limits]
cpuShare = {random.choice((0.25, 0.537, 1))}
cores = {random.choice((1, 2))}
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0

[faultTolerance]
machines = 2
zones = 0
regions = 0

[bounds]
{lines}

[platform]
address = "{store}"
form = "kv"
writesPerS = {random.choice((40, 400))}
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""
