"""Stand-ins of the platform's store, of executors and of clients, and the start of entry daemons.

Python standard library only. The store and the clients run in the process of the case; each
executor is a process of its own, so that a case can kill it and start it again.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "release", "cardamomslip-entryd")
HOST = "127.0.0.1"
BEAT_S = 1.5  # HeartbeatMs
MAX_HOLD_MS = 1000  # MaxHoldMs
STOP_GRACE_S = 0.03  # below StopGraceMs
taken_ports = set()


def free_port():
    """Returns a free port below the range that outgoing channels are given theirs from."""
    while True:
        port = random.randrange(18000, 30000)
        with socket.socket() as s:
            try:
                s.bind((HOST, port))
            except OSError:
                continue
        if port not in taken_ports:
            taken_ports.add(port)
            return port


# ---------------------------------------------------------------- HTTP


async def read_message(reader):
    """Reads a request or response; returns its first line, headers and body, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def encode(first_line, body, extra=""):
    return (f"{first_line}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n{extra}\r\n").encode() + body


class Channel:
    """A channel to a server of this case."""

    def __init__(self):
        self.is_busy = False  # a request is in progress
        self.is_silent = False  # what arrives from now on is lost, without a reset


async def serve(port, handler, channels=None):
    """Starts a server. `handler(method, path, query, headers, body)` returns status and object.
    Its open channels stand in `channels`."""
    async def connection(reader, writer):
        channel = Channel()
        if channels is not None:
            channels.add(channel)
        try:
            while True:
                line, headers, body = await read_message(reader)
                if channel.is_silent:
                    continue
                channel.is_busy = True
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                pairs = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                data = json.loads(body) if body else {}
                status, reply = await handler(method, path, pairs, headers, data)
                if channel.is_silent:  # since the request arrived
                    continue
                writer.write(encode(f"HTTP/1.1 {status} X", json.dumps(reply).encode()))
                await writer.drain()
                channel.is_busy = False
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if channels is not None:
                channels.discard(channel)
            writer.close()
    return await asyncio.start_server(connection, HOST, port, backlog=512)


async def call(port, method, path, body=None, headers=None, timeout=20.0):
    """One call on a channel of its own. Returns status and object; 0 if there is no answer."""
    writer = None
    try:
        async def round_trip():
            nonlocal writer
            reader, writer = await asyncio.open_connection(HOST, port)
            data = b"" if body is None else json.dumps(body).encode()
            extra = "".join(f"{k}: {v}\r\n" for k, v in (headers or {"Host": HOST}).items())
            writer.write(encode(f"{method} {path} HTTP/1.1", data, extra))
            line, _, reply = await read_message(reader)
            return int(line.split(" ")[1]), reply
        status, reply = await asyncio.wait_for(round_trip(), timeout)
        try:
            return status, json.loads(reply) if reply else None
        except ValueError:
            return status, reply.decode("latin-1")
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


# ---------------------------------------------------------------- store


