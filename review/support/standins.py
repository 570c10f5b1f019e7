"""Stand-ins of the users' platform for the cases of this review.

Only the Python standard library is used. The store, the engines and the clients
follow PROTOCOL.md. The program under test is started as deploy/system.toml says,
with the settings template deploy/edge.toml.in filled in for a small deployment.
Every address is a loopback address.
"""
import base64
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.2
BOUNDS = {
    "RevokeMs": 5000, "DrainMs": 2000, "ConfigApplyMs": 2000, "GraceS": 8,
    "LeaseMs": 3000, "RetryBudgetRatio": 0.2, "BudgetExtra": 116,
    "FailClosed": "true",
}
CONTACT_S = 3.0

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt: what was sent, answered and run, with times in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 1024

    def handle_error(self, request, client_address):
        pass


class Store:
    """The platform's store: topics of one partition, newest record of each key."""

    def __init__(self, ip):
        self.lock = threading.Condition()
        self.topics = {}
        self.era = 0
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def reply(self, status, body, kind="application/json"):
                self.send_response_only(status)
                self.send_header("Content-Type", kind)
                self.send_header("Store-Era", str(store.era))
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_GET(self):
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                if store.is_down(url.path, query.get("Topic")):
                    self.reply(503, b"{}")
                elif url.path == "/mangoport/log-read":
                    self.reply(*store.read(query))
                elif url.path == "/mangoport/log-newest":
                    self.reply(200, store.newest(query))
                else:
                    self.reply(404, b"{}")

            def do_POST(self):
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if store.is_down(url.path, query.get("Topic")):
                    self.reply(503, b"{}")
                elif url.path == "/mangoport/log-append":
                    self.reply(*store.append(query, body))
                else:
                    self.reply(404, b"{}")

        self.down_topics = set()
        self.server = QuietServer((ip, 0), Handler)
        self.address = f"{ip}:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def copy(self):
        """A copy of all topics, from which the store may come back."""
        with self.lock:
            return {name: (list(records), dict(newest))
                    for name, (records, newest) in self.topics.items()}

    def come_back_from(self, copy):
        with self.lock:
            self.topics = copy
            self.era += 1
            self.lock.notify_all()

    def is_down(self, path, topic):
        return topic in self.down_topics

    def put(self, topic, key, value):
        """A write of the operator or of an engine; no value drops the key."""
        text = b"" if value is None else json.dumps(value).encode()
        with self.lock:
            self.add(topic, key, text)
            self.lock.notify_all()

    def add(self, topic, key, text):
        records, newest = self.topics.setdefault(topic, ([], {}))
        records.append((key, text))
        newest.pop(key, None)
        if text:
            newest[key] = (text, len(records) - 1)

    def append(self, query, body):
        with self.lock:
            records, _ = self.topics.setdefault(query["Topic"], ([], {}))
            if "At" in query and int(query["At"]) != len(records):
                return 412, json.dumps({"End": len(records)}).encode()
            first = len(records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                record, body = body[4:4 + size], body[4 + size:]
                n = record[0]
                self.add(query["Topic"], record[1:1 + n].decode(), record[1 + n:])
            self.lock.notify_all()
            return 200, json.dumps({"Offset": first, "End": len(records)}).encode()

    def read(self, query):
        start = int(query["From"])
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        with self.lock:
            records, _ = self.topics.setdefault(query["Topic"], ([], {}))
            if start > len(records):
                return 410, b'{"First":0}'
            while start == len(records) and time.monotonic() < until:
                self.lock.wait(until - time.monotonic())
            out = struct.pack(">QQ", len(records), 0)
            for key, text in records[start:]:
                record = bytes([len(key)]) + key.encode() + text
                out += struct.pack(">I", len(record)) + record
            return 200, out, "application/octet-stream"

    def newest(self, query):
        with self.lock:
            records, newest = self.topics.setdefault(query["Topic"], ([], {}))
            items = [{"Key": k, "Value": base64.b64encode(t).decode(), "Offset": o}
                     for k, (t, o) in sorted(newest.items())]
            return json.dumps({"items": items, "Truncated": False,
                               "End": len(records)}).encode()


class Run:
    """A request as an engine received it."""

    def __init__(self, method, target, headers, body, connection):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.connection = connection
        self.id = headers.get("x-attempt-id", "")

    def answer(self, status, body, more=None):
        fields = {"Content-Length": str(len(body))}
        if self.id:
            fields["X-Attempt-Id"] = self.id
        fields.update(more or {})
        head = f"HTTP/1.1 {status} Status\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        self.connection.sendall(head.encode() + b"\r\n" + body)


class Engine:
    """A backend server; `serve` is called with each request that it runs."""

    def __init__(self, store, ip, id, service, zone="z1", slots=8, models=None,
                 record=None, port=0):
        self.store, self.ip, self.id, self.service = store, ip, id, service
        self.zone, self.slots, self.models = zone, slots, models
        self.record = record
        self.state = "ready"
        self.beats = 0
        self.serve = lambda run: run.answer(200, b"body of " + run.id.encode(),
                                            {"X-Server-Seal": self.id})
        self.connections = set()
        self.lock = threading.RLock()
        self.up = False
        self.port = port
        self.begin()
        threading.Thread(target=self.beat, daemon=True).start()

    def begin(self):
        """Starts the process of the engine."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.ip, self.port))
        listener.listen(512)
        self.port = listener.getsockname()[1]
        self.listener = listener
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.up = True
        threading.Thread(target=self.accept, args=(listener,), daemon=True).start()
        self.heartbeat()

    def crash(self):
        """The process ends at once; its connections are reset."""
        with self.lock:
            if not self.up:
                return
            self.up = False
            # An accept() that waits keeps the port; this wakes it.
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            for it in list(self.connections):
                reset(it)
            self.connections.clear()

    def signals(self):
        """What an engine that leaves says in all its answers."""
        return {"Server-Leaving": "1"} if self.state == "draining" else {}

    def entry(self):
        out = {"Service": self.service, "Addr": f"{self.ip}:{self.port}",
               "Zone": self.zone, "Version": "v1", "Slots": self.slots,
               "State": self.state, "ColdLeftMs": 0, "Seq": self.beats,
               "born": self.born}
        if self.models is not None:
            out["Models"] = self.models()
        return out

    def heartbeat(self):
        if not self.up:
            return
        self.beats += 1
        self.beat_at = time.monotonic()
        self.store.put("keyed.servers", self.id, self.entry())

    def beat(self):
        while True:
            wait = self.beat_at + HEARTBEAT_S - time.monotonic()
            if wait > 0:
                time.sleep(wait)
                continue
            self.beat_at = time.monotonic()
            self.heartbeat()

    def accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.talk, args=(connection,),
                             daemon=True).start()

    def talk(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                line = stream.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (field := stream.readline().strip()):
                    name, value = field.decode().split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                body = stream.read(int(headers.get("content-length", 0)))
                self.handle(Run(method, target, headers, body, connection))
        except (OSError, ValueError):
            pass
        with self.lock:
            self.connections.discard(connection)
        try:
            connection.close()
        except OSError:
            pass

    def handle(self, run):
        expected = run.headers.get("x-expect-instance")
        if expected and expected != self.id:
            run.answer(421, b"", {"X-Not-Executed": "1", **self.signals()})
            return
        self.serve(run)


class ModelEngine(Engine):
    """An engine that carries out orders and serves streams of five events."""

    ADAPTER_LOAD_S = 0.008

    def __init__(self, store, ip, id, service, capacity, holds=(), **more):
        self.capacity = capacity
        self.specs = {it["Name"]: it for it in capacity["Models"]}
        self.start_models = list(holds)
        self.held = {}
        self.seq = 0
        self.busy = False
        self.overloaded = []
        self.runs = []
        self.in_use = {}
        super().__init__(store, ip, id, service, models=self.listed, **more)
        self.serve = self.serve_model_call

    def begin(self):
        self.held = {it: [] for it in self.start_models}
        self.seq = 0
        self.busy = False
        super().begin()

    def listed(self):
        return [{"Name": name, "Version": 1, "Adapters": sorted(adapters)}
                for name, adapters in self.held.items()]

    def serve_model_call(self, run):
        if run.target == "/mangoport/report":
            run.answer(200, json.dumps(self.report()).encode(),
                       {"Content-Type": "application/json", **self.signals()})
        elif run.target == "/mangoport/order":
            status = self.take_order(json.loads(run.body))
            if status is not None:
                run.answer(status, b"{}", {"Content-Type": "application/json",
                                           **self.signals()})
        else:
            self.stream(run)

    def report(self):
        with self.lock:
            return {"Phase": "mixed", "Models": self.listed(), "Busy": self.busy,
                    "Seq": self.seq, "Queued": 0, "Active": 0, "KvUsed": 0,
                    "KvTotal": 90000, "Handles": 0, "born": self.born}

    def take_order(self, order):
        with self.lock:
            if "Expect" in order and order["Expect"] != self.seq:
                return self.note(order, 409)
            model, adapter = order["Model"], order.get("Adapter")
            held = self.held.get(model)
            if order["Op"] == "unload":
                if adapter and self.in_use.get(f"{model}/{adapter}"):
                    return self.note(order, 409)
                if adapter and held and adapter in held:
                    held.remove(adapter)
                elif not adapter and held is not None:
                    del self.held[model]
                self.seq += 1
                return self.note(order, 200 if adapter else 202)
            if (adapter in held) if adapter and held is not None else \
                    (not adapter and held is not None):
                return self.note(order, 200)
            if adapter and held is None:
                return self.note(order, 400)
            self.seq += 1
            if adapter:
                held.append(adapter)
                slots = sum(len(it) for it in self.held.values())
                if slots > self.capacity["AdapterSlots"]:
                    self.overloaded.append(
                        f"{slots} adapters in {self.capacity['AdapterSlots']} places")
            else:
                self.held[model] = []
                weights = sum(self.specs[it]["WeightsMb"] for it in self.held)
                if weights > self.capacity["WeightsMb"]:
                    self.overloaded.append(
                        f"{weights} MB of weights in {self.capacity['WeightsMb']}")
            status = self.note(order, 202)
        if self.overloaded:
            self.record.write(f"engine {self.id} crashes: {self.overloaded[-1]}")
            self.crash()
            return None
        return status

    def note(self, order, status):
        self.record.write(f"engine {self.id} order {order['Op']} {order['Model']}"
                          f"{'/' + order['Adapter'] if 'Adapter' in order else ''} "
                          f"Expect={order.get('Expect')} by {order['Holder']} "
                          f"Fence={order['Fence']}: {status}, Seq now {self.seq}")
        return status

    def holds(self, name):
        model, _, adapter = name.partition("/")
        return model in self.held and (not adapter or adapter in self.held[model])

    def stream(self, run, events=5):
        name = run.headers.get("x-model", "")
        with self.lock:
            held = self.holds(name)
            if held:
                self.in_use[name] = self.in_use.get(name, 0) + 1
        if not held:
            run.answer(421, b"", {"X-Not-Executed": "1", **self.signals()})
            return
        try:
            self.write_events(run, events)
        finally:
            with self.lock:
                self.in_use[name] -= 1

    def write_events(self, run, events):
        self.runs.append((self.record.now(), run.id, self.state))
        head = (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {run.id}\r\n"
                f"X-Server-Seal: {self.id}\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n")
        for name, value in self.signals().items():
            head += f"{name}: {value}\r\n"
        run.connection.sendall(head.encode() + b"\r\n")
        first = int(run.headers.get("last-event-id", 0)) + 1
        for i in range(first, events + 1):
            event = f"id: {i}\ndata: token-{i}-of-{run.id}\n\n".encode()
            run.connection.sendall(b"%x\r\n" % len(event) + event + b"\r\n")
            time.sleep(0.01)
        run.connection.sendall(b"0\r\n\r\n")


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
        # Another thread may hold a file of this socket open.
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    try:
        os.close(connection.detach())
    except OSError:
        pass


def free_port(ip):
    for _ in range(200):
        port = random.randint(12000, 31000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as it:
                    it.bind((ip, port))
            return port
        except OSError:
            continue
    raise RuntimeError("no free port")


def fill_in(template, fields):
    def value(match):
        out = fields
        for name in match.group(1).split("."):
            out = out[int(name)] if isinstance(out, list) else out[name]
        return str(out)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)


class Host:
    """A process of the program, as deploy/system.toml starts it."""

    def __init__(self, deployment, name, ip, zone):
        self.name, self.ip, self.zone = name, ip, zone
        self.folder = deployment.folder
        self.record = deployment.record
        self.callers, self.ready = free_port(ip), free_port(ip)
        with open(os.path.join(ROOT, "deploy", "edge.toml.in")) as file:
            template = file.read()
        fields = {
            "NodeName": name, "Zone": zone, "Ip": ip,
            "Listen": {"Front": f"{ip}:{self.callers}",
                       "Ready": f"{ip}:{self.ready}"},
            "InternalPorts": [free_port(ip)],
            "Platform": {"Addr": deployment.store.address},
            "Bounds": dict(BOUNDS),
        }
        self.settings = os.path.join(self.folder, name + ".toml")
        with open(self.settings, "w") as file:
            file.write(fill_in(template, fields))
        self.log = os.path.join(self.folder, name + ".log")
        self.process = None
        self.begin()

    def begin(self):
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            run = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
        words = run.replace("/etc/mangoport/settings.toml", self.settings).split()
        words[0] = os.path.join(ROOT, words[0])
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, stdout=log,
                                            stderr=subprocess.STDOUT)
        self.record.write(f"host {self.name} started, zone {self.zone}")

    def is_ready(self):
        try:
            it = http.client.HTTPConnection(self.ip, self.ready, timeout=1)
            it.request("GET", "/mangoport/readyz")
            return it.getresponse().status == 200
        except OSError:
            return False

    def signal(self, which):
        self.record.write(f"host {self.name} gets {signal.Signals(which).name}")
        self.process.send_signal(which)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Deployment:
    """Hosts on loopback addresses of their own, with a store."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.store = Store(self.net + ".1")
        self.hosts = []
        self.engines = []

    def add_engine(self, id, service, **more):
        ip = f"{self.net}.{100 + len(self.engines)}"
        engine = Engine(self.store, ip, id, service, record=self.record, **more)
        self.engines.append(engine)
        return engine

    def add_model_engine(self, id, service, capacity, **more):
        ip = f"{self.net}.{100 + len(self.engines)}"
        engine = ModelEngine(self.store, ip, id, service, capacity,
                             record=self.record, **more)
        self.engines.append(engine)
        return engine

    def add_host(self, name, zone="z1"):
        host = Host(self, name, f"{self.net}.{10 + len(self.hosts)}", zone)
        self.hosts.append(host)
        return host

    def wait_until_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if all(it.is_ready() for it in self.hosts):
                return True
            time.sleep(0.1)
        return False

    def end(self):
        for it in self.hosts:
            it.end()
        # Kept for whoever wants to look into a run.
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for it in self.hosts:
                shutil.copy(it.log, keep)
        self.temporary.cleanup()


_attempts = [random.getrandbits(24) << 32]
_attempts_lock = threading.Lock()


def new_attempt_id():
    with _attempts_lock:
        _attempts[0] += 1
        return f"{_attempts[0]:016x}"


class Answer:
    def __init__(self, id, status, headers, body, sent, ended):
        self.id, self.status, self.headers = id, status, headers
        self.body, self.sent, self.ended = body, sent, ended


def ask(record, host, method, path, host_name="shop.example", key="key-1", body=b"",
        deadline_ms=1000, headers=None, id=None, quiet=False, gap_s=None):
    """One client attempt on a connection of its own."""
    id = id or new_attempt_id()
    fields = {"Host": host_name, "X-Attempt-Id": id,
              "X-Deadline-Ms": str(deadline_ms)}
    if key:
        fields["Authorization"] = "Bearer " + key
    fields.update(headers or {})
    sent = record.now()
    status, answer, got = 0, b"", {}
    try:
        it = http.client.HTTPConnection(host.ip, host.callers,
                                        timeout=gap_s or deadline_ms / 1000 + 1)
        it.request(method, path, body=body or None, headers=fields)
        reply = it.getresponse()
        got = {k.lower(): v for k, v in reply.getheaders()}
        answer = reply.read()
        status = reply.status
        it.close()
    except (OSError, http.client.HTTPException) as error:
        answer = repr(error).encode()
    out = Answer(id, status, got, answer, sent, record.now())
    if not quiet:
        record.write(f"client {id} {method} {path} at {host.name} sent {sent:.3f}: "
                     f"{status} seal={got.get('x-server-seal', 'none')} "
                     f"{answer[:90]!r}")
    return out


def route(name, kind, service, **more):
    out = {"Name": name, "Host": "shop.example", "PathPrefix": f"/{name}/",
           "RouteKind": kind, "TimeoutMs": 1000, "GoalMs": 150, "Priority": 0,
           "Service": service, "Attempts": 3 if kind != "unsafe" else 1,
           "Public": False, "Sticky": False}
    out.update(more)
    return out


def config(version, routes, services, tenants=None):
    return {"Version": version, "Routes": routes, "Services": services,
            "Tenants": tenants or [{"Name": "t1", "ApiKeys": ["key-1"],
                                    "RatePerS": 0, "Burst": 0}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def main(case, folder):
    """Runs `case(deployment)`, which returns HELD or BROKEN."""

    def stop(number, frame):
        raise KeyboardInterrupt  # So that all processes are ended.

    signal.signal(signal.SIGTERM, stop)
    if not os.path.exists(
            os.path.join(ROOT, "target/tools/mangoport-edge/mangoport-edge")):
        print("the program isn't built")
        sys.exit(CANNOT_RUN)
    deployment = Deployment(folder)
    try:
        result = case(deployment)
    except (Exception, KeyboardInterrupt) as error:  # The case could not be played.
        deployment.record.write(f"the case failed to run: {error!r}")
        result = CANNOT_RUN
    finally:
        deployment.end()
    deployment.record.write({HELD: "the rule held", BROKEN: "the rule was broken",
                             CANNOT_RUN: "the case could not run"}[result])
    print(open(os.path.join(folder, "record.txt")).readlines()[-1].strip())
    sys.stdout.flush()
    os._exit(result)
