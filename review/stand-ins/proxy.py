"""Stand-ins around a proxy: engines with the line protocol, clients, the configuration, and the proxy as a process."""
import json
import os
import re
import shlex
import socket
import struct
import threading
import time
import urllib.error
import urllib.request

from common import PROXY, ROOT, free_port, wait_until

# The settings of a small deployment: the classes, tenants, limits and rules of kalinaw-pasig.
SETTINGS = {
    "areas": ["pasig-dc"], "balancers": 1, "me": 0, "zone": 0, "counted_by": "request", "discovery": "automatic",
    "family": "queries", "kinds": ["node-8c", "node-16c"], "tier": 0, "tiers": ["payroll-query"],
    "weights": "nominal", "period_ms": 5.0, "over_share_worth": 0.1, "clients": {"marks_retry": False},
    "blend": {"whole": 0.4, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.3},
    "family_info": {
        "class_threads": [1, 2, 2], "lanes_count": True, "largest_share": 0.4, "out_of_memory": "queue",
        "progress_ms": 2000.0, "ram_of_kind_mb": [16384.0, 32768.0], "size_cores": [8, 16],
        "takes_grants": False, "tells_cost": True, "waits_for_loads": [False, False, False],
        "writes_tables": [False, False, True],
    },
    "limits": {
        "cancelling": True, "conn_idle_ms": 30000.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
        "dial_timeout_ms": 250.0, "max_attempts": 4, "max_open": 20000, "max_retry_after_ms": 2000.0,
        "multiplex": 100, "peers": False, "probes": False, "retry_after": True, "second_copies": False,
    },
    "orgs": [
        {"name": "luzon-north", "quota_per_s": 40.0, "share": 0.52},
        {"name": "visayas-central", "quota_per_s": 27.0, "share": 0.35},
        {"name": "mindanao-south", "quota_per_s": 10.0, "share": 0.13},
    ],
    "prices": {"late_fail": 0.03, "waste": 0.16, "cross_zone": 0.0},
    "rules": {
        "answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "budget_free": 5.0, "cold_share": 0.34,
        "drain_grace_ms": 250.0, "further_ratio": 0.2, "overload_for_ms": 3000.0, "ratio_span_ms": 5000.0,
        "tip_multiple": 2.5, "warm_within_ms": 14000.0,
    },
    "services": [
        {"aim_ms": 800.0, "aim_stretch": 2.0, "deadline_ms": 4000.0, "effect": "safe", "group": "all",
         "importance": 1.0, "late_share": 0.1, "name": "pay-lookup", "streamed": False, "window_ms": 5000.0},
        {"aim_ms": 3000.0, "aim_stretch": 2.5, "deadline_ms": 25000.0, "effect": "safe", "group": "all",
         "importance": 8.0, "late_share": 0.4, "name": "payroll-report", "streamed": False, "window_ms": 5000.0},
        {"aim_ms": 4000.0, "aim_stretch": 2.5, "deadline_ms": 25000.0, "effect": "unsafe", "group": "all",
         "importance": 8.0, "late_share": 0.5, "name": "payrun-load", "streamed": False, "window_ms": 5000.0},
    ],
    "stats": {"fields": ["q", "rif", "x0"], "via": "piggyback"},
}


class Engine:
    """An engine. `on_serve(engine, connection, id)` is called in a thread of its own for each attempt."""

    def __init__(self, name, record, on_serve):
        self.name, self.record, self.on_serve = name, record, on_serve
        self.served = []  # (time of the whole arrival, id)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self, phase="SERVING"):
        return {"id": self.name, "host_port": self.address, "locality": "pasig-dc", "flavor": "node-8c",
                "cell": 0, "phase": phase, "size": 8, "up_since_ms": 0}

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            for line in stream:
                words = line.decode().split()
                if words[0] == "serve":
                    body = stream.read(int(words[3]) + 2)[:-2].decode()
                    self.served.append((time.monotonic(), words[1]))
                    self.record(f"{self.name} <- serve {words[1]} {words[2]} [{body}]")
                    arguments = (self, connection, words[1])
                    threading.Thread(target=self.on_serve, args=arguments, daemon=True).start()
                elif words[0] == "health":
                    self.answer(connection, words[1], "PONG", "-", b"")
                else:
                    self.record(f"{self.name} <- {line.decode().strip()}")
        except (OSError, ValueError):
            pass
        self.record(f"{self.name}: a connection has ended")

    def answer(self, connection, identifier, word, fields, body):
        if word != "PONG":
            self.record(f"{self.name} -> {identifier} {word} {fields}")
        try:
            connection.sendall(f"{identifier} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")
        except OSError:
            self.record(f"{self.name}: the answer finds its connection closed")


