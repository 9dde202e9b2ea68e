"""Measures the processor time of a process during a window."""

from __future__ import annotations

import threading
import time

import psutil


class ProcessorWindow:
    """Processor share of a process between two moments, all threads included.

    :param pid: the process
    :param begin_s: first moment, counted from :meth:`start`
    :param end_s: second moment
    """

    def __init__(self, pid: int, begin_s: float, end_s: float) -> None:
        self._process = psutil.Process(pid)
        self._begin_s = begin_s
        self._end_s = end_s
        self._thread = threading.Thread(target=self._measure, daemon=True)
        self.share = 0.0
        self.memory_bytes = 0

    def start(self) -> None:
        """Begin to count the time."""
        self._thread.start()

    def wait(self) -> float:
        """Wait for the end of the window; return the share, 1 for one whole core."""
        self._thread.join()
        return self.share

    def _measure(self) -> None:
        time.sleep(self._begin_s)
        begin_s, used_s = time.monotonic(), self._read_used_s()
        time.sleep(self._end_s - self._begin_s)
        elapsed_s = time.monotonic() - begin_s
        self.share = (self._read_used_s() - used_s) / elapsed_s
        self.memory_bytes = self._process.memory_info().rss

    def _read_used_s(self) -> float:
        times = self._process.cpu_times()
        return float(times.user + times.system)
