"""Starts instances as local processes that use the stand-ins, for tests and the soak."""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys

from sassafrasdoor.platform import settings
from sassafrasdoor.support import ROOT

LOOPBACK = "127.0.0.1"
PROGRAM = "sassafrasdoor.platform"
FIRST_PORT, PORTS_PER_BLOCK, PORT_BLOCKS = 15000, 100, 150
SETTINGS_TEMPLATE = """
NodeName={name}
Zone=z
Region=r
Ip=127.0.0.1
Listen.Front={front}
Listen.Ready={ready}
Listen.Directory={directory}
Listen.Control={control}
Seeds={seeds}
Platform.Address={store}
Bounds.GraceS=5
Bounds.RequireFencing=true
Bounds.FailClosed=true
"""


def free_ports():
    """Yield unused ports below the system's ephemeral range.

    An instance keeps its addresses across restarts, so it cannot use ephemeral ports.
    Ports come from blocks that no other process takes: a block's first port stays bound
    as its lock while this process runs.
    """
    for number in range(os.getpid(), os.getpid() + PORT_BLOCKS):
        first = FIRST_PORT + number % PORT_BLOCKS * PORTS_PER_BLOCK
        with contextlib.closing(socket.socket()) as lock:
            try:
                lock.bind((LOOPBACK, first))
            except OSError:
                continue
            for port in range(first + 1, first + PORTS_PER_BLOCK):
                with contextlib.closing(socket.socket()) as sock:
                    if sock.connect_ex((LOOPBACK, port)):
                        yield port


PORTS = free_ports()


class LocalInstance:
    """One instance in a local process; it keeps its addresses across restarts.

    ``more`` are further lines of its settings file, ``arguments`` those of the program.
    """

    def __init__(self, folder, name, store, seeds=(), more="", arguments=()):
        self.name = name
        self._arguments = [str(argument) for argument in arguments]
        ports = [f"{LOOPBACK}:{next(PORTS)}" for _ in range(4)]
        self.front, self.ready, self.directory, self.control = ports
        self.settings_path = pathlib.Path(folder) / f"{name}.conf"
        fields = {"name": name, "store": store, "front": self.front}
        fields |= {"control": self.control, "seeds": ",".join(seeds)}
        text = SETTINGS_TEMPLATE.format(
            ready=self.ready, directory=self.directory, **fields
        )
        self.settings_path.write_text(text + more, "utf-8")
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self._log = self.log_path.open("ab")
        self.start()

    def start(self, module=PROGRAM):
        """Start the process; another ``module`` may do set-up and run the program."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", module, *self._arguments],
            cwd=ROOT,
            env={
                settings.PATH_VARIABLE: str(self.settings_path),
                "PATH": "",
                "MALLOC_MMAP_THRESHOLD_": "32768",
            },
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    @property
    def running(self):
        """Whether the process has not ended."""
        return self.process.poll() is None

    def signal(self, number):
        """Send a signal unless the process has ended."""
        if self.running:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process, even if it is stopped by SIGSTOP."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()

    def close(self):
        """End the process and close its log."""
        self.kill()
        self._log.close()
