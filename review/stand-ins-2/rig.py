"""What the scripts of the second review share: engines, a coordinator, clients, and the start of the project's programs.

Only the standard library is used. Every address is a loopback address, and every port is a free one.
"""
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START = time.monotonic()


class CannotRun(Exception):
    """The case could not run: nothing is said about the rule."""


def now():
    """Seconds since the start of the script, on a clock that is not stepped."""
    return time.monotonic() - START


class Record:
    """record.txt in the folder of the case: what was sent, answered and run, in the order of time."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, text):
        with self.lock:
            self.file.write(f"{now():9.3f} {text}\n")
            self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def deploy_command(key):
    """The command of this key in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            name, _, value = line.partition("=")
            if name.strip() == key:
                return value.split('"')[1]
    raise CannotRun(f"deploy/balancer.toml has no '{key}'")


class Rig:
    """The processes and stand-ins of one run. Ends all of them when it is left."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.children = []
        self.temporary = tempfile.TemporaryDirectory(prefix="gaugestep-review-")
        self.folder = self.temporary.name

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for child in self.children:
            if child.poll() is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        os.kill(child.pid, number)
                    except ProcessLookupError:
                        pass
                child.wait()
        self.temporary.cleanup()

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        path = self.path(name)
        staged = path + ".new"
        with open(staged, "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(staged, path)
        return path

    def start(self, name, command, extra=None, shell=False, pass_fds=()):
        environment = {key: value for key, value in os.environ.items()
                       if not key.startswith(("EDGE_", "GAUGESTEP_"))}
        environment.update(extra or {})
        log = open(self.path(name + ".log"), "ab")
        arguments = ["/bin/sh", "-c", command] if shell else command
        child = subprocess.Popen(arguments, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                                 stderr=log, pass_fds=pass_fds)
        log.close()
        self.children.append(child)
        self.record.add(f"start {name} pid={child.pid}")
        return child

    def log(self, name):
        try:
            with open(self.path(name + ".log"), encoding="utf-8", errors="replace") as file:
                return file.read()
        except FileNotFoundError:
            return ""

    def start_proxy(self, name, config, extra=None, pass_fds=()):
        """Starts a proxy with the command of the deploy file. `config` is a path."""
        extra = {"EDGE_NAME": name, "EDGE_CONFIG": config, **(extra or {})}
        extra.setdefault("TMPDIR", self.folder)
        return self.start(name, deploy_command("run"), extra, shell=True, pass_fds=pass_fds)

    def signal(self, child, number, what):
        self.record.add(f"{signal.Signals(number).name} to {what} pid={child.pid}")
        os.kill(child.pid, number)


def wait_for(what, condition, seconds=20.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRun(f"not within {seconds} s: {what}")


class Client:
    """A client of the proxy with one session."""

    def __init__(self, address, seconds=20.0):
        self.socket = socket.create_connection(address, timeout=seconds)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = struct.pack("!I", 196608) + b"user\0app\0database\0dw\0\0"
        self.socket.sendall(struct.pack("!I", len(body) + 4) + body)
        self.key = b""
        self.buffer = b""
        answer = self.answer()
        if answer[0] != "ready":
            raise ConnectionError(f"no session: {answer}")

    def send(self, text):
        body = text.encode() + b"\0"
        self.socket.sendall(b"Q" + struct.pack("!I", len(body) + 4) + body)

    def _message(self):
        while True:
            if len(self.buffer) >= 5:
                length = struct.unpack("!I", self.buffer[1:5])[0] + 1
                if len(self.buffer) >= length:
                    kind, body = self.buffer[:1], self.buffer[5:length]
                    self.buffer = self.buffer[length:]
                    return kind, body
            read = self.socket.recv(65536)
            if not read:
                return None, b""
            self.buffer += read

    def answer(self):
        """Reads to ReadyForQuery or to the end of the connection. Returns a tuple: 'served' with the rows, 'refused'
        or 'failed' with the code and the text, 'empty', 'ready', or 'none' if the connection ended with no answer."""
        rows, complete, error, empty = [], False, None, False
        while True:
            try:
                kind, body = self._message()
            except socket.timeout:
                return ("none", "no answer in time")
            except OSError as failure:
                kind, body = None, str(failure).encode()
            if kind is None:
                if error:
                    return error
                return ("none", "the connection ended " + body.decode())
            if kind == b"D":
                rows.append(body)
            elif kind == b"C":
                complete = True
            elif kind == b"K":
                self.key = body
            elif kind == b"I":
                empty = True
            elif kind == b"E":
                fields = [field.decode() for field in body.split(b"\0") if field]
                values = {field[0]: field[1:] for field in fields}
                code = values.get("C", "")
                refused = (code.startswith("53") or code == "57P03") and not rows
                error = ("refused" if refused else "failed", code, values.get("M", ""))
            elif kind == b"Z":
                if error:
                    return error
                if complete:
                    return ("served", len(rows))
                return ("empty",) if empty else ("ready",)

    def ask(self, text):
        self.send(text)
        return self.answer()

    def close(self):
        self.socket.close()


def query(method, rid, budget_ms, extra="", statement="SELECT day, note, sum FROM sales_17.orders"):
    return f"/* method={method},rid={rid},budget={budget_ms}{extra} */ {statement}"


def wait_until_ready(address, child=None):
    """Waits until the proxy has answered an empty query."""
    def is_ready():
        if child is not None and child.poll() is not None:
            raise CannotRun(f"the proxy has ended with {child.returncode}")
        try:
            client = Client(address, 2.0)
            answer = client.ask("")
            client.close()
            return answer[0] == "empty"
        except OSError:
            return False
    wait_for("the proxy answers an empty query", is_ready)


class Engine:
    """An engine with the line protocol. `behave(engine, rid, fields, attempt)` is called for each request that has
    arrived whole, in a thread of its own, and returns one of
      ("serve", seconds)   run for so long, then answer HIT with one row
      ("shed", seconds)    answer SHED after so long: it did not run
      ("hang",)            never answer
      ("reset", seconds)   run, and reset the connection after so long
    A request that is cancelled before its end gets no answer."""

    def __init__(self, rig, name, behave, address="127.0.0.1"):
        self.rig, self.name, self.behave = rig, name, behave
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((address, 0))
        self.listener.listen(512)
        self.address = "%s:%d" % self.listener.getsockname()
        self.lock = threading.Lock()
        self.arrived = []  # (time, rid, fields)
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, locality, flavor="k", phase="SERVING", cell=0, up_since_ms=0):
        return {"id": self.name, "host_port": self.address, "locality": locality, "flavor": flavor, "cell": cell,
                "phase": phase, "size": 8, "up_since_ms": up_since_ms}

    def count(self, rid=None):
        with self.lock:
            return sum(1 for _, arrived, _ in self.arrived if rid is None or arrived == rid)

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        reader = connection.makefile("rb")
        write_lock, open_ids = threading.Lock(), {}

        def send(line, body=b""):
            with write_lock:
                try:
                    connection.sendall(line.encode() + b"\r\n" + body + b"\r\n")
                except OSError:
                    pass

        def run(rid, fields, token):
            what = self.behave(self, rid, fields, self.count(rid))
            if what[0] == "hang":
                return
            time.sleep(what[1])
            with write_lock:
                if open_ids.get(rid) is not token:
                    return
                del open_ids[rid]
            if what[0] == "reset":
                self.rig.record.add(f"engine {self.name} resets the connection under {rid}")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                try:
                    connection.shutdown(socket.SHUT_RD)
                except OSError:
                    pass
                reader.close()
                connection.close()
                return
            if what[0] == "shed":
                self.rig.record.add(f"engine {self.name} sheds {rid}")
                return send(f"{rid} SHED use=inflight:0;queue:0;x0:0.1 0")
            body = f"{rid}\t{self.name}\tpaid\n".encode()
            self.rig.record.add(f"engine {self.name} answers {rid}")
            fields = "total=1,elapsed=%.1f,rss=8,use=inflight:0;queue:0;x0:0.1" % (what[1] * 1e3)
            send(f"{rid} HIT {fields} {len(body)}", body)

        try:
            for line in reader:
                words = line.decode().split()
                if not words:
                    continue
                if words[0] == "serve":
                    reader.read(int(words[3]) + 2)
                    fields = dict(pair.split("=") for pair in words[2].split(",") if "=" in pair)
                    with self.lock:
                        self.arrived.append((now(), words[1], fields))
                    self.rig.record.add(f"engine {self.name} gets {words[1]} {words[2]}")
                    token = object()
                    with write_lock:
                        open_ids[words[1]] = token
                    threading.Thread(target=run, args=(words[1], fields, token), daemon=True).start()
                elif words[0] == "cancel":
                    self.rig.record.add(f"engine {self.name} is told to cancel {words[1]}")
                    with write_lock:
                        open_ids.pop(words[1], None)
                elif words[0] == "health":
                    send(f"{words[1]} PONG - 0")
        except (OSError, ValueError):
            pass


class Coordinator:
    """The coordinator: holds numbered events and tells them on open streams, with a comment each second."""

    def __init__(self, rig, last_index):
        self.rig, self.events, self.index = rig, [], last_index
        self.changed = threading.Condition()
        self.streams = 0
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def tell(self, members, complete=False):
        with self.changed:
            self.index += 1
            event = {"index": self.index, "endpoints": {"revision": self.index, "complete": complete,
                                                        "members": members}}
            self.events.append((self.index, event))
            self.rig.record.add(f"coordinator holds event {self.index}: "
                                + ", ".join(f"{m['id']} {m['phase']} {m['locality']}" for m in members))
            self.changed.notify_all()

    def _accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                read = connection.recv(4096)
                if not read:
                    return
                head += read
            told = 0
            for line in head.decode().split("\r\n"):
                name, _, value = line.partition(":")
                if name.lower() == "last-event-id":
                    told = int(value)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            with self.changed:
                self.streams += 1
            while True:
                with self.changed:
                    due = [(index, event) for index, event in self.events if index > told]
                    if not due:
                        self.changed.wait(1.0)
                        due = [(index, event) for index, event in self.events if index > told]
                text = ": alive\n\n"
                for index, event in due:
                    text += f"id: {index}\ndata: {json.dumps(event)}\n\n"
                    told = index
                connection.sendall(text.encode())
        except OSError:
            pass


def settings(classes, areas=("hall-a",), attempts=4, retries=0.2, dial_ms=250):
    """Settings of a small deployment: `classes` are dicts with name, effect and deadline_ms, and more if wanted."""
    services = [{"aim_ms": 800.0, "aim_stretch": 2.0, "importance": 1.0, "late_share": 0.3, "group": "all",
                 "streamed": False, "window_ms": 5000.0, **one} for one in classes]
    return {
        "areas": list(areas), "balancers": 1, "me": 0, "zone": 0, "tier": 0, "tiers": ["query"], "kinds": ["k"],
        "counted_by": "request", "discovery": "automatic", "family": "queries", "period_ms": 5.0,
        "family_info": {"class_threads": [1] * len(services), "lanes_count": True, "out_of_memory": "queue",
                        "progress_ms": 2000.0, "ram_of_kind_mb": [65536.0], "size_cores": [64],
                        "takes_grants": False, "tells_cost": True, "waits_for_loads": [False] * len(services),
                        "writes_tables": [False] * len(services)},
        "limits": {"cancelling": True, "conn_idle_ms": 30000.0, "dial_timeout_ms": dial_ms, "max_attempts": attempts,
                   "max_open": 20000, "max_retry_after_ms": 2000.0, "multiplex": 100, "peers": False,
                   "probes": False, "retry_after": True, "second_copies": False},
        "orgs": [{"name": "acme", "quota_per_s": 1000.0, "share": 1.0}], "over_share_worth": 0.1,
        "prices": {"cross_zone": 0.0},
        "rules": {"answer_slack_ms": 20.0, "budget_free": 5.0, "further_ratio": retries, "ratio_span_ms": 5000.0,
                  "drain_grace_ms": 250.0, "cold_share": 0.34, "warm_within_ms": 14000.0, "tip_multiple": 2.5,
                  "overload_for_ms": 3000.0},
        "services": services,
        "stats": {"fields": ["q", "rif", "x0"], "via": "piggyback"}, "weights": "nominal",
    }


def configuration(name, listen, members, wire_settings, coordinator=None, management=None):
    """A proxy's configuration, as JSON text. `members` are the entries of the first event."""
    config = {
        "name": name, "listen": listen, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"revision": 1, "complete": True,
                                                                     "members": members}}]},
        "settings": wire_settings,
    }
    if coordinator:
        config["coordinator"] = coordinator
    if management:
        config["management"] = management
    return json.dumps(config)


