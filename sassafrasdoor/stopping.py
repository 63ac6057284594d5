"""How a daemon says that it serves, and how it is asked to stop."""

import asyncio
import json
import os
import signal
import sys

from sassafrasdoor import logs

ENDED_AT_ONCE = 1
TASK_FAILED = 3


def say_ready(name, **addresses):
    """Print the ready line: the daemon serves at these ``host:port`` addresses."""
    print(json.dumps({"ready": True, "name": name, **addresses}), flush=True)


def planned_stop():
    """Return an event set by SIGTERM; a second SIGTERM ends the process at once."""
    stop = asyncio.Event()

    def asked():
        if stop.is_set():
            sys.exit(ENDED_AT_ONCE)
        stop.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked)
    return stop


def lasting(jobs):
    """Start tasks that run for as long as the process; return them.

    A daemon whose follower or membership task has died goes on serving an old
    view, and nothing shows it. So the failure of one ends the process: others
    notice that at once, and whoever starts daemons starts it anew.
    """
    tasks = [asyncio.ensure_future(job) for job in jobs]
    for task in tasks:
        task.add_done_callback(_end_if_failed)
    return tasks


def _end_if_failed(task):
    if task.cancelled() or task.exception() is None:
        return
    logs.changed("process:failed", reason=repr(task.exception()))
    sys.stdout.flush()
    os._exit(TASK_FAILED)
