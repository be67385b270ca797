"""Stand-ins for the cases in this folder: the platform's store, workers and clients, and the
gateways as processes. Only the standard library is used, and only loopback addresses."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "release", "cranereach")
HOST = "h.example"
STARTED = time.monotonic()


def now():
    """Seconds since the script started."""
    return time.monotonic() - STARTED


class CannotRun(Exception):
    """The case could not run as meant."""


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def note(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()


def read_head(text):
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Reads a head and its body of a declared length, or in chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, headers = read_head(head[:-4])
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n"))[:-2].split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += part[:-2]
    return line, headers, body


def message(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: rows, conditional writes and a feed of changes (PROTOCOL.md)."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.is_silent = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def put(self, table, key, value):
        """Writes a row as the operator or a worker does; false while the store is down."""
        if self.is_silent:
            return False
        self.version += 1
        raw = None if value is None else json.dumps(value).encode()
        self.rows[(table, key)] = (self.version, raw)
        return True

    async def set_silent(self, is_silent):
        self.is_silent = is_silent

    def row(self, table, key, content):
        version, value = content
        row = {"table": table, "part": "", "privateKey": key, "ver": version}
        if value is None:
            row["gone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def listed(self, table, after, with_gone):
        found = [
            (key, content)
            for (of_table, key), content in self.rows.items()
            if of_table == table and content[0] > after and (with_gone or content[1] is not None)
        ]
        found.sort(key=lambda item: item[1][0] if with_gone else item[0])
        return [self.row(table, key, content) for key, content in found]

    async def serve(self, reader, writer):
        try:
            while True:
                line, _headers, body = await read_message(reader)
                status, answer = await self.answer(line, body)
                if self.is_silent:
                    # While it is down it answers nothing, and later nothing on this connection.
                    await asyncio.sleep(3600)
                writer.write(message(status, [("Content-Type", "application/json")], answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, body):
        if self.is_silent:
            await asyncio.sleep(3600)
        _method, target, _http = line.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        table = query.get("table", "")
        if url.path == "/api/rows-get":
            rows = [r for r in self.listed(table, 0, False) if r["privateKey"] >= query.get("from", "")]
            return self.ok({"rows": rows, "more": False})
        if url.path == "/api/rows-feed":
            after, wait_ms = int(query.get("after", 0)), int(query.get("waitMs", 0))
            until = time.monotonic() + wait_ms / 1000
            while not self.listed(table, after, True) and not self.is_silent:
                if time.monotonic() >= until:
                    break
                await asyncio.sleep(0.005)
            if self.is_silent:
                await asyncio.sleep(3600)
            return self.ok({"rows": self.listed(table, after, True)})
        if url.path == "/api/rows-tx":
            change = json.loads(body)
            for row in change.get("expectedCount", []):
                known = self.rows.get((row["table"], row["privateKey"]), (0, None))
                if (known[0] if known[1] is not None else 0) != row["ver"]:
                    return "412 Precondition Failed", json.dumps(
                        {"rows": [], "ver": self.version, "now_ms": int(now() * 1000)}
                    ).encode()
            self.version += 1
            for row in change.get("put", []):
                value = base64.b64decode(row["value"])
                self.rows[(row["table"], row["privateKey"])] = (self.version, value)
            for row in change.get("remove", []):
                self.rows[(row["table"], row["privateKey"])] = (self.version, None)
            return self.ok({})
        return "404 Not Found", b"{}"

    def ok(self, value):
        value.update({"ver": self.version, "now_ms": int(now() * 1000)})
        return "200 OK", json.dumps(value).encode()


class Worker:
    """A worker (PROTOCOL.md). Its streams name the version of the software that wrote each event. One
    with models holds what it is given, and takes no orders."""

    def __init__(self, store, record, worker_id, service, zone, software, listen_ip="127.0.0.1"):
        self.store, self.record = store, record
        self.id, self.service, self.zone, self.software = worker_id, service, zone, software
        self.listen_ip, self.port = listen_ip, 0
        self.slots = 64
        self.event_count, self.event_pause_s = 40, 0.2
        self.server, self.beats, self.open_writers = None, None, set()
        self.sequence = 0
        self.models = []
        self.runs = []

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(
            self.serve, self.listen_ip, self.port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.beat())
        self.record.note(f"worker {self.id} started, software {self.software}, born {self.born}")

    async def beat(self):
        """Keeps its entry in the store: at once, and about every 1,200 ms."""
        last = None
        while True:
            row = {
                "service": self.service,
                "address": f"{self.listen_ip}:{self.port}",
                "zone": self.zone,
                "version": self.software,
                "slots": self.slots,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
                "models": self.held(),
            }
            written = await self.store.put("servers", self.id, row)
            if (written, self.born) != last:
                last = (written, self.born)
                self.record.note(f"worker {self.id} entry written: {written}, software {self.software}")
            self.sequence += 1
            await asyncio.sleep(1.2 if written else 0.3)

    def held(self):
        return [{"name": name, "version": 1, "adapters": []} for name in self.models]

    async def crash(self):
        """Ends at once, as a process that is killed: all connections break."""
        self.record.note(f"worker {self.id} ends, software {self.software}")
        self.beats.cancel()
        self.server.close()
        for writer in list(self.open_writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def serve(self, reader, writer):
        self.open_writers.add(writer)
        software = self.software
        try:
            while True:
                line, headers, _body = await read_message(reader)
                if not await self.handle(line, headers, writer, software):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open_writers.discard(writer)
            writer.close()

    async def handle(self, line, headers, writer, software):
        if " /api/report" in line:
            report = {
                "stage": "combined", "models": self.held(), "busy": False, "sequence": 0, "waiting": 0,
                "running": 0, "kvUsed": 0, "kvTotal": 132029, "handles": 0, "born": self.born,
            }
            writer.write(message("200 OK", [], json.dumps(report).encode()))
            await writer.drain()
            return True
        if " /api/order" in line:
            self.record.note(f"worker {self.id} is sent an order and answers 409")
            writer.write(message("409 Conflict", []))
            await writer.drain()
            return True
        request_id = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.id) != self.id:
            writer.write(message("421 Misdirected Request", [("X-Attempt-Id", request_id)]))
            await writer.drain()
            return True
        model = headers.get("x-model")
        if model is not None and model not in self.models:
            writer.write(message("421 Misdirected Request", [("X-Attempt-Id", request_id)]))
            await writer.drain()
            return True
        after = headers.get("last-event-id")
        first = int(after) + 1 if after else 1
        self.runs.append(request_id)
        self.record.note(f"worker {self.id} ({software}) runs {request_id} from event {first}")
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Attempt-Id: {request_id}\r\nX-Server-Signature: sig-{self.id}-{software}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(first, self.event_count + 1):
            event = f"id: {number}\ndata: {request_id} {software} {self.id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                return False
            await asyncio.sleep(self.event_pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Gateway:
    """One instance as a process, run by the command of the deploy file."""

    def __init__(self, folder, number, zone, region, regions, store, peer_port, bounds, ips):
        self.number, self.ip = number, ips[number]
        self.callers = free_port(self.ip)
        self.ready = free_port(self.ip)
        self.metrics = free_port(self.ip)
        self.process = None
        self.settings = os.path.join(folder, f"gateway-{number}.jsonc")
        self.log = os.path.join(folder, f"gateway-{number}.log")
        settings = {
            "instance": {
                "id": f"edge-{zone}-{number + 1}",
                "failure_domain": zone,
                "region": region,
                "failure_domains": regions,
            },
            "listen": {
                "callers": f"{self.ip}:{self.callers}",
                "ready": f"{self.ip}:{self.ready}",
                "peers": f"{self.ip}:{peer_port}",
                "metrics": f"{self.ip}:{self.metrics}",
            },
            "platform": {"adapter": "users", "store": store.address},
            "bounds": bounds,
            "peers": {"seeds": [f"{ip}:{peer_port}" for ip in ips[:3]]},
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        environment = {"CRANEREACH_CONFIG": self.settings}
        for name in ("PATH", "HOME", "LANG"):
            if name in os.environ:
                environment[name] = os.environ[name]
        log = open(self.log, "a", encoding="utf-8")
        self.process = subprocess.Popen(
            [BINARY, "gateway"], env=environment, cwd=ROOT, stdout=log, stderr=log
        )

    def kill(self):
        if self.process:
            self.process.kill()
            self.process.wait()
            self.process = None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


def free_port(ip):
    with socket.socket() as taken:
        taken.bind((ip, 0))
        return taken.getsockname()[1]


def free_peer_port(ips):
    """A port that is free for TCP and UDP on all addresses."""
    for _attempt in range(200):
        port = free_port(ips[0])
        try:
            held = []
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    held.append(socket.socket(socket.AF_INET, kind))
                    held[-1].bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for each in held:
                each.close()
    raise CannotRun("no free port for peers")


class Fleet:
    """Gateways with a temporary folder; ends all that it started."""

    def __init__(self, store, zones, regions, bounds):
        if not os.access(BINARY, os.X_OK):
            raise CannotRun("target/release/cranereach is missing: run the build of the deploy file")
        self.folder = tempfile.mkdtemp(prefix="review-")
        ips = [f"127.0.0.{number + 2}" for number in range(len(zones))]
        peer_port = free_peer_port(ips)
        self.gateways = [
            Gateway(self.folder, n, zone, regions[zone], regions, store, peer_port, bounds, ips)
            for n, zone in enumerate(zones)
        ]

    async def start(self):
        for gateway in self.gateways:
            gateway.start()
        await self.until_ready()

    async def until_ready(self, within_s=20):
        until = now() + within_s
        while now() < until:
            if all([await gateway.is_ready() for gateway in self.gateways]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the gateways did not become ready")

    def end(self):
        for gateway in self.gateways:
            gateway.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Stream:
    """One client attempt at a stream: what came of it."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.events = []
        self.is_whole = False
        self.error = ""


