"""Starts, watches and ends the processes of a run; each by its own pid."""

import os
import re
import signal
import subprocess
import time

STOP_TIMEOUT_S = 15
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def machine_times():
    """(all, idle, stolen) seconds of all cores since the start."""
    with open("/proc/stat", encoding="utf-8") as stat:
        fields = [int(f) / CLOCK_TICKS for f in stat.readline().split()[1:9]]
    return sum(fields), fields[3] + fields[4], fields[7]


class ProcessError(RuntimeError):
    """A process did not start, or ended when it should not have."""


class Process:
    """A child process with its output in a file."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.log_path = log_path
        with open(log_path, "wb") as log:
            self._child = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    @property
    def pid(self):
        return self._child.pid

    def wait_for_line(self, pattern, timeout_s):
        """Returns the match of the first line of output with the pattern."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            with open(self.log_path, encoding="utf-8", errors="replace") as log:
                found = re.search(pattern, log.read())
            if found:
                return found
            if self._child.poll() is not None:
                raise ProcessError(f"{self.name} ended: {self.log_tail()}")
            time.sleep(0.02)
        raise ProcessError(f"{self.name} wrote no line like {pattern!r}")

    def log_tail(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return "".join(log.readlines()[-5:]).strip()

    def running(self):
        return self._child.poll() is None

    def processor_seconds(self):
        """User and system time so far; 0 once the process has ended."""
        try:
            with open(f"/proc/{self.pid}/stat", encoding="utf-8") as stat:
                fields = stat.read().rsplit(")", 1)[1].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_bytes(self):
        """Resident memory; 0 once the process has ended."""
        try:
            with open(f"/proc/{self.pid}/statm", encoding="utf-8") as statm:
                pages = int(statm.read().split()[1])
        except OSError:
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE")

    def pause(self):
        self._child.send_signal(signal.SIGSTOP)

    def resume(self):
        self._child.send_signal(signal.SIGCONT)

    def wait(self, timeout_s):
        """The exit code; raises ProcessError if it does not end in time."""
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise ProcessError(f"{self.name} did not end") from error

    def stop(self):
        """Ends the process by SIGTERM, or SIGKILL if that takes too long."""
        if not self.running():
            return
        self.resume()
        self._child.terminate()
        try:
            self._child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._child.kill()
            self._child.wait()
