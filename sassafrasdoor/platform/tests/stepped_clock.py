"""Starts the program with a time of day that a file steps forward or back.

The file stands beside the settings, its name ends in ``STEP_SUFFIX`` and it holds the
seconds of the step; without it the time of day is the machine's. The monotonic clock
goes on as it does. Run as a module, in place of the program.
"""

import os
import runpy
import time

STEP_SUFFIX = ".step"
_machine_time = time.time


def stepped_time():
    """Return the time of day in seconds, stepped as the file says."""
    try:
        with open(os.environ["SASSAFRASDOOR_BOOT"] + STEP_SUFFIX) as file:
            return _machine_time() + float(file.read() or 0)
    except FileNotFoundError:
        return _machine_time()


if __name__ == "__main__":
    # Before anything of the program is imported: some modules keep the function.
    time.time = stepped_time
    runpy.run_module("sassafrasdoor.platform", run_name="__main__")
