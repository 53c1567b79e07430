"""Helpers of the review cases: records, processes, free addresses, and the control servers of a group.

Only the standard library is used. Every address is a loopback address.
"""
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROXY = os.path.join(ROOT, "target", "release", "gaugestep")
CONTROL = os.path.join(ROOT, "target", "release", "gaugestep-control")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case cannot be judged: a step outside the rule did not work."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_until(what, condition, seconds=15.0):
    end = time.monotonic() + seconds
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > end:
            raise CannotRun(f"within {seconds} s: not {what}")
        time.sleep(0.05)


class Processes:
    """All processes of a case; `end` kills those that still run."""

    def __init__(self, record):
        self.record = record
        self.running = []

    def start(self, name, command, log, **options):
        self.record(f"start {name}: {' '.join(os.path.basename(word) for word in command[:2])}")
        with open(log, "a", encoding="utf-8") as output:
            process = subprocess.Popen(command, stdout=output, stderr=output, cwd=ROOT, **options)
        self.running.append(process)
        return process

    def end(self):
        for process in self.running:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.running:
            process.wait()


def run_case(folder, steps):
    """Runs `steps(record, processes, temporary folder)`, which returns whether the rule held; exits."""
    record = Record(folder)
    processes = Processes(record)
    temporary = tempfile.mkdtemp(prefix="gaugestep-review-")
    record(f"trouble: {'on' if TROUBLE else 'off'}")
    try:
        for program in (PROXY, CONTROL):
            if not os.path.exists(program):
                raise CannotRun(f"{os.path.basename(program)} is not built")
        code = HELD if steps(record, processes, temporary) else BROKEN
        record("the rule held" if code == HELD else "THE RULE WAS BROKEN")
    except (CannotRun, OSError, ValueError, subprocess.SubprocessError) as error:
        record(f"the case cannot run: {type(error).__name__}: {error}")
        code = CANNOT_RUN
    finally:
        processes.end()
        shutil.rmtree(temporary, ignore_errors=True)
    print(f"{os.path.basename(folder)}: exit {code}")
    sys.exit(code)


class Member:
    """One control server of a group."""

    def __init__(self, number, folder, record, processes, listen_as=None):
        self.number, self.record, self.processes = number, record, processes
        self.folder = os.path.join(folder, f"member-{number}")
        os.mkdir(self.folder)
        self.listen = f"127.0.0.1:{free_port()}"
        self.operators = f"127.0.0.1:{free_port()}"
        self.listen_as = listen_as or self.listen
        self.store = os.path.join(self.folder, "versions.redb")
        self.seal = self.store + ".seal"
        self.log = os.path.join(self.folder, "log")
        self.process = None

    def start(self):
        config = os.path.join(self.folder, "control.textproto")
        joins = "true" if self.number > 1 else "false"
        with open(config, "w", encoding="utf-8") as file:
            file.write(
                f'listen: "{self.listen}"\noperators: "{self.operators}"\nstore: "{self.store}"\n'
                f'group {{ member: {self.number} joins: {joins} listen_as: "{self.listen_as}" }}\n'
            )
        command = [CONTROL, "serve", "--config", config]
        self.process = self.processes.start(f"member {self.number}", command, self.log)

    def kill(self):
        self.record(f"kill member {self.number}")
        self.process.kill()
        self.process.wait()

    def signal(self, number):
        self.process.send_signal(number)

    def ended(self):
        return self.process.poll() is not None

    def last_line(self):
        with open(self.log, encoding="utf-8", errors="replace") as file:
            lines = file.read().splitlines()
        return lines[-1] if lines else ""


def command(services, *words, quiet=False, record=None):
    """Runs an operator's command; returns its exit code, and its JSON output (or the text of its error)."""
    addresses = ",".join(member.operators for member in services)
    environment = {**os.environ, "GAUGESTEP_CONTROL": addresses}
    line = [CONTROL, "--json", *words]
    result = subprocess.run(line, capture_output=True, text=True, timeout=30, cwd=ROOT, env=environment)
    try:
        output = json.loads(result.stdout)
    except ValueError:
        output = (result.stdout + result.stderr).strip()
    if record and not quiet:
        shown = [os.path.basename(word) for word in words]
        numbers = ",".join(str(member.number) for member in services)
        record(f"operator at member {numbers}: {' '.join(shown)} -> exit {result.returncode}: {json.dumps(output)[:600]}")
    return result.returncode, output
