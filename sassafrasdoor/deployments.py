"""A deployment of stand-ins on one machine, read from a folder in ``samples``.

``deployment.json`` lists zones, instances and backend servers; ``table.json`` is
the table, ``load.json`` the load profile.
"""

import asyncio
import json
import pathlib

from sassafrasdoor.cluster import Cluster
from sassafrasdoor.load import profile as profiles, run as runs
from sassafrasdoor.outcomes import Finding, Rejected

ANNOUNCE_INTERVAL = 5.0  # seconds between new versions of the weights


class Deployment:
    """The contents of a deployment's folder."""

    __slots__ = (
        "backends",
        "instances",
        "load",
        "models",
        "settings",
        "table",
        "zones",
    )

    def __init__(self, document, table, load):
        self.backends = document["backends"]
        self.instances = document["instances"]
        self.models = document["models"]
        self.settings = document["settings"]
        self.zones = document["zones"]
        self.table = table
        self.load = load


def read(folder):
    """Return the ``Deployment`` in a folder, or ``Rejected``."""
    folder = pathlib.Path(folder)
    load = profiles.load(folder / "load.json")
    if not load:
        return load
    try:
        document = json.loads((folder / "deployment.json").read_text("utf-8"))
        table = json.loads((folder / "table.json").read_text("utf-8"))
    except (OSError, ValueError) as error:
        return Rejected("deployment unreadable", [Finding(str(folder), str(error))])
    return Deployment(document, table, load)


async def run(deployment, print_progress):
    """Start the deployment, run its load and announce new weights meanwhile.

    Returns ``(caller results, summary)`` as ``load.run.run`` does.
    """
    async with Cluster(deployment.settings) as cluster:
        await start(cluster, deployment, print_progress)
        announcements = asyncio.ensure_future(
            _announce(cluster, deployment.models, print_progress)
        )
        try:
            addresses = [instance.address for instance in cluster.instances]
            return await runs.run(deployment.load, addresses)
        finally:
            announcements.cancel()


async def start(cluster, deployment, print_progress):
    """Start every process of the deployment and wait until all are ready."""
    cluster.start_platform()
    zones = deployment.zones
    for backend in deployment.backends:
        starters = {"engine": cluster.start_engine, "service": cluster.start_service}
        for number in range(backend["count"]):
            starters[backend["kind"]](
                f"{backend['service']}-{number + 1}",
                *backend["options"],
                service=backend["service"],
                zone=zones[number % len(zones)],
            )
    for model in deployment.models:
        await cluster.announce(model, 1)
    await cluster.propose(deployment.table)
    print_progress(f"starting {deployment.instances} instances in {len(zones)} zones")
    for number in range(deployment.instances):
        cluster.start_instance(f"entry-{number + 1}", zones[number % len(zones)])
    await cluster.wait_ready()
    print_progress("every instance is ready")


async def _announce(cluster, models, print_progress):
    version = 1
    while True:
        await asyncio.sleep(ANNOUNCE_INTERVAL)
        version += 1
        for model in models:
            await cluster.announce(model, version)
        print_progress(f"announced version {version} of {', '.join(models)}")
