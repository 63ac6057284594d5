"""Runs a complete load: all its callers and trainers concurrently."""

import asyncio

from sassafrasdoor.curl import CurlClient
from sassafrasdoor.load import report
from sassafrasdoor.load.callers import CallerLoad
from sassafrasdoor.load.trainers import TrainerLoad

MAX_CLIENTS = 2000


async def run(profile, addresses, ca_file=""):
    """Run a ``Profile``, over TLS with a CA file; return ``(caller results, summary)``."""
    http = CurlClient(force_instance=True, max_clients=MAX_CLIENTS)
    callers = [
        CallerLoad(http, caller, addresses, profile.seed + number, ca_file)
        for number, caller in enumerate(profile.callers)
    ]
    trainers = [
        TrainerLoad(trainer, addresses, profile.seed + number, ca_file)
        for number, trainer in enumerate(profile.trainers)
    ]
    try:
        async with asyncio.TaskGroup() as tasks:
            for caller in callers:
                tasks.create_task(caller.run(profile.duration))
            trainer_tasks = [tasks.create_task(trainer.run()) for trainer in trainers]
    finally:
        http.close()
    results = [caller.result for caller in callers]
    summaries = [task.result() for task in trainer_tasks]
    return results, report.summary(results, summaries, profile.duration)
