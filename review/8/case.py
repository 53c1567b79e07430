"""A new configuration drops the class with the longest deadline. Then a planned restart, while an engine hangs."""
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from rig import (BROKEN, HELD, TROUBLE, CannotRun, Client, Engine, Rig, configuration, free_port, main, query,
                 settings, wait_for, wait_until_ready)

LOOKUP = {"name": "lookup", "effect": "safe", "deadline_ms": 1000.0}
REPORT = {"name": "report", "effect": "safe", "deadline_ms": 20000.0}
# When requests are sent on open connections, in seconds after SIGTERM. All but the first two come later than 0.7 s.
SENT_AT = [0.10, 0.40, 0.74, 0.76, 0.78, 0.80]
# SIGKILL comes no sooner than the longest deadline (1 s) and 0.7 s after SIGTERM.
SIGKILL_AT = 1.72
LATE = 0.70


def run(rig: Rig):
    engine = Engine(rig, "s-1", lambda *_: ("hang",))
    listen = f"127.0.0.1:{free_port()}"
    address = (listen.split(":")[0], int(listen.split(":")[1]))
    members = [engine.entry("hall-a")]
    before = configuration("n0", listen, members, settings([LOOKUP, REPORT]))
    after = configuration("n0", listen, members, settings([LOOKUP]))
    path = rig.write("config.json", before if TROUBLE else after)
    proxy = rig.start_proxy("n0", path)
    wait_until_ready(address, proxy)
    time.sleep(1.5)
    if TROUBLE:
        rig.write("config.json", after)
        rig.signal(proxy, signal.SIGHUP, "n0")
        wait_for("the new configuration is applied", lambda: "configuration reloaded" in rig.log("n0"))
    time.sleep(1.5)

    clients = [Client(address) for _ in SENT_AT]
    results = {}
    restarted_at = time.monotonic()
    rig.signal(proxy, signal.SIGTERM, "n0")

    def ask(client, number, delay):
        rid = f"{0x100c000000000000 + number:016x}"
        time.sleep(max(0.0, restarted_at + delay - time.monotonic()))
        try:
            client.send(query("lookup", rid, 1000, ",est=20"))
        except OSError as failure:
            results[rid] = (None, None, ("unsent", str(failure)))
            return
        sent = time.monotonic() - restarted_at
        rig.record.add(f"client sends lookup {rid}, {sent:.3f} s after SIGTERM")
        answer = client.answer()
        answered = time.monotonic() - restarted_at
        rig.record.add(f"client gets {rid}: {answer}, {answered:.3f} s after SIGTERM")
        results[rid] = (sent, answered, answer)

    threads = [threading.Thread(target=ask, args=(client, number, delay), daemon=True)
               for number, (client, delay) in enumerate(zip(clients, SENT_AT))]
    for thread in threads:
        thread.start()
    while time.monotonic() - restarted_at < SIGKILL_AT and proxy.poll() is None:
        time.sleep(0.005)
    ended = proxy.poll()
    if ended is None:
        rig.signal(proxy, signal.SIGKILL, "n0")
    rig.record.add(f"the proxy ended by itself: {ended is not None}, {time.monotonic() - restarted_at:.3f} s after SIGTERM")
    for thread in threads:
        thread.join(10.0)
    if len(results) < len(SENT_AT):
        raise CannotRun("a client has no result")

    lost = []
    for rid, (sent, answered, answer) in results.items():
        if answer[0] != "none":
            continue
        arrived = engine.count(rid) > 0
        # A request that crosses the close of its session within 50 ms is not counted: the engine never had it.
        if arrived and (ended is not None or sent > LATE):
            lost.append(rid)
            rig.record.add(f"BROKEN: {rid} was sent {sent:.3f} s after SIGTERM, reached the engine, and had no answer"
                           f" when its connection ended {answered:.3f} s after SIGTERM")
    late = [rid for rid, (sent, _, _) in results.items() if sent and sent > LATE and engine.count(rid)]
    rig.record.add(f"{len(results)} requests, {len(late)} taken later than 0.7 s after SIGTERM, {len(lost)} lost")
    print(f"{len(results)} requests, {len(late)} taken later than 0.7 s after SIGTERM, {len(lost)} lost")
    if not late:
        raise CannotRun("no request was taken later than 0.7 s after SIGTERM")
    return BROKEN if lost else HELD


main(__file__, run)
