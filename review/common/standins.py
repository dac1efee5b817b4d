"""Stand-ins for a small deployment on loopback: state service, cloud, workers and users, after PROTOCOL-cometlead.md.

Each controller reaches the state service through a port of its own, so that a test can delay, lose or refuse the requests
of one controller alone. Only the Python standard library is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

START = time.monotonic()
JOBS = "/work"  # the path of the users' interface


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def write(self, *words):
        self.file.write("%8.3f %s\n" % (now() - START, " ".join(str(w) for w in words)))


# --- HTTP -------------------------------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads a request or a response: first line, headers, body. None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0") or 0))
    return lines[0], headers, body


def to_bytes(first, body, headers=()):
    lines = [first, "Content-Type: application/json", "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % h for h in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           413: "Payload Too Large", 421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


class Server:
    """An HTTP server. `handler(method, path, body)` returns (status, JSON value); None: the request gets no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.port = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await self.handler(method, path, body)
                if answer is None:
                    await asyncio.sleep(30)
                    break
                status, value = answer
                data = value if isinstance(value, bytes) else json.dumps(value).encode()
                writer.write(to_bytes("HTTP/1.1 %d %s" % (status, REASONS.get(status, "-")), data))
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()


class Client:
    """An HTTP client with one connection that it keeps."""

    def __init__(self, address):
        self.address = address
        self.streams = None

    def close(self):
        if self.streams:
            self.streams[1].close()
        self.streams = None

    async def call(self, method, path, body=b"", timeout=5.0):
        """(status, headers, body); None without a response."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, body), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError):
            self.close()
            return None

    async def exchange(self, method, path, body):
        if not self.streams:
            host, port = self.address.rsplit(":", 1)
            self.streams = await asyncio.open_connection(host, int(port), limit=1 << 22)
        reader, writer = self.streams
        writer.write(to_bytes("%s %s HTTP/1.1" % (method, path), body, [("Host", self.address)]))
        await writer.drain()
        first, headers, body = await read_message(reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), headers, body


# --- state service ----------------------------------------------------------------------------------------------------


class Bucket:
    """A rate with bursts of `seconds` worth."""

    def __init__(self, rate, seconds=1.0):
        self.rate, self.size = rate, rate * seconds
        self.level, self.at = self.size, now()

    def take(self, count):
        t = now()
        self.level = min(self.size, self.level + (t - self.at) * self.rate)
        self.at = t
        if self.level < count:
            return False
        self.level -= count
        return True


class StateService:
    KEPT_CHANGES = 10000

    def __init__(self, record, rps=100.0, write_rps=40.0, value_kb=16.0, txn_ops=12):
        self.record = record
        self.items = {}  # key -> [value, stamp, lease]
        self.epoch = 0
        self.log = []  # (epoch, key, value or None)
        self.oldest = 0
        self.leases = {}  # id -> [deadline, seconds, keys]
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.refused = set()  # controllers that get 503
        self.down = False
        self.hook = None  # async hook(node, method, path, body): "drop", or None
        self.after_hook = None  # async hook(node, method, path, body, answer): "drop", or None
        self.servers = {}

    async def add_node(self, node):
        async def handler(method, path, body):
            return await self.handle(node, method, path, body)

        self.servers[node] = await Server(handler).start()
        return "127.0.0.1:%d" % self.servers[node].port

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                for lease in self.leases.values():
                    lease[0] = now() + lease[1]
                continue
            for lease in [i for i, l in self.leases.items() if l[0] <= now()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        keys = [k for k in self.leases.pop(lease)[2] if k in self.items and self.items[k][2] == lease]
        if keys:
            self.apply([{"remove": k} for k in keys])

    def apply(self, ops):
        self.epoch += 1
        for op in ops:
            key = op.get("write") or op.get("remove")
            if "write" in op:
                lease = op.get("permit")
                self.items[key] = [op["value"], self.epoch, lease]
                if lease is not None:
                    self.leases[lease][2].add(key)
                self.log.append((self.epoch, key, op["value"]))
            elif self.items.pop(key, None) is not None:
                self.log.append((self.epoch, key, None))
        if len(self.log) > self.KEPT_CHANGES:
            cut = len(self.log) - self.KEPT_CHANGES
            self.oldest = self.log[cut - 1][0]
            del self.log[:cut]
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, node, method, path, body):
        if self.hook and await self.hook(node, method, path, body) == "drop":
            return None
        answer = await self.answer(node, method, path, body)
        if self.after_hook and await self.after_hook(node, method, path, body, answer) == "drop":
            return None
        return answer

    async def answer(self, node, method, path, body):
        if self.down or node in self.refused:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {}
        path, _, query = path.partition("?")
        arguments = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        if path == "/txn":
            return self.transaction(json.loads(body))
        if path == "/kv":
            return self.page(arguments)
        if path.startswith("/kv/"):
            item = self.items.get(path[4:])
            if item is None:
                return 404, {"epoch": self.epoch}
            return 200, {"key": path[4:], "value": item[0], "stamp": item[1], "permit": item[2]}
        if path == "/changes":
            return await self.watch(node, arguments)
        if path == "/leases":
            lease = self.next_lease
            self.next_lease += 1
            seconds = json.loads(body)["lifeMs"] / 1e3
            self.leases[lease] = [now() + seconds, seconds, set()]
            return 200, {"permit": lease}
        if path.startswith("/leases/"):
            parts = path.split("/")
            lease = int(parts[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.end_lease(lease)
            else:
                self.leases[lease][0] = now() + self.leases[lease][1]
            return 200, {"permit": lease}
        return 400, {}

    def transaction(self, txn):
        ops = txn.get("then", [])
        if len(ops) > self.txn_ops or len(txn.get("when", [])) > 4 * self.txn_ops:
            return 400, {"error": "too many"}
        for op in ops:
            if "write" in op and len(json.dumps(op["value"], separators=(",", ":"))) > self.value_bytes:
                return 400, {"error": "too large"}
            if op.get("permit") is not None and op["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        if not self.writes.take(len(ops)):
            return 429, {}
        failed = [c["key"] for c in txn.get("when", []) if self.items.get(c["key"], (0, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if ops:
            self.apply(ops)
        return 200, {"epoch": self.epoch}

    def page(self, arguments):
        prefix, after = arguments.get("prefix", ""), arguments.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items, size, limit = [], 0, min(1000, int(arguments.get("most", 1000)))
        for key in keys:
            item = {"key": key, "value": self.items[key][0], "stamp": self.items[key][1]}
            size += len(json.dumps(item)) + 2
            if items and (len(items) >= limit or size > 500 * 1024):
                return 200, {"items": items, "more": True, "epoch": self.epoch}
            items.append(item)
        return 200, {"items": items, "more": False, "epoch": self.epoch}

    def changes_since(self, prefix, after):
        log = []
        for epoch, key, value in self.log:
            if epoch > after and key.startswith(prefix):
                log.append({"remove": key, "stamp": epoch} if value is None
                           else {"write": key, "value": value, "stamp": epoch})
        return log

    async def watch(self, node, arguments):
        prefix, after = arguments.get("prefix", ""), int(arguments.get("after", 0))
        deadline = now() + int(arguments.get("waitMs", 0)) / 1e3
        while True:
            if after < self.oldest:
                return 410, {}
            changed = self.changed
            out = self.down or node in self.refused
            log = [] if out else self.changes_since(prefix, after)
            if log or (now() >= deadline and not out):
                return 200, {"epoch": self.epoch, "log": log}
            try:
                await asyncio.wait_for(changed.wait(), 0.1 if out else max(0.001, deadline - now()))
            except asyncio.TimeoutError:
                pass


# --- workers ----------------------------------------------------------------------------------------------------------


class Job:
    """What the users upload of a job, for the workers."""

    def __init__(self, name, spec, run_s=1.0, fails=False):
        self.name, self.spec, self.run_s, self.fails = name, spec, run_s, fails


class Machine:
    """One machine with its worker. `cell.on_start(machine, piece, attempt)` and `on_end` are told what runs."""

    def __init__(self, cell, name, build, yard, spot):
        self.cell, self.name, self.build, self.yard, self.spot = cell, name, build, yard, spot
        self.shift, self.tally, self.baton = 1, 0, 0
        self.pieces = {}  # (piece, attempt) -> [status, cause, task]
        self.lease_from = now()
        self.node = random.choice(list(cell.bind))
        self.dead, self.deaf, self.mute = False, False, False
        self.changed = asyncio.Event()
        self.last_report = 0.0
        self.recall_at = None
        self.client, self.server = None, None
        self.images = set()
        self.tasks = []

    async def start(self):
        self.server = await Server(self.on_request).start()
        if self.dead:
            return self.server.stop()
        self.endpoint = "127.0.0.1:%d" % self.server.port
        self.lease_from = now()
        self.tasks = [asyncio.create_task(self.report_loop()), asyncio.create_task(self.lease_loop())]

    def die(self):
        """The machine stops with all that is on it."""
        if self.dead:
            return
        self.dead = True
        for key in list(self.pieces):
            self.end(key, "killed")
        self.pieces = {}
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.stop()
        if self.client:
            self.client.close()

    def report(self):
        self.tally += 1
        pieces = []
        for (piece, attempt), (status, cause, _) in self.pieces.items():
            entry = {"piece": piece, "try": attempt, "status": status}
            if cause:
                entry["cause"] = cause
            pieces.append(entry)
        recall = None if self.recall_at is None else max(0.0, self.recall_at - now())
        return {"host": self.name, "endpoint": self.endpoint, "build": self.build, "yard": self.yard,
                "loaners": self.spot, "shift": self.shift, "tally": self.tally, "baton": self.baton,
                "recallS": recall, "pieces": pieces}

    async def on_request(self, method, path, body):
        if self.dead or self.deaf:
            return None
        if path == "/show":
            return 200, self.report()
        if len(body) > 65536:
            self.cell.record.write("worker", self.name, "refuses a command of", len(body), "bytes: over 64 KiB")
            self.cell.oversized.append(("command", self.name, len(body)))
            return 413, {}
        command = json.loads(body)
        if command.get("baton") is None or command.get("shift") is None:
            return 400, {}
        if command["baton"] < self.baton or command["shift"] != self.shift:
            return 409, self.report()
        self.see_token(command["baton"])
        self.execute(command.get("orders", []), "command")
        return 200, self.report()

    def see_token(self, token):
        if token > self.baton:
            self.baton = token
            self.changed.set()

    async def lease_loop(self):
        while True:
            await asyncio.sleep(max(0.005, self.lease_from + self.cell.lease_s - now()))
            if now() - self.lease_from > self.cell.lease_s:
                self.cell.record.write("worker", self.name, "lease over, shift", self.shift, "pieces", len(self.pieces))
                for key in list(self.pieces):
                    self.end(key, "killed")
                self.pieces = {}
                self.shift += 1
                self.tally = 0
                self.lease_from = now()
                self.changed.set()

    async def report_loop(self):
        address = None
        while True:
            wait = self.cell.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, self.last_report + wait - now()))
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(max(0.0, self.last_report + 0.5 - now()))
            self.changed.clear()
            if address != self.cell.bind[self.node]:
                address = self.cell.bind[self.node]
                if self.client:
                    self.client.close()
                self.client = Client(address)
            sent, shift = now(), self.shift
            self.last_report = sent
            body = json.dumps(self.report(), separators=(",", ":")).encode()
            if len(body) > 65536:
                self.cell.oversized.append(("report", self.name, len(body)))
                self.cell.record.write("worker", self.name, "has a report of", len(body), "bytes: over 64 KiB")
            answer = None if self.mute else await self.client.call("POST", "/v1/report", body, 4.0)
            if self.mute:
                await asyncio.sleep(4.0)
            if self.deaf:
                answer = None
            self.on_answer(answer, sent, shift)
            if answer is None or answer[0] not in (200, 421):
                await self.next_node()
            elif answer[0] == 421:
                to = json.loads(answer[2] or b"{}").get("answerTo")
                if to in self.cell.bind and to != self.node:
                    self.node = to
                    self.last_report = now() - 1.0
                    self.changed.set()
                else:
                    await self.next_node()

    async def next_node(self):
        nodes = list(self.cell.bind)
        self.node = nodes[(nodes.index(self.node) + 1) % len(nodes)]
        await asyncio.sleep(1.0)
        self.changed.set()

    def on_answer(self, answer, sent, shift):
        if answer is None or answer[0] != 200:
            return
        longest = max(len(line) for line in answer[2].split(b"\n"))
        if longest > 65536:
            self.cell.oversized.append(("response", self.name, longest))
            self.cell.record.write("worker", self.name, "got a line of", longest, "bytes: over 64 KiB")
            if self.cell.drop_oversized:
                return
        body = json.loads(answer[2])
        token = body.get("baton")
        if token is None or token < self.baton or shift != self.shift:
            return
        self.see_token(token)
        self.lease_from = max(self.lease_from, sent)
        self.execute(body.get("orders", []), "response")

    def execute(self, orders, by):
        for order in orders:
            key = (order["piece"], order["try"])
            self.cell.trace("order", self.name, by, order)
            if order["verb"] == "launch":
                self.launch(key)
            elif order["verb"] == "stop":
                if key in self.pieces and self.pieces[key][0] != "exited":
                    self.end(key, "halted")
            elif order["verb"] == "forget":
                if key in self.pieces and self.pieces[key][0] == "exited":
                    del self.pieces[key]
                    self.changed.set()

    def launch(self, key):
        if key in self.pieces:
            return
        name = key[0].split("/")[0]
        job = self.cell.jobs.get(name)
        cause = None
        if job is None:
            cause = "no_such"
        elif any(k[0] == key[0] and v[0] != "exited" for k, v in self.pieces.items()):
            cause = "in_use"
        else:
            kind = self.cell.builds[self.build]
            cores, memory = kind["cores"] - job.spec["cores"], kind["memGb"] - job.spec["memGb"]
            for (piece, _), (status, _, _) in self.pieces.items():
                if status != "exited":
                    other = self.cell.jobs[piece.split("/")[0]].spec
                    cores, memory = cores - other["cores"], memory - other["memGb"]
            if cores < -1e-6 or memory < -1e-6:
                cause = "full"
        if cause:
            self.pieces[key] = ["exited", cause, None]
        else:
            self.pieces[key] = ["fetching", None, asyncio.create_task(self.run(key, job))]
        self.changed.set()

    async def run(self, key, job):
        if job.spec["bundle"] not in self.images:
            await asyncio.sleep(self.cell.fetch_s)
            self.images.add(job.spec["bundle"])
        self.pieces[key][0] = "running"
        self.cell.on_start(self, *key)
        self.changed.set()
        if key[0] not in self.cell.done_pieces:
            if job.spec["shape"] == "standing":
                await asyncio.sleep(1e6)
            await asyncio.sleep(job.run_s * random.uniform(0.9, 1.1))
        if job.fails:
            self.end(key, "error")
        else:
            self.cell.done_pieces.add(key[0])
            self.end(key, "done")

    def end(self, key, cause):
        status, _, task = self.pieces[key]
        if status == "exited":
            return
        self.pieces[key] = ["exited", cause, None]
        if status == "running":
            self.cell.on_end(self, *key, cause)
        if task and task is not asyncio.current_task():
            task.cancel()
        self.changed.set()


# --- cloud and the whole cell -----------------------------------------------------------------------------------------


class Cell:
    """All stand-ins, and the controllers as processes."""

    def __init__(self, folder, count=3, **options):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.work = tempfile.mkdtemp(prefix="cometlead-review-")
        self.root = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
        self.names = ["lantern-%d" % i for i in range(count)]
        self.lease_s = options.get("lease_s", 10.0)
        self.report_s = options.get("report_s", 1.0)
        self.cancel_s = options.get("cancel_s", 35.0)
        self.boot_s = options.get("boot_s", 1.5)
        self.fetch_s = options.get("fetch_s", 0.3)
        self.capacity = options.get("capacity", 8)
        self.zones = options.get("zones", ["merkato-room"])
        self.teams = options.get("teams", [dict(name="shop-desk", cpus=88.0, cpus_max=192.0, gpus=0.0, gpus_max=0.0)])
        self.quota = options.get("quota", dict(core_share=0.08, ram_mb=40.0, max_connections=600))
        self.limits = options.get("state", dict(rps=100.0, write_rps=40.0, value_kb=16.0, txn_ops=12))
        self.log_level = options.get("log_level", "info")
        self.builds = options.get("builds") or {
            "kiosk-box": dict(name="kiosk-box", cores=16, accelerators=0, memGb=64, localGb=30, fetchGbPerS=0.8,
                              rate=1.2, spotPrice=0.4, startupS=30, yards=self.zones)}
        self.state = StateService(self.record, **{k: v for k, v in self.limits.items() if k != "next"})
        self.machines, self.listed, self.hires = {}, {}, {}
        self.bind, self.back, self.processes, self.logs = {}, {}, {}, {}
        self.jobs, self.done_pieces, self.running, self.faults = {}, set(), {}, []
        self.oversized, self.drop_oversized = [], True
        self.cloud_down = False
        self.tracing = options.get("trace", True)
        self.starts = []

    def trace(self, *words):
        if self.tracing:
            self.record.write(*words)

    def fault(self, rule, text):
        self.faults.append((rule, text))
        self.record.write("RULE BROKEN:", rule, text)

    def on_start(self, machine, piece, attempt):
        self.trace("start", machine.name, piece, attempt)
        others = [m for m in self.running.get(piece, []) if m is not machine]
        if others:
            self.fault("ran_twice", "%s starts on %s while it is on %s" % (piece, machine.name, others[0].name))
        self.running.setdefault(piece, []).append(machine)
        self.starts.append((now(), machine.name, piece, attempt))

    def on_end(self, machine, piece, attempt, cause):
        self.trace("end", machine.name, piece, attempt, cause)
        if machine in self.running.get(piece, []):
            self.running[piece].remove(machine)

    async def start(self, run=None):
        asyncio.create_task(self.state.expire_leases())
        self.cloud = await Server(self.on_cloud).start()
        ports = free_ports(2 * len(self.names))
        for i, name in enumerate(self.names):
            self.bind[name] = "127.0.0.1:%d" % ports[2 * i]
            self.back[name] = "127.0.0.1:%d" % ports[2 * i + 1]
        for i, name in enumerate(self.names):
            config = {
                "node": name, "zone": self.zones[i % len(self.zones)], "bind": self.bind[name], "back": self.back[name],
                "others": [{"node": n, "zone": self.zones[j % len(self.zones)], "peer_addr": self.back[n]}
                           for j, n in enumerate(self.names) if n != name],
                "outside": {"cloud": "127.0.0.1:%d" % self.cloud.port, "state": await self.state.add_node(name)},
                "params": {"count": len(self.names), "zones": self.zones, "teams": self.teams, "objectives": [],
                           "workers": {"report_s": self.report_s, "lease_s": self.lease_s, "gang_wait_s": 35.0,
                                       "gang_peer_s": 8.0, "cancel_s": self.cancel_s},
                           "state": self.limits, "cloud": {"rps": 6.0, "list_lag_s": 2.0},
                           "quota": self.quota, "clock_error_ms": 250.0}}
            with open(os.path.join(self.work, name + ".json"), "w") as file:
                json.dump(config, file)
        for name in self.names:
            await self.launch(name)

    async def launch(self, name):
        """Starts a controller with the `run` command of the deploy file."""
        with open(os.path.join(self.root, "deploy", "service.toml")) as file:
            run = [line.split("=", 1)[1].strip().strip('"') for line in file if line.startswith("run")][0].split()
        log = open(os.path.join(self.work, name + ".log"), "ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            *run, os.path.join(self.work, name + ".json"), cwd=self.root, stderr=log, stdout=log,
            env={**os.environ, "LOG_LEVEL": self.log_level})
        self.record.write("controller", name, "started, process", self.processes[name].pid)

    async def kill(self, name):
        self.record.write("controller", name, "killed")
        self.processes[name].kill()
        await self.processes[name].wait()

    def pause(self, name):
        self.record.write("controller", name, "stopped (SIGSTOP)")
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.record.write("controller", name, "continued (SIGCONT)")
        self.processes[name].send_signal(signal.SIGCONT)

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for machine in self.machines.values():
            machine.die()
        if os.environ.get("KEEP"):
            print("logs in", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)

    async def on_cloud(self, method, path, body):
        if self.cloud_down:
            return 503, {"error": "trouble"}
        path, _, query = path.partition("?")
        if path == "/catalog":
            return 200, {"builds": list(self.builds.values())}
        if path == "/hosts" and method == "POST":
            wish = json.loads(body)
            if wish["hire"] not in self.hires:
                free = self.capacity - sum(1 for m in self.machines.values() if not m.dead)
                count = min(wish["howMany"], free, 50)
                if count <= 0:
                    return 503, {"error": "no capacity"}
                names = []
                for _ in range(count):
                    name = "i-%06d" % (len(self.machines) + 1)
                    machine = Machine(self, name, wish["build"], wish["yard"], wish["loaners"])
                    self.machines[name] = machine
                    self.listed[name] = ["starting", now()]
                    asyncio.create_task(self.boot(machine))
                    names.append(name)
                self.hires[wish["hire"]] = names
                self.record.write("cloud rents", names)
            return 200, {"hosts": self.hires[wish["hire"]]}
        if path == "/hosts/release":
            names = json.loads(body)["hosts"]
            self.record.write("cloud takes back", names)
            for name in names:
                if name in self.machines:
                    self.machines[name].die()
                self.listed.pop(name, None)
            return 200, {}
        if path == "/hosts":
            after = dict(p.split("=", 1) for p in query.split("&") if "=" in p).get("after", "")
            hosts = [{"nameId": n, "endpoint": getattr(self.machines[n], "endpoint", ""), "build": self.machines[n].build,
                      "yard": self.machines[n].yard, "loaners": self.machines[n].spot, "status": s,
                      "ageS": now() - since} for n, (s, since) in sorted(self.listed.items()) if n > after]
            return 200, {"hosts": hosts[:500], "more": len(hosts) > 500}
        return 400, {}

    async def boot(self, machine):
        await asyncio.sleep(self.boot_s)
        if not machine.dead:
            await machine.start()
            if machine.name in self.listed:
                self.listed[machine.name][0] = "running"

    # --- users

    def spec(self, name, **fields):
        spec = {"nameId": name, "lane": "funeral-notices", "crew": self.teams[0]["name"], "shape": "sweep",
                "urgency": "high", "pieces": 1, "cores": 1.0, "accelerators": 0.0, "memGb": 1.2, "bundle": "img-1",
                "sizeGb": 0.5, "builds": None, "yard": None, "oneZone": False, "apart": False, "loaners": True,
                "guessS": 2.0, "bookmarkS": 0.0, "stashS": 0.0, "dueS": None}
        spec.update(fields)
        return spec

    async def ask(self, node, method, path, body=b"", timeout=5.0, quiet=False):
        what = path.removeprefix(JOBS).lstrip("/") or (json.loads(body)["nameId"] if body else "")
        client = Client(self.bind[node])
        sent = now()
        answer = await client.call(method, path, body, timeout)
        client.close()
        if answer is None:
            if not quiet:
                self.record.write("user", node, method, what, "no response")
            return None, None
        try:
            value = json.loads(answer[2]) if answer[2] else None
        except ValueError:
            value = None
        if not quiet:
            self.record.write("user", node, method, what, "->", answer[0], value, "after %.3f s" % (now() - sent))
        return answer[0], value

    async def submit(self, spec, node=None, run_s=1.0, fails=False, patience=60.0):
        """Submits a job, and repeats that as users do. Returns the status of the last answer."""
        self.jobs[spec["nameId"]] = Job(spec["nameId"], spec, run_s, fails)
        body = json.dumps(spec).encode()
        end = now() + patience
        while True:
            status, value = await self.ask(node or random.choice(self.names), "POST", JOBS, body)
            if status in (200, 201, 400, 422) or now() > end:
                return status, value
            await asyncio.sleep(1.0)

    async def abort(self, name, node=None, patience=60.0):
        end = now() + patience
        while True:
            status, value = await self.ask(node or random.choice(self.names), "POST", JOBS + "/%s/abort" % name)
            if status == 200 or now() > end:
                return status, value
            await asyncio.sleep(1.0)

    async def poll(self, name, node=None, quiet=False):
        return await self.ask(node or random.choice(self.names), "GET", JOBS + "/" + name, timeout=2.0, quiet=quiet)

    async def until_done(self, name, limit, node=None):
        end = now() + limit
        value = None
        while now() < end:
            status, value = await self.poll(name, node, quiet=True)
            if status == 200 and value["status"] in ("done", "cancelled"):
                self.record.write("user", "poll of", name, "->", value)
                return value["status"]
            await asyncio.sleep(0.5)
        self.record.write("user", "poll of", name, "-> still", value, "after", limit, "s")
        return None

    async def until_ready(self, limit=20.0):
        end = now() + limit
        while now() < end:
            states = [(await self.ask(n, "GET", "/healthz", timeout=1.0, quiet=True))[0] for n in self.names]
            if all(s == 200 for s in states):
                return True
            await asyncio.sleep(0.2)
        return False


def free_ports(count):
    """Ports that are free now, below those that the system gives to outgoing connections."""
    ports, chance = [], random.SystemRandom()
    while len(ports) < count:
        port = chance.randrange(12000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def main(scenario, folder, limit=110.0, **options):
    """Runs `scenario(cell, trouble)`, which returns True if the rule held. Exits with 0, 1 (broken) or 2 (could not run)."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        cell = Cell(folder, **options)
        cell.record.write("trouble" if trouble else "no trouble")
        try:
            await cell.start()
            if not await cell.until_ready():
                cell.record.write("could not run: the controllers are not ready")
                print("could not run")
                return 2
            held = await asyncio.wait_for(scenario(cell, trouble), limit)
            result = "the rule held" if held else "the rule was broken"
            cell.record.write("result:", result)
            print(result)
            return 0 if held else 1
        except Exception as error:  # a test that could not run
            cell.record.write("could not run:", type(error).__name__, error)
            print("could not run:", type(error).__name__, error)
            if os.environ.get("KEEP"):
                raise
            return 2
        finally:
            try:
                await cell.stop()
            except Exception as error:
                cell.record.write("while ending:", type(error).__name__, error)

    sys.exit(asyncio.run(run()))