CONTROL = "target/release/gaugestep-control"


class ControlServer:
    """A control server of the project, with its own store."""

    def __init__(self, rig, name, extra=""):
        self.rig, self.name = rig, name
        self.listen, self.operators = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
        self.config = rig.write(name + ".textproto", f"""listen: "{self.listen}"
operators: "{self.operators}"
store: "{rig.path(name + '.redb')}"
{extra}
""")
        self.child = None

    def start(self):
        self.child = self.rig.start(self.name, [os.path.join(ROOT, CONTROL), "serve", "--config", self.config])


def command(rig, operators, *arguments, seconds=60.0, show=True):
    """Runs a command of the operators against the servers at these addresses. Returns exit code and output."""
    environment = {**os.environ, "GAUGESTEP_CONTROL": ",".join(operators), "USER": "review"}
    try:
        done = subprocess.run([os.path.join(ROOT, CONTROL), *arguments], cwd=ROOT, env=environment, timeout=seconds,
                              stdin=subprocess.DEVNULL, capture_output=True, text=True, check=False)
    except subprocess.TimeoutExpired:
        rig.record.add(f"operator: {' '.join(arguments)} -> no end within {seconds} s")
        return None, ""
    output = (done.stdout + done.stderr).strip()
    if show:
        rig.record.add(f"operator: {' '.join(arguments)} -> {done.returncode} {output.splitlines()[:1]}")
    return done.returncode, output


def main(folder, run):
    """Runs a case: `run(rig)` returns HELD or BROKEN. Ends the script with its exit code."""
    folder = os.path.dirname(os.path.abspath(folder))
    code = COULD_NOT_RUN
    with Rig(folder) as rig:
        rig.record.add(f"TROUBLE={1 if TROUBLE else 0}")
        try:
            code = run(rig)
        except (CannotRun, OSError) as failure:
            rig.record.add(f"could not run: {failure}")
            print(f"could not run: {failure}")
        rig.record.add(f"exit {code}")
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
