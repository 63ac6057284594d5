"""Runs the program with a wall clock that a file steps forward or back.

The file is next to the settings file, with ``STEP_SUFFIX`` added to its name, and
contains the step in seconds; without it the wall clock is the machine's. The monotonic
clock is unchanged. Run as a module, in place of the program.
"""

import os
import runpy
import time

STEP_SUFFIX = ".step"
_machine_time = time.time


def stepped_time():
    """Return the wall-clock time in seconds, with the step from the file."""
    try:
        with open(os.environ["SASSAFRASDOOR_BOOT"] + STEP_SUFFIX) as file:
            return _machine_time() + float(file.read() or 0)
    except FileNotFoundError:
        return _machine_time()


if __name__ == "__main__":
    # Must precede all imports of the program, since some modules store the function.
    time.time = stepped_time
    runpy.run_module("sassafrasdoor.platform", run_name="__main__")
