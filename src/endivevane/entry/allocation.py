"""Settings of the C library's memory allocation."""

from __future__ import annotations

import ctypes

# M_MMAP_THRESHOLD of mallopt(3).
_MMAP_THRESHOLD = -3
_THRESHOLD_BYTES = 64 * 1024


def return_large_blocks() -> None:
    """Let large blocks go back to the system as soon as they are freed.

    By default glibc raises the threshold with each freed block, so that bodies of
    requests leave gaps in the heap that the process keeps.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_MMAP_THRESHOLD, _THRESHOLD_BYTES)
