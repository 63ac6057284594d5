"""How a daemon says that it serves, and how it is asked to stop."""

import asyncio
import json
import signal
import sys

ENDED_AT_ONCE = 1


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
