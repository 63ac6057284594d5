"""Makes the C library's allocator return memory that is free to the system.

Without this a process keeps what a crowd of callers took. Does nothing with a C library
other than glibc.
"""

import ctypes

MMAP_THRESHOLD_OPTION = -3  # M_MMAP_THRESHOLD of malloc.h
# Bytes from which on a block is mapped by itself, and so returned when it is freed. By
# itself glibc raises this to the size of the largest block that was freed.
MMAP_THRESHOLD = 128 * 1024

_libc = ctypes.CDLL(None)


def map_large_blocks():
    """Map each large block by itself from now on."""
    if hasattr(_libc, "mallopt"):
        _libc.mallopt(MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD)


def trim():
    """Return the free pages between small blocks."""
    if hasattr(_libc, "malloc_trim"):
        _libc.malloc_trim(0)
