"""The stream of the control servers: frames of four bytes with the length, and protobuf messages. Only what the cases
need of proto/gaugestep/config/v1 is encoded and decoded."""
import socket
import struct
import threading
import time


def varint(number):
    out = bytearray()
    while number > 0x7F:
        out.append(number & 0x7F | 0x80)
        number >>= 7
    out.append(number)
    return bytes(out)


def field(number, value):
    """One field of a message: a number, or bytes (a text or a message)."""
    if isinstance(value, int):
        return varint(number << 3) + varint(value)
    return varint(number << 3 | 2) + varint(len(value)) + value


def decode(data):
    """The fields of a message: number -> list of values (numbers, or bytes)."""
    fields, at = {}, 0

    def number():
        nonlocal at
        value, shift = 0, 0
        while True:
            byte = data[at]
            at += 1
            value |= (byte & 0x7F) << shift
            shift += 7
            if byte < 0x80:
                return value

    while at < len(data):
        key = number()
        kind = key & 7
        if kind == 0:
            value = number()
        elif kind == 2:
            length = number()
            value, at = data[at:at + length], at + length
        else:
            length = {1: 8, 5: 4}[kind]
            value, at = data[at:at + length], at + length
        fields.setdefault(key >> 3, []).append(value)
    return fields


class Stream:
    """A connection to a control server."""

    def __init__(self, address, timeout=2.0):
        host, port = address.split(":")
        self.socket = socket.create_connection((host, int(port)), timeout=timeout)

    def send(self, message):
        self.socket.sendall(struct.pack(">I", len(message)) + message)

    def receive(self):
        return decode(self.exactly(struct.unpack(">I", self.exactly(4))[0]))

    def exactly(self, length):
        data = b""
        while len(data) < length:
            part = self.socket.recv(length - len(data))
            if not part:
                raise ConnectionError("closed")
            data += part
        return data

    def close(self):
        self.socket.close()


REPLIES = {1: "error", 5: "fleet", 6: "owner", 7: "later"}


def status(address):
    """Calls `status` at one control server, without following a redirection. Returns when the call was sent, when it
    was answered, the kind of the answer, and its number: of the newest version (fleet) or of the holder (owner)."""
    sent_at = time.monotonic()
    try:
        stream = Stream(address)
        stream.send(field(4, field(5, b"")))
        reply = decode(stream.receive()[3][0])
        stream.close()
    except (OSError, KeyError, IndexError):
        return sent_at, time.monotonic(), "none", 0
    kind = next(iter(reply))
    content = decode(reply[kind][0]) if kind in (5, 6) else {}
    number = content.get(1 if kind == 5 else 2, [0])[0]
    return sent_at, time.monotonic(), REPLIES.get(kind, str(kind)), number


def subscribe(address, name):
    """Connects as a proxy that has no version and has seen no term. Returns the member that answers, the lease holder
    that it names with its term, and the number and the term of the version that it offers (0: none)."""
    stream = Stream(address, timeout=0.5)
    hello = field(1, 1) + field(2, name.encode()) + field(4, b"review") + field(6, abs(hash(name)) % 2**60 + 1)
    stream.send(field(1, hello))
    member = holder = holder_term = version = term = 0
    try:
        while not version:
            message = stream.receive()
            if 1 in message:
                welcome = decode(message[1][0])
                member = welcome.get(5, [0])[0]
                owner = decode(welcome[3][0]) if 3 in welcome else {}
                holder, holder_term = owner.get(2, [0])[0], owner.get(3, [0])[0]
                if holder != member:
                    break
            if 2 in message:
                offer = decode(message[2][0])
                version = decode(offer[1][0]).get(1, [0])[0]
                term = offer.get(6, [0])[0]
    except (OSError, KeyError, IndexError):
        pass
    stream.close()
    return member, holder, holder_term, version, term


class Relay:
    """Forwards TCP connections to `target`, with a delay for the bytes in both directions."""

    def __init__(self, target):
        self.target, self.delay = target, 0.0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            host, port = self.target().split(":")
            try:
                server = socket.create_connection((host, int(port)), timeout=2)
                server.settimeout(None)
            except OSError:
                client.close()
                continue
            for source, sink in ((client, server), (server, client)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.forward, args=(source, sink), daemon=True).start()

    def forward(self, source, sink):
        queue, ready = [], threading.Condition()

        def deliver():
            while True:
                with ready:
                    while not queue:
                        ready.wait()
                    due_at, data = queue.pop(0)
                time.sleep(max(0.0, due_at - time.monotonic()))
                try:
                    if not data:
                        sink.shutdown(socket.SHUT_WR)
                        return
                    sink.sendall(data)
                except OSError:
                    return

        threading.Thread(target=deliver, daemon=True).start()
        while True:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            with ready:
                queue.append((time.monotonic() + self.delay, data))
                ready.notify()
            if not data:
                return
