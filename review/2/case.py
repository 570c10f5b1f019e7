"""A faulty engine sends bytes that are no events and do not end. See claim.txt."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "support"))
from standins import *

MEMORY_MB = 182
LINK_BYTES_PER_S = 700e6 / 8
# One answer of the faulty engine is spoilt, of 50 or more (0.02) that it gives while it
# is at fault.
SPOILT = 20
LEAST_ANSWERS = 50
FAULTY_FROM_S, FAULTY_FOR_S = 6, 5.5
PLAY_S = 16
STREAM_GAP_S = 0.018
PAYERS = 16
PAY_S = 0.2
# Callers leave a stream after a gap of so long (the longest of 2 s, four times the
# objective of 250 ms and eight times the pause of 250 ms).
GAP_S = 2.0
RESTART_S = 1.0
MOST_LOST = 3


class Platform:
    """Ends a process that exceeds its memory and starts it again."""

    def __init__(self, deployment):
        self.record = deployment.record
        self.ends = []
        self.peak_mb = 0
        self.over = threading.Event()
        for host in deployment.hosts:
            threading.Thread(target=self.watch, args=(host,), daemon=True).start()

    def memory_mb(self, host):
        with open(f"/proc/{host.process.pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0

    def watch(self, host):
        while not self.over.wait(0.01):
            used = self.memory_mb(host)
            self.peak_mb = max(self.peak_mb, used)
            if used <= MEMORY_MB:
                continue
            host.process.kill()
            host.process.wait()
            self.ends.append(self.record.now())
            self.record.write(f"platform: host {host.name} uses {used:.0f} MB of "
                              f"{MEMORY_MB} MB and is killed")
            if self.over.wait(RESTART_S):
                return
            host.begin()


class Payer:
    """Sends payments one after the other on a connection that it keeps."""

    def __init__(self, deployment, host, started):
        self.record, self.host, self.started = deployment.record, host, started
        self.lost = []

    def pay(self, over):
        connection, kept = None, False
        while not over.is_set():
            id = new_attempt_id()
            try:
                if connection is None:
                    connection, kept = http.client.HTTPConnection(
                        self.host.ip, self.host.callers, timeout=2), False
                connection.request("POST", "/pay/x", body=b"payment " + id.encode(),
                                   headers={"Host": "shop.example",
                                            "X-Attempt-Id": id,
                                            "X-Deadline-Ms": "1000",
                                            "Authorization": "Bearer key-1"})
                reply = connection.getresponse()
                reply.read()
                kept = True
            except (OSError, http.client.HTTPException) as error:
                if kept and id in self.started:
                    self.lost.append(id)
                    self.record.write(f"client: payment {id} at {self.host.name} ran at "
                                      f"{self.started[id]}; its kept connection ends "
                                      f"without an answer: {error!r}")
                connection = None
                time.sleep(0.3)


def case(deployment):
    record = deployment.record
    draft = route("draft", "stream", "scribe", Resumable=True, TimeoutMs=15000,
                  GoalMs=250, GapGoalMs=250)
    pay = route("pay", "unsafe", "ledger")
    services = [{"Name": it, "HealthPath": "/healthz", "MaxConns": 643}
                for it in ("scribe", "ledger")]
    deployment.store.put("keyed.op", "config", config(1, [draft, pay], services))
    started = {}
    faulty_at = [None]
    answers = [0]

    def is_faulty():
        return (faulty_at[0] is not None and
                0 <= record.now() - faulty_at[0] < FAULTY_FOR_S)

    def serve_payment(engine):
        def serve(run):
            if run.target.startswith("/mangoport/"):
                run.answer(404, b"")
                return
            started[run.id] = engine.id
            time.sleep(PAY_S)
            run.answer(200, b"paid", {"X-Server-Seal": engine.id})
        return serve

    def serve_stream(engine, faulty):
        def serve(run):
            if run.target.startswith("/mangoport/"):
                run.answer(404, b"")
                return
            spoilt = False
            if faulty and is_faulty():
                answers[0] += 1
                spoilt = trouble() and answers[0] == SPOILT
            run.connection.sendall(
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {run.id}\r\n"
                f"X-Server-Seal: {engine.id}\r\n"
                "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n".encode())
            if spoilt:
                record.write(f"engine {engine.id} spoils its answer to {run.id}")
                send_without_end(run.connection)
                return
            for i in range(int(run.headers.get("last-event-id", 0)) + 1, 6):
                run.connection.sendall(f"id: {i}\ndata: token-{i}\n\n".encode())
                time.sleep(0.01)
            run.connection.shutdown(socket.SHUT_WR)
        return serve

    for k in (1, 2, 3):
        engine = deployment.add_engine(f"i-pay-{k}", "ledger", slots=48)
        engine.serve = serve_payment(engine)
    for k in (1, 2, 3, 4):
        engine = deployment.add_engine(f"i-{k}", "scribe", slots=48)
        engine.serve = serve_stream(engine, faulty=k == 1)
    for k in (1, 2):
        deployment.add_host(f"edge-{k}", f"z{k}")
    if not deployment.wait_until_ready():
        return CANNOT_RUN
    platform = Platform(deployment)
    time.sleep(CONTACT_S + 1)
    over = threading.Event()
    payers = [Payer(deployment, deployment.hosts[k % 2], started)
              for k in range(PAYERS)]
    for it in payers:
        threading.Thread(target=it.pay, args=(over,), daemon=True).start()
    begin = record.now()
    faulty_at[0] = begin + FAULTY_FROM_S
    i = 0
    while record.now() - begin < PLAY_S:
        i += 1
        threading.Thread(target=ask, daemon=True, args=(
            record, deployment.hosts[i % 2], "POST", "/draft/x"),
            kwargs={"body": b"prompt %d" % i, "deadline_ms": 15000, "gap_s": GAP_S,
                    "quiet": True}).start()
        time.sleep(STREAM_GAP_S)
    over.set()
    time.sleep(1.5)
    platform.over.set()
    record.write(f"the faulty engine gave {answers[0]} answers in {FAULTY_FOR_S} s")
    lost = [id for it in payers for id in it.lost]
    record.write(f"{len(platform.ends)} times a host was killed for its memory (most "
                 f"seen: {platform.peak_mb:.0f} MB); {len(lost)} payments that sound "
                 f"engines ran on kept connections got no answer")
    if answers[0] < LEAST_ANSWERS:
        return CANNOT_RUN
    return BROKEN if len(lost) > MOST_LOST else HELD


def send_without_end(connection):
    """Bytes without the empty line that ends an event, as fast as the machine's link
    allows."""
    piece = b"x" * 65536
    begin, sent = time.monotonic(), 0
    try:
        while True:
            connection.sendall(piece)
            sent += len(piece)
            ahead = sent / LINK_BYTES_PER_S - (time.monotonic() - begin)
            if ahead > 0:
                time.sleep(ahead)
    except OSError:
        pass


main(case, HERE)
