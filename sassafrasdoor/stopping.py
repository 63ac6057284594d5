"""Lifecycle of a daemon: its ready line, stop signals and critical tasks."""

import asyncio
import json
import os
import signal
import sys

from sassafrasdoor import logs

FORCED_EXIT_CODE = 1
TASK_FAILURE_EXIT_CODE = 3


def print_ready_line(name, **addresses):
    """Print the ready line: the daemon serves at these ``host:port`` addresses."""
    print(json.dumps({"ready": True, "name": name, **addresses}), flush=True)


def install_stop_handler():
    """Return an event set by SIGTERM or SIGINT; a second one exits at once."""
    stop = asyncio.Event()

    def handle_signal():
        if stop.is_set():
            sys.exit(FORCED_EXIT_CODE)
        stop.set()

    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, handle_signal)
    return stop


def start_critical_tasks(coroutines):
    """Start tasks that run as long as the process; return them.

    A daemon whose follower or membership task has failed would continue to serve an
    old view unnoticed. So a failed task ends the process: other instances detect
    that at once, and the process manager restarts it.
    """
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    for task in tasks:
        task.add_done_callback(_end_if_failed)
    return tasks


def _end_if_failed(task):
    if task.cancelled() or task.exception() is None:
        return
    logs.changed("process:failed", reason=repr(task.exception()))
    sys.stdout.flush()
    os._exit(TASK_FAILURE_EXIT_CODE)
