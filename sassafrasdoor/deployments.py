"""A whole deployment of stand-ins on one machine, from a folder in ``samples``.

``deployment.json`` names zones, instances and backend servers; ``table.json``
is its table, ``load.json`` its load.
"""

import asyncio
import json
import pathlib

from sassafrasdoor.cluster import Cluster
from sassafrasdoor.load import profile as profiles, run as runs
from sassafrasdoor.outcomes import Finding, Rejected

NEW_WEIGHTS_EVERY = 5.0


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


async def run(deployment, say):
    """Start the deployment, run its load, announce weights meanwhile.

    Returns ``(caller results, summary)`` as ``load.run.run`` does.
    """
    async with Cluster(deployment.settings) as cluster:
        await start(cluster, deployment, say)
        announcing = asyncio.ensure_future(_announce(cluster, deployment.models, say))
        try:
            addresses = [one.address for one in cluster.instances]
            return await runs.run(deployment.load, addresses)
        finally:
            announcing.cancel()


async def start(cluster, deployment, say):
    """Start every process of the deployment and wait until all are ready."""
    cluster.start_platform()
    zones = deployment.zones
    for backend in deployment.backends:
        start = {"engine": cluster.start_engine, "service": cluster.start_service}
        for number in range(backend["count"]):
            start[backend["kind"]](
                f"{backend['service']}-{number + 1}",
                *backend["options"],
                service=backend["service"],
                zone=zones[number % len(zones)],
            )
    for model in deployment.models:
        await cluster.announce(model, 1)
    await cluster.propose(deployment.table)
    say(f"starting {deployment.instances} instances in {len(zones)} zones")
    for number in range(deployment.instances):
        cluster.start_instance(f"entry-{number + 1}", zones[number % len(zones)])
    await cluster.ready()
    say("every instance is ready")


async def _announce(cluster, models, say):
    version = 1
    while True:
        await asyncio.sleep(NEW_WEIGHTS_EVERY)
        version += 1
        for model in models:
            await cluster.announce(model, version)
        say(f"announced version {version} of {', '.join(models)}")