async def ask_stream(gateway, path, request_id, body, headers=(), deadline_ms=20000, on_open=None):
    """Sends one request on a new connection and reads the events."""
    got = Stream()
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(gateway.ip, gateway.callers), 1
        )
    except (OSError, asyncio.TimeoutError) as error:
        got.error = f"no connection: {error}"
        return got
    if on_open:
        on_open(writer)
    try:
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Content-Length: {len(body)}",
        ] + [f"{name}: {value}" for name, value in headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), deadline_ms / 1000)
        line, got.headers = read_head(head[:-4])
        got.status = int(line.split(" ")[1])
        if got.headers.get("transfer-encoding", "").lower() != "chunked":
            length = int(got.headers.get("content-length", 0))
            got.error = (await reader.readexactly(length)).decode("latin-1")
            return got
        text = ""
        while True:
            size = int((await reader.readuntil(b"\r\n"))[:-2], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                got.is_whole = True
                return got
            text += part[:-2].decode()
            while "\n\n" in text:
                event, text = text.split("\n\n", 1)
                fields = dict(row.split(": ", 1) for row in event.split("\n"))
                got.events.append((int(fields["id"]), fields["data"]))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError) as error:
        got.error = f"broken off: {type(error).__name__}"
        return got
    finally:
        writer.close()


def configuration(routes, services):
    """A configuration as the operator writes it (PROTOCOL.md, examples of `wire`)."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 30000,
        },
    }


# The bounds of the sheet of plvault-hub, under the names of deploy/settings.jsonc.
BOUNDS = {
    "grace_s": 8,
    "drain_ms": 2000,
    "configuration_ms": 2000,
    "lease_ms": 3000,
    "retry_ratio": 0.2,
    "retry_allowance_count": 52,
    "retry_window_s": 10,
}
CONTACT_S = 3.0


def run(main):
    """Runs a case and exits with its verdict: 1 broken, 0 held, 2 could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble: {has_trouble}")

    async def bounded():
        return await asyncio.wait_for(main(record, has_trouble), 110)

    try:
        is_broken = asyncio.run(bounded())
    except CannotRun as error:
        record.note(f"could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(2)
    except asyncio.TimeoutError:
        record.note("could not run: too long")
        sys.exit(2)
    text = "the rule was broken" if is_broken else "the rule held"
    record.note(text)
    print(text)
    sys.exit(1 if is_broken else 0)


def seeded():
    return random.Random(int(os.environ.get("SEED", "1")))


def ends_on_signal():
    """Lets SIGTERM end the script in order, so that all it started ends, too."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