class Store:
    """The platform's key-value store."""

    def __init__(self):
        self.port = free_port()
        self.revision = 100
        self.items = {}  # key -> (value, revision, created, lease)
        self.events = []
        self.leases = {}  # number -> (ttl_s, end)
        self.next_lease = 7000
        self.changed = asyncio.Condition()
        self.channels = set()

    async def start(self):
        self.server = await serve(self.port, self.handle, self.channels)
        self.expiry = asyncio.create_task(self.expire())

    def silence_channels(self):
        """All open channels go silent for good; new ones work."""
        for channel in self.channels:
            channel.is_silent = True
        return len(self.channels)

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"Key": key, "Value": value, "Revision": revision, "Created": created,
                "Lease": lease}

    def write(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.events.append((self.revision, self.item(key)))

    def delete(self, key):
        if self.items.pop(key, None):
            self.events.append((self.revision, {"Key": key, "Revision": self.revision,
                                                "Removed": True}))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, obj):
        """A write of the operator or of an executor."""
        self.revision += 1
        self.write(key, base64.b64encode(json.dumps(obj).encode()).decode())
        await self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for number in [n for n, (_, end) in self.leases.items() if end < now]:
                await self.end_lease(number)

    async def end_lease(self, number):
        self.leases.pop(number, None)
        self.revision += 1
        for key in [k for k, row in self.items.items() if row[3] == number]:
            self.delete(key)
        await self.notify()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/beat":  # from the executors of the case only
            await self.put(body["Key"], body["Value"])
            return 200, {}
        if path == "/kv-key":
            key = query.get("Key", "")
            if key not in self.items:
                return 404, {"AsOf": self.revision}
            return 200, dict(self.item(key), AsOf=self.revision)
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("Prefix", "")))
            keys = [k for k in keys if k > query.get("After", "")]
            return 200, {"items": [self.item(k) for k in keys[:500]],
                         "HasMore": len(keys) > 500, "AsOf": self.revision}
        if path == "/kv-watch":
            after, prefix = int(query["After"]), query.get("Prefix", "")
            end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
            while True:
                found = [e for r, e in self.events if r > after and e["Key"].startswith(prefix)]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "AsOf": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/kv-txn":
            expected = body.get("Expected") or []
            is_met = all(self.items.get(e["Key"], (0, 0))[1] == e["Revision"] for e in expected)
            if not is_met:
                known = [e["Key"] for e in expected if e["Key"] in self.items]
                return 412, {"items": [self.item(k) for k in known]}
            puts = body.get("Puts") or []
            if any(p.get("Lease", 0) and p["Lease"] not in self.leases for p in puts):
                return 404, {}
            keys = [p["Key"] for p in puts] + list(body.get("Remove") or [])
            if any(k.startswith(("op/", "servers/")) for k in keys):
                return 403, {}
            self.revision += 1
            for p in puts:
                self.write(p["Key"], p["Value"], p.get("Lease", 0))
            for key in body.get("Remove") or []:
                self.delete(key)
            await self.notify()
            return 200, {"Revision": self.revision}
        if path == "/kv-lease":
            ttl = min(max(body["TtlMs"], 1000), 600_000)
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {"Lease": self.next_lease, "TtlMs": ttl}
        if path.startswith("/kv-keep/"):
            number = int(path.rsplit("/", 1)[1])
            if number not in self.leases:
                return 404, {}
            ttl, _ = self.leases[number]
            self.leases[number] = (ttl, time.monotonic() + ttl)
            return 200, {"TtlMs": int(ttl * 1000)}
        if path.startswith("/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}


# ---------------------------------------------------------------- executor (a process of its own)


class Executor:
    """One boot of an executor that rejects what does not fit. How long a task lasts stands in its
    `Spec`: `work MS`, or `work MS,MS,..` for each step."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.born = int(time.time() * 1000)
        self.base = time.monotonic()
        self.offset = cfg.get("clock_ms", 480_000)
        self.token = 0
        self.lease_end = 0
        self.runs = {}  # task -> dict
        self.closed = {}  # task -> highest run that was stopped or has ended
        self.ended = []  # [N, task, run, how, saved]
        self.last_end = 0
        self.changed = asyncio.Event()
        self.channels = set()
        self.refuses_until = 0
        self.left_unanswered = set()
        self.state = "ready"
        self.is_drained = False
        self.beat_now = asyncio.Event()

    def drain(self):
        self.state = "draining"
        self.beat_now.set()

    def log(self, what, **fields):
        print(json.dumps({"t": time.time(), "id": self.cfg["id"], "born": self.born, "what": what,
                          **fields}), flush=True)

    def clock(self):
        return self.offset + (time.monotonic() - self.base) * 1000

    def end(self, task, how):
        row = self.runs.pop(task)
        self.last_end += 1
        self.closed[task] = max(self.closed.get(task, 0), row["run"])
        self.ended.append([self.last_end, task, row["run"], how, ""])
        self.log("end", task=task, run=row["run"], how=how)
        self.changed.set()

    def refuse_orders(self):
        """Orders are refused with 503 for a while, and nothing is done."""
        self.refuses_until = time.monotonic() + self.cfg["refuse_s"]
        self.log(f"refuses orders for {self.cfg['refuse_s']} s")

    def silence_idle_channels(self):
        """Open channels without a request in progress go silent for good; new ones work."""
        idle = [c for c in self.channels if not c.is_busy]
        for channel in idle:
            channel.is_silent = True
        self.log("silence", idle_channels=len(idle), busy=len(self.channels) - len(idle))

    async def run(self):
        loop, parent = asyncio.get_running_loop(), os.getppid()
        loop.add_signal_handler(signal.SIGUSR1, self.silence_idle_channels)
        loop.add_signal_handler(signal.SIGUSR2, self.drain)
        loop.add_signal_handler(signal.SIGHUP, self.refuse_orders)
        await serve(self.cfg["port"], self.handle, self.channels)
        self.log("up", labels=self.cfg["labels"], capacity=self.cfg["capacity"])
        beat = asyncio.create_task(self.beat())
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            for task in list(self.runs):
                row = self.runs[task]
                if row["ends"] <= now:
                    self.end(task, row["how"])
                elif self.clock() > self.lease_end:
                    self.end(task, "lapsed")
            if beat.done() or os.getppid() != parent:  # the case has ended
                return

    async def beat(self):
        await asyncio.sleep(self.cfg.get("first_beat_s", 0))
        seq = 0
        while True:
            seq += 1
            entry = {"Service": self.cfg["service"], "Addr": f"{HOST}:{self.cfg['port']}",
                     "Zone": self.cfg["zone"], "Version": "v1", "Slots": 8, "State": self.state,
                     "ColdLeftMs": 0, "Capacity": self.cfg["capacity"],
                     "Labels": self.cfg["labels"], "ClockMs": int(self.clock()), "Seq": seq,
                     "born": self.born}
            if seq == 1:
                self.log("registers", labels=self.cfg["labels"])
            await call(self.cfg["store"], "POST", "/beat",
                       {"Key": f"servers/{self.cfg['id']}", "Value": entry}, timeout=1)
            if entry["State"] == "draining" and seq > 0 and not self.is_drained:
                self.is_drained = True
                self.log("the store has accepted that it is draining")
            try:
                await asyncio.wait_for(self.beat_now.wait(), BEAT_S)
            except asyncio.TimeoutError:
                pass
            self.beat_now.clear()

    def extend(self, deadline):
        if deadline:
            self.lease_end = max(self.lease_end, min(deadline, self.clock() + MAX_HOLD_MS))

    def reply(self, **fields):
        return {"ClockMs": int(self.clock()), "born": self.born, **fields}

    async def handle(self, method, path, query, headers, body):
        if path == "/healthz":
            return 200, {}
        if headers.get("x-expected-instance", self.cfg["id"]) != self.cfg["id"]:
            return 421, {}
        if path in ("/run-start", "/run-stop") and time.monotonic() < self.refuses_until:
            self.log("answers 503", order=path, task=body["Task"], run=body["Run"])
            return 503, {}
        name = body.get("Task", ""), body.get("Run")
        if (path == "/run-start" and self.cfg.get("late_prefix") and name[1] == 1
                and name[0].startswith(self.cfg["late_prefix"])
                and name not in self.left_unanswered and "x-late" not in headers):
            self.left_unanswered.add(name)  # the case carries it out later
            self.log("leaves an order unanswered", task=name[0], run=1, order=body)
            await asyncio.sleep(3600)
        token = body.get("FencingToken", 0)
        if token < self.token:
            return 409, self.reply(Reason="fence")
        self.token = token
        task, run = body.get("Task"), body.get("Run", 0)
        if path == "/hold":
            self.extend(body.get("DeadlineMs"))
            seen = body.get("LastSeen", 0)
            self.ended = [row for row in self.ended if row[0] > seen]
            end = time.monotonic() + body.get("WaitMs", 0) / 1000
            while not self.ended and time.monotonic() < end:
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
            running = [[t, r["run"], "", 50, 0] for t, r in self.runs.items()]
            return 200, self.reply(RunningCount=running, Finished=self.ended[:500])
        if path == "/run-start":
            need = body.get("DeadlineMs", 0)
            if task in self.runs and self.runs[task]["run"] == run:
                self.extend(need)
                return 200, self.reply()
            if run <= self.closed.get(task, 0) or task in self.runs:
                self.extend(need)
                return 409, self.reply(Reason="old")
            if max(need, self.lease_end) < self.clock():
                return 409, self.reply(Reason="late")
            spec = re.match(r"work ([0-9,]+) cpu (\d+)", body["Spec"])
            times = [int(x) for x in spec.group(1).split(",")]
            work = times[min(int(task.split(".")[2]), len(times) - 1)]
            cpu = int(spec.group(2))
            used = sum(r["cpu"] for r in self.runs.values())
            if used + cpu > self.cfg["capacity"]["Cpu"]:
                self.extend(need)
                return 409, self.reply(Reason="room")
            self.extend(need)
            self.runs[task] = {"run": run, "ends": time.monotonic() + work / 1000, "how": "done",
                               "cpu": cpu}
            self.log("start", task=task, run=run, spec=body["Spec"], labels=self.cfg["labels"])
            return 200, self.reply()
        if path == "/run-stop":
            self.closed[task] = max(self.closed.get(task, 0), run)
            row = self.runs.get(task)
            if row and row["run"] <= run:
                row["how"] = "stopped"
                row["ends"] = min(row["ends"], time.monotonic() + STOP_GRACE_S)
            return 200, self.reply()
        return 404, {}


# ---------------------------------------------------------------- a deployment


class Deployment:
    """A store, executors and entry daemons as separate processes, and a record of all that is
    seen. Everything ends with `close`."""

    def __init__(self, case_dir):
        self.dir = tempfile.mkdtemp(prefix="cardamomslip-review-")
        self.record = open(os.path.join(case_dir, "record.txt"), "w")
        self.store = Store()
        self.children = []
        self.events = []  # what the executors logged
        self.nodes = {}
        self.tasks = []
        self.began = time.time()

    def note(self, text):
        line = f"{time.time() - self.began:8.3f}  {text}"
        print(line, file=self.record, flush=True)

    async def start_node(self, name, zone):
        """Starts an entry daemon as the deploy file says, with settings like its template."""
        ports = {k: free_port() for k in ("callers", "ready", "peers", "metrics")}
        path = os.path.join(self.dir, f"{name}.yaml")
        with open(path, "w") as f:
            f.write(f'name: "{name}"\ndata_centre: "{zone}"\ncpu_share: 0.25\nlisten:\n')
            for key, port in ports.items():
                f.write(f'  {key}: "{HOST}:{port}"\n')
            f.write(f'store: "{HOST}:{self.store.port}"\n'
                    'peer_secret: "entry VMs of one installation"\nstop_grace_ms: 6000\n'
                    f'max_lease_ms: {MAX_HOLD_MS}\nclient_resend_ms: 1300\norders: invocation\n'
                    'log:\n  format: json\n  level: info\n')
        log = open(os.path.join(self.dir, f"{name}.log"), "a")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CARDAMOMSLIP_SETTINGS"] = path
        child = await asyncio.create_subprocess_exec(
            DAEMON, "--config", path, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.children.append(child)
        self.nodes[name] = {"child": child, **ports}
        self.note(f"{name} starts: {ports}")

    async def start_executor(self, **cfg):
        cfg = {"store": self.store.port, **cfg}
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-B", os.path.abspath(__file__), json.dumps(cfg),
            stdout=asyncio.subprocess.PIPE)
        self.children.append(child)
        self.tasks.append(asyncio.create_task(self.follow(child)))
        return child

    async def follow(self, child):
        while True:
            line = await child.stdout.readline()
            if not line:
                return
            event = json.loads(line)
            self.events.append(event)
            rest = {k: v for k, v in event.items() if k not in ("t", "id", "born", "what")}
            print(f"{event['t'] - self.began:8.3f}  executor {event['id']} (born {event['born']}) "
                  f"{event['what']} {rest}", file=self.record, flush=True)

    async def wait_ready(self, limit=20):
        """Waits until every entry daemon reports itself ready."""
        end = time.time() + limit
        for name, node in self.nodes.items():
            while (await call(node["ready"], "GET", "/readyz", timeout=1))[0] != 200:
                if time.time() > end:
                    raise RuntimeError(f"{name} is not ready")
                await asyncio.sleep(0.05)
        self.note("all entry daemons are ready")

    async def close(self):
        for child in self.children:
            if child.returncode is None:
                try:
                    child.kill()
                except ProcessLookupError:
                    pass
        for child in self.children:
            await child.wait()
        for task in self.tasks:
            task.cancel()
        self.record.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.dir, ignore_errors=True)


def main(case, trouble):
    """Runs a case, without its disruption unless `trouble`: `await case(deployment, trouble)` returns
    a list of what breaks the rule."""
    case_dir = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def play():
        deployment = Deployment(case_dir)
        try:
            await deployment.store.start()
            broken = await asyncio.wait_for(case(deployment, trouble), 110)
            for text in broken:
                deployment.note(f"BROKEN: {text}")
            deployment.note("the rule was broken" if broken else "the rule held")
            print("\n".join(broken[:5]) if broken else "the rule held")
            return 1 if broken else 0
        except Exception as e:  # the case could not run
            deployment.note(f"could not run: {e!r}")
            print(f"could not run: {e!r}", file=sys.stderr)
            return 2
        finally:
            await deployment.close()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
    sys.exit(asyncio.run(play()))


if __name__ == "__main__":
    asyncio.run(Executor(json.loads(sys.argv[1])).run())
