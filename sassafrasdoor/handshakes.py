"""Keeps the kernel from completing new connections at a socket that still listens.

A classic BPF filter (Linux, ``socket(7)``) drops the SYN segments. Handshakes that have
begun are completed, and a caller whose SYN was dropped has sent no request: its system
sends the SYN again within a second, and is refused once the socket is closed.
"""

import contextlib
import ctypes
import socket
import sys

SO_ATTACH_FILTER = 26  # asm-generic/socket.h; the socket module does not have it
TCP_FLAGS_OFFSET = 13  # bytes, in the header that the filter gets first
SYN_FLAG = 0x02
LOAD_BYTE, JUMP_IF_ANY_BIT_SET, RETURN = 0x30, 0x45, 0x06  # linux/bpf_common.h
DROP, ACCEPT_WHOLE = 0, 0xFFFFFFFF  # the bytes of a segment that are kept


class _Instruction(ctypes.Structure):
    """``struct sock_filter``; jumps count the instructions to skip."""

    _fields_ = (
        ("code", ctypes.c_uint16),
        ("if_true", ctypes.c_uint8),
        ("if_false", ctypes.c_uint8),
        ("operand", ctypes.c_uint32),
    )


class _Program(ctypes.Structure):
    """``struct sock_fprog``."""

    _fields_ = (
        ("length", ctypes.c_uint16),
        ("instructions", ctypes.POINTER(_Instruction)),
    )


_INSTRUCTIONS = (
    _Instruction(LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    _Instruction(JUMP_IF_ANY_BIT_SET, 0, 1, SYN_FLAG),
    _Instruction(RETURN, 0, 0, DROP),
    _Instruction(RETURN, 0, 0, ACCEPT_WHOLE),
)


def drop_new(sock):
    """Drop the handshakes that callers begin at a listening TCP socket from now on.

    Does nothing on systems without such filters.
    """
    if sys.platform != "linux":
        return
    instructions = (_Instruction * len(_INSTRUCTIONS))(*_INSTRUCTIONS)
    program = _Program(len(_INSTRUCTIONS), instructions)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(program))
