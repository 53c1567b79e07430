"""A proxy is killed and started again while the engine of a route drains; the version that it acknowledged is gone."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-ins"))
from common import TROUBLE, CannotRun, Member, command, free_port, run_case, wait_until  # noqa: E402
from proxy import Client, Coordinator, Engine, Proxy, query  # noqa: E402

ROUTE = 'routes { name: "reports" classes: "payroll-report" targets { engine: "s-1" } }\n'


def steps(record, processes, temporary):
    def on_serve(engine, connection, identifier):
        time.sleep(0.05)
        engine.answer(connection, identifier, "HIT", "total=1,elapsed=50,rss=80,use=q:0;rif:1;x0:0.1", b"a\tb\tc\n")

    control = Member(1, temporary, record, processes)
    control.start()
    wait_until("the control server has its lease", lambda: command([control], "duties", quiet=True)[0] == 0)
    engines = [Engine(f"s-{number}", record, on_serve) for number in (1, 2)]
    coordinator = Coordinator(record)
    coordinator.tell([engine.entry() for engine in engines], complete=True)
    operator = os.path.join(temporary, "operator.textproto")
    with open(operator, "w", encoding="utf-8") as file:
        file.write(f'control {{ services: "{control.listen}" state: "{os.path.join(temporary, "state")}" }}\n')
    address = f"127.0.0.1:{free_port()}"

    def start(seed):
        """Starts the proxy as the platform does: the configuration holds the events of the start."""
        proxy = Proxy("n0", temporary, record, processes, address, seed, list(coordinator.events),
                      coordinator=coordinator.address, operator=operator)
        proxy.wait_until_ready()
        return proxy

    def in_force(proxy):
        return proxy.statistics()["configuration"]["version"]

    numbers = iter(range(1, 1000))

    def report(proxy_address, budget):
        """A payroll-report; returns the kinds of the messages of its answer, and its error."""
        client = Client(proxy_address)
        client.send(query("payroll-report", f"{next(numbers):016x}", budget))
        answer = client.read()
        record(f"client: payroll-report with {budget} ms: {answer}")
        client.socket.close()
        return answer

    proxy = start("8c1f30d27a5be964")
    wait_until("the proxy follows", lambda: proxy.statistics()["configuration"]["connected"])
    path = os.path.join(temporary, "route")
    with open(path, "w", encoding="utf-8") as file:
        file.write(ROUTE)
    code, output = command([control], "publish", path, "--hold", "1", record=record)
    if code != 0:
        raise CannotRun("the publication was not acknowledged")
    version = output["version"]
    wait_until("the proxy acknowledges it", lambda: any(
        entry["in_force"] == version for entry in command([control], "status", quiet=True)[1]["proxies"]))
    wait_until("the rollout is complete", lambda: command(
        [control], "watch", str(version), "--within", "1", record=record)[0] == 0)
    record(f"the proxy has acknowledged version {version}: payroll-report goes to s-1 only, and waits while s-1 drains")
    for _ in range(3):
        report(address, 4000)
    if len(engines[0].served) != 3 or engines[1].served:
        raise CannotRun("the route was not followed before the trouble")

    if TROUBLE:
        coordinator.tell([engines[0].entry("DRAINING")])
        # Without a restart the route holds: the request waits, and is refused before its time is up.
        report(address, 1500)
        if engines[1].served:
            raise CannotRun("the route was not followed while the engine drained")
    proxy.kill()
    proxy = start("51d0c3a9e2774b08")
    record(f"the proxy is started again; version in force: {in_force(proxy)}")
    lost = in_force(proxy) != version
    reports = [threading.Thread(target=report, args=(address, 4000)) for _ in range(3)]
    for thread in reports:
        thread.start()
    time.sleep(2)
    if TROUBLE:
        coordinator.tell([engines[0].entry("SERVING")])
    for thread in reports:
        thread.join()
    time.sleep(3)
    record(f"s-1 serves; version in force: {in_force(proxy)}")
    for _ in range(5):
        report(address, 4000)
    strays = len(engines[1].served)
    for words in ("list",), ("status",):
        command([control], *words, record=record)
    if lost:
        record(f"version {version}, which the proxy had acknowledged, was not in force after the restart")
    if strays:
        record(f"s-2 was sent {strays} payroll-reports that the version in force keeps from it")
    return not lost and not strays


run_case(FOLDER, steps)
