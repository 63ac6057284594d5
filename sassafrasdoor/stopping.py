"""Lifecycle of a daemon: its ready line, stop signals and critical tasks."""

import asyncio
import contextlib
import json
import os
import signal
import sys
from functools import singledispatch

from tornado.iostream import IOStream

from sassafrasdoor import handshakes, logs
from sassafrasdoor.clock import remaining
from sassafrasdoor.decisions import note

FORCED_EXIT_CODE = 1
TASK_FAILURE_EXIT_CODE = 3
MIN_TIMER_DELAY = 0.001  # seconds
# Seconds in which handshakes that have begun are completed: some round trips.
HANDSHAKE_TIME = 0.005
# Seconds for the first request of a connection that was accepted last.
FIRST_REQUEST_TIME = 0.1


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


async def stop_listening(listeners):
    """Close listeners; return once the last requests of their callers were read.

    ``listeners`` are pairs of a server and its listening socket.

    The kernel completes connections before they are accepted, and resets them when the
    listener is closed. A caller that has sent its request would not know whether it ran.
    So no handshake begins any more before the last connections are accepted.
    """
    for _, sock in listeners:
        handshakes.drop_new(sock)
    await asyncio.sleep(HANDSHAKE_TIME)
    for server, sock in listeners:
        _accept_waiting(server, sock)
        server.stop()
    await asyncio.sleep(FIRST_REQUEST_TIME)


def _accept_waiting(server, sock):
    """Accept all connections that wait at a socket which does not block."""
    if server.ssl_options is not None:
        return  # Callers send nothing before the handshake.
    with contextlib.suppress(OSError):
        while True:
            connection, address = sock.accept()
            serve_accepted(server, connection, address)


@singledispatch
def serve_accepted(server, connection, address):
    """Serve a connection that was accepted at the socket of a Tornado ``HTTPServer``."""
    server.handle_stream(IOStream(connection), address)


async def cancel_all_tasks(deadline):
    """Cancel all tasks but the current one; return those that have not ended in time.

    ``asyncio.run`` waits without a bound for a task that swallows its cancellation.
    """
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    if tasks:
        _, tasks = await asyncio.wait(tasks, timeout=remaining(deadline))
    return tasks


def force_exit_at(deadline):
    """Exit at ``deadline`` even if the event loop is blocked by then."""
    signal.signal(signal.SIGALRM, _exit_now)
    # A delay of zero would disable the timer.
    signal.setitimer(signal.ITIMER_REAL, max(remaining(deadline), MIN_TIMER_DELAY))


def _exit_now(signum, frame):
    place = "" if frame is None else f"{frame.f_code.co_qualname}:{frame.f_lineno}"
    note("process.stop_overran", running=place)
    os._exit(0)


def run_and_exit(coroutine):
    """Run a coroutine to its end, then exit without the interpreter's own clean-up.

    Closing the event loop waits for every task and thread, and freeing the modules and
    the state took 0.13 s of a stop whose end is due.
    """
    with asyncio.Runner() as runner:
        runner.run(coroutine)
        os._exit(0)


def _end_if_failed(task):
    if task.cancelled() or task.exception() is None:
        return
    logs.changed("process:failed", reason=repr(task.exception()))
    sys.stdout.flush()
    os._exit(TASK_FAILURE_EXIT_CODE)
