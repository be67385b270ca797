"""The workers of a service say that they are brittle. A quarter of them crashes and comes back
while many users come at once: as long as one has not answered, it gets more at once than it has room
for, and falls over."""

import asyncio
import os
import sys
from collections import deque

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import *  # noqa: E402,F403

ZONES = ["pamplemousses-a", "pamplemousses-b", "grandbaie-old"]
REGIONS = {zone: "mru-north" for zone in ZONES}
WORKERS = 20
SLOTS = 5
WORK_S = 0.4
QUEUE_BEFORE, QUEUE_BRITTLE = 24, 2
BORNE = 3
BACK_AFTER_S = 2.0
# `srv_crash` of the site: a share of 0.25 of a service's workers for 2.0 s.
CRASHED, CRASH_S = WORKERS // 4, 2.0
# Requests a second that the workers can take, and the share of it that is asked for usually and in the
# burst. The site's largest doses of `burst` for one kind of request are x = 2.4 for 4.5 s and x = 2.8
# for 3.0 s; this is x = 1.7 for 4.5 s.
CAPACITY = WORKERS * SLOTS / WORK_S
USUAL, BURST, BURST_S = 0.8, 0.8 * 1.7, 4.5
WATCHED_S = 10


class BrittleWorker(Worker):
    """A worker without models that may be brittle."""

    def __init__(self, *args):
        super().__init__(*args)
        self.slots = SLOTS
        self.brittle_since = None
        self.running, self.waiting = 0, deque()
        self.rejected_at = deque()
        self.falls, self.lost, self.is_up = 0, 0, False

    async def start(self):
        self.running, self.waiting = 0, deque()
        self.rejected_at.clear()
        self.is_up = True
        await super().start()

    def extra(self):
        return [("Server-Brittle", str(BORNE))] if self.brittle_since is not None else []

    def queue(self):
        is_short = self.brittle_since is not None and now() > self.brittle_since + CONTACT_S
        return QUEUE_BRITTLE if is_short else QUEUE_BEFORE

    async def down(self, for_s, why):
        self.is_up = False
        self.lost += self.running + len(self.waiting)
        self.record.note(f"worker {self.id} {why}; {self.running} requests were running, "
                         f"{len(self.waiting)} waited")
        await self.crash()
        await asyncio.sleep(for_s)
        await self.start()

    async def handle(self, line, headers, writer, software):
        request_id = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.id) != self.id or not request_id:
            writer.write(message("421 Misdirected Request", [("X-Attempt-Id", request_id)]))
            await writer.drain()
            return True
        born = self.born
        load = ("X-Instance-Load", f"{self.running},{len(self.waiting)},{SLOTS}")
        if self.running >= SLOTS:
            if len(self.waiting) >= self.queue():
                self.rejected_at.append(now())
                while self.rejected_at[0] < now() - 1:
                    self.rejected_at.popleft()
                answer = [("X-Attempt-Id", request_id), ("X-Not-Executed", "1"), load]
                writer.write(message("503 Service Unavailable", answer + self.extra()))
                await writer.drain()
                if self.brittle_since is not None and len(self.rejected_at) > BORNE and self.is_up:
                    self.falls += 1
                    self.is_up = False
                    asyncio.create_task(self.down(
                        BACK_AFTER_S, f"falls over: {len(self.rejected_at)} rejected in a second"))
                return True
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn
        self.running += 1
        await asyncio.sleep(WORK_S)
        if born != self.born:
            return False
        self.running -= 1
        while self.waiting and self.running < SLOTS:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        answer = [("X-Attempt-Id", request_id), ("X-Server-Signature", f"sig-{self.id}"), load]
        writer.write(message("200 OK", answer + self.extra(), b"done"))
        await writer.drain()
        return True


class Caller:
    """Sends requests on kept connections."""

    def __init__(self, fleet):
        self.fleet, self.idle, self.count, self.statuses = fleet, {}, 0, {}

    async def ask(self):
        self.count += 1
        number = self.count
        gateway = self.fleet.gateways[number % len(self.fleet.gateways)]
        idle = self.idle.setdefault(gateway.number, [])
        status = "broken"
        try:
            reader, writer = idle.pop() if idle else await asyncio.open_connection(
                gateway.ip, gateway.callers)
            body = f"request {number}".encode()
            writer.write(
                (f"POST /desk/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: q{number}\r\n"
                 f"X-Deadline-Ms: 4000\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
            line, _headers, _body = await asyncio.wait_for(read_message(reader), 6)
            status = line.split(" ")[1]
            idle.append((reader, writer))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        self.statuses[status] = self.statuses.get(status, 0) + 1


async def main(record, has_trouble):
    store = Store()
    await store.start()
    workers = [
        BrittleWorker(store, record, f"i-{number}", "desk", ZONES[number % 3], "v1")
        for number in range(WORKERS)
    ]
    for worker in workers:
        await worker.start()
    route = {
        "name": "desk", "host": HOST, "pathPrefix": "/desk/", "routeKind": "non_idempotent",
        "timeoutMs": 4000, "targetLatencyMs": 2000, "priority": 1, "attempts": 1, "sticky": False,
        "resumable": False, "service": "desk",
    }
    service = {"name": "desk", "healthPath": "/health", "connectionLimit": 360}
    await store.put("op", "config", configuration([route], [service]))
    fleet = Fleet(store, ZONES, REGIONS, BOUNDS)
    try:
        await fleet.start()
        await asyncio.sleep(4)
        caller = Caller(fleet)
        asked = []

        async def load(share, for_s):
            until, every = now() + for_s, 1 / (CAPACITY * share)
            due = now()
            while due < until:
                await asyncio.sleep(max(0, due - now()))
                asked.append(asyncio.create_task(caller.ask()))
                due += every

        await load(USUAL, 2)
        record.note("the workers are brittle")
        for worker in workers:
            worker.brittle_since = now()
        await load(USUAL, CONTACT_S + 2)
        record.note(f"so far {caller.statuses}")
        crashing = []
        if has_trouble:
            crashing = [asyncio.create_task(worker.down(CRASH_S, "crashes"))
                        for worker in workers[:CRASHED]]
        await load(BURST, BURST_S)
        record.note(f"the burst is over; so far {caller.statuses}")
        await load(USUAL, WATCHED_S)
        await asyncio.gather(*asked)
        await asyncio.gather(*crashing)
        falls = sum(worker.falls for worker in workers)
        record.note(f"{caller.count} requests: {caller.statuses}; {falls} falls, "
                    f"{sum(worker.lost for worker in workers)} requests taken by workers were lost")
        # LIMIT: the workers fall over more often than 2 + a tenth of their number.
        return falls > 2 + WORKERS / 10
    finally:
        fleet.end()


ends_on_signal()
run(main)
