"""One part of prompts crashes each worker that begins to write an answer on it. The service has few
workers, and each of them is at work on sound requests with another common part when it ends."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import *  # noqa: E402,F403

ZONES = ["pamplemousses-a", "pamplemousses-b", "grandbaie-old"]
REGIONS = {zone: "mru-north" for zone in ZONES}
WORKERS = 3
BACK_AFTER_S = 2.0
# A load from the worker's own disk; a prompt is read in a tenth of a second, and an answer has 200 events
# (the site's longest have 239).
LOAD_S, PREFILL_S, EVENTS, EVENT_S = 2.0, 0.1, 200, 0.04
SOUND_PER_S, BAD_PER_S = 16, 2
TROUBLE_S = 30
# The first part is common to all requests; the second is one of two, as a kind of request has them.
FIRST, BAD, OTHER = "5c1e07a2", "91bd3f06", "77aa3f11"


class EngineWorker(Worker):
    """A worker with models: it loads what it is ordered to, and a restart empties it."""

    def __init__(self, *args):
        super().__init__(*args)
        self.taken, self.busy, self.is_up, self.crashes = 0, False, False, None

    async def start(self):
        self.taken, self.busy, self.is_up = 0, False, True
        await super().start()

    async def down(self):
        self.is_up = False
        await self.crash()
        await asyncio.sleep(BACK_AFTER_S)
        self.models = []
        await self.start()

    async def load(self, model, born):
        await asyncio.sleep(LOAD_S)
        if born == self.born and self.is_up:
            self.models, self.busy = [model], False
            self.record.note(f"worker {self.id} holds {model}")
            self.beats.cancel()
            self.beats = asyncio.create_task(self.beat())

    async def serve(self, reader, writer):
        self.open_writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                self.order_body = body
                if not await self.handle(line, headers, writer, None):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open_writers.discard(writer)
            writer.close()

    async def handle(self, line, headers, writer, software):
        async def say(status, extra=(), body=b""):
            writer.write(message(status, list(extra), body))
            await writer.drain()
            return True

        if " /api/report" in line:
            return await say("200 OK", [], json.dumps({
                "stage": "combined", "models": self.held(), "busy": self.busy, "sequence": self.taken,
                "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 132029, "handles": 0,
                "born": self.born}).encode())
        if " /api/order" in line:
            order = json.loads(self.order_body)
            if self.busy or order["expectedCount"] != self.taken:
                return await say("409 Conflict")
            if order["model"] in self.models:
                return await say("200 OK")
            self.taken, self.busy = self.taken + 1, True
            asyncio.create_task(self.load(order["model"], self.born))
            return await say("202 Accepted")
        request_id = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.id) != self.id or headers.get("x-model") not in self.models:
            return await say("421 Misdirected Request", [("X-Attempt-Id", request_id)])
        parts = [part.split(":")[0] for part in headers.get("x-prompt-prefix", "").split(",")]
        is_bad = BAD in parts
        self.arrivals.append((now(), request_id, is_bad))
        if is_bad:
            self.record.note(f"worker {self.id} runs {request_id} with the part")
        await asyncio.sleep(PREFILL_S)
        if is_bad and self.has_trouble:
            if self.is_up:
                self.is_up = False
                self.crashes.append(now())
                self.record.note(f"worker {self.id} crashes on {request_id}: crash {len(self.crashes)}")
                asyncio.create_task(self.down())
            return False
        writer.write((f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\nX-Server-Signature: s-{self.id}\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                return False
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def main(record, has_trouble):
    store = Store()
    await store.start()
    arrivals, crashes = [], []
    workers = [EngineWorker(store, record, f"i-{n}", "lm-pool", ZONES[n % 3], "v1") for n in range(WORKERS)]
    for worker in workers:
        worker.models, worker.arrivals, worker.crashes = ["m0"], arrivals, crashes
        worker.has_trouble = has_trouble
        await worker.start()
    route = {
        "name": "desk-reply", "host": HOST, "pathPrefix": "/desk/", "routeKind": "streaming",
        "timeoutMs": 15000, "targetLatencyMs": 800, "gapTargetMs": 400, "priority": 0, "attempts": 1,
        "sticky": True, "resumable": False, "service": "lm-pool",
    }
    engine = {
        "slots": 64, "kvCapacityTokens": 132029, "weightsMb": 70000.0, "adapterSlots": 8,
        "loadsPerS": 1.4, "stride": 2,
        "models": [{"name": "m0", "weightsMb": 65100.0, "loadS": 9.0, "adapters": 0, "adapterMb": 12.0}],
    }
    service = {"name": "lm-pool", "healthPath": "/health", "connectionLimit": 360, "engine": engine}
    await store.put("op", "config", configuration([route], [service]))
    fleet = Fleet(store, ZONES, REGIONS, BOUNDS)
    try:
        await fleet.start()
        await asyncio.sleep(4)
        got, asked, count = [], [], 0
        begins_at = now() + 6

        async def ask(is_bad, number):
            part = BAD if is_bad else OTHER
            headers = [("X-Model", "m0"), ("X-Token-Usage", "1110,172"),
                       ("X-Prompt-Prefix", f"{FIRST}:210,{part}:140,{0x10000000 + number:08x}:760")]
            at = now()
            answer = await ask_stream(fleet.gateways[number % 3], "/desk/x",
                                      f"{'p' if is_bad else 's'}{number}", f"body {number}".encode(),
                                      headers, 15000)
            got.append((at, is_bad, answer.status, len(answer.events), answer.is_whole, answer.error[:60]))

        next_sound, next_bad = now(), begins_at
        until = begins_at + TROUBLE_S
        while now() < until:
            if now() >= next_sound:
                next_sound += 1 / SOUND_PER_S
                count += 1
                asked.append(asyncio.create_task(ask(False, count)))
            if now() >= next_bad:
                next_bad += 1 / BAD_PER_S
                count += 1
                asked.append(asyncio.create_task(ask(True, count)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*asked)
        late_from = crashes[4] + CONTACT_S if len(crashes) >= 5 else None
        late = [arrival for arrival in arrivals
                if arrival[2] and late_from is not None and arrival[0] > late_from]

        def begun(since, before):
            sound = [answer for answer in got if not answer[1] and since <= answer[0] < before]
            return f"{sum(answer[3] > 0 for answer in sound)} of {len(sound)}"

        settled = (crashes[4] if len(crashes) >= 5 else begins_at) + 2 * CONTACT_S
        record.note(f"{len(crashes)} crashes; {len(late)} requests with the part arrived later than "
                    f"{late_from}; sound requests begun: before {begun(0, begins_at)}, from {settled:.3f} on "
                    f"{begun(settled, until)}; whole since {begins_at:.3f}: "
                    f"{sum(answer[4] for answer in got if not answer[1] and answer[0] > begins_at)}")
        # BUDGET: more than three requests with the part later than contactMs after the fifth crash.
        return len(late) > 3
    finally:
        fleet.end()


ends_on_signal()
run(main)