class Coordinator:
    """The coordinator: holds the numbered events of the list, and streams them to each proxy that asks."""

    def __init__(self, record):
        self.record, self.events, self.changed = record, [], threading.Condition()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def tell(self, entries, complete=False):
        with self.changed:
            index = len(self.events) + 1
            self.events.append({"index": index, "endpoints": {
                "revision": index, "complete": complete, "members": entries}})
            self.changed.notify_all()
        self.record("coordinator: " + ", ".join(f"{entry['id']} {entry['phase']}" for entry in entries))

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                head += connection.recv(4096)
            told = int(re.search(rb"(?i)last-event-id: *(\d+)", head).group(1))
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while True:
                with self.changed:
                    if len(self.events) <= told:
                        self.changed.wait(1)
                    events = self.events[told:]
                for event in events:
                    connection.sendall(f"id: {event['index']}\ndata: {json.dumps(event)}\n\n".encode())
                    told = event["index"]
                if not events:
                    connection.sendall(b": nothing new\n\n")
        except OSError:
            pass


def first_list(engines):
    """The events of a start: the whole list."""
    return [{"index": 1, "endpoints": {
        "revision": 1, "complete": True, "members": [engine.entry() for engine in engines]}}]


class Client:
    """A client with one session."""

    def __init__(self, address):
        host, port = address.split(":")
        self.address = (host, int(port))
        self.socket = socket.create_connection(self.address, timeout=20)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = b"\0\x03\0\0user\0app\0database\0dw\0\0"
        self.socket.sendall(struct.pack(">I", len(body) + 4) + body)
        self.read()

    def send(self, text):
        body = text.encode() + b"\0"
        self.socket.sendall(b"Q" + struct.pack(">I", len(body) + 4) + body)

    def read(self):
        """Reads up to ReadyForQuery; returns the kinds of the messages, and the code of an error."""
        kinds, code = "", None
        while True:
            head = self.exactly(5)
            body = self.exactly(struct.unpack(">I", head[1:])[0] - 4)
            kind = head[:1].decode()
            if kind == "Z":
                return kinds, code
            if kind == "E":
                fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
                code = fields[b"C"] + " " + fields[b"M"]
            kinds += kind

    def exactly(self, length):
        data = b""
        while len(data) < length:
            part = self.socket.recv(length - len(data))
            if not part:
                raise ConnectionError("the session was closed")
            data += part
        return data


def query(name, identifier, budget, tenant="luzon-north"):
    verb = "INSERT INTO sales_17.orders SELECT * FROM staging.orders" if name == "payrun-load" else \
        "SELECT day, count(*), max(note) FROM sales_17.orders GROUP BY day"
    return f"/* method={name},rid={identifier},budget={budget},acct={tenant},est=2000.0,space=96 */ {verb}"


def run_command():
    """The command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        line = re.search(r'^run = "([^"]*)"', file.read(), re.MULTILINE)
    words = shlex.split(line.group(1))
    assert os.path.join(ROOT, words[1]) == PROXY, words
    return line.group(1)


class Proxy:
    """One process of the proxy, started with `run` of the deploy file. `operator` is the operators' file."""

    def __init__(self, name, folder, record, processes, address, seed, known, coordinator=None, operator=None):
        self.record, self.management = record, f"127.0.0.1:{free_port()}"
        self.config = os.path.join(folder, f"{name}.json")
        config = {
            "name": "n0", "listen": address, "management": self.management, "seed": seed,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": SETTINGS,
            "known": {"index": known[-1]["index"], "updates": known},
        }
        if coordinator:
            config["coordinator"] = coordinator
        with open(self.config, "w", encoding="utf-8") as file:
            json.dump(config, file)
        environment = {**os.environ, "EDGE_NAME": "n0", "EDGE_LISTEN": address, "EDGE_CONFIG": self.config,
                       "EDGE_MANAGEMENT": self.management, "TMPDIR": folder,
                       "GAUGESTEP_LOG": "gaugestep=debug"}
        if operator:
            environment["GAUGESTEP_OPERATOR"] = operator
        command = ["/bin/sh", "-c", run_command()]
        self.log = os.path.join(folder, f"{name}.log")
        self.process = processes.start(f"proxy {name}", command, self.log, env=environment)

    def readiness(self):
        try:
            with urllib.request.urlopen(f"http://{self.management}/ops/readiness", timeout=1) as answer:
                return answer.status
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return 0

    def statistics(self):
        with urllib.request.urlopen(f"http://{self.management}/ops/stats", timeout=2) as answer:
            return json.load(answer)

    def wait_until_ready(self):
        wait_until("the proxy is ready", lambda: self.readiness() == 200)

    def kill(self):
        self.record("kill the proxy")
        self.process.kill()
        self.process.wait()
