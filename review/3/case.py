"""All machines are killed at the same moment and start again at once. Clients take up the streams
that were broken off, at machines that are in touch again."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import *  # noqa: E402,F403

ZONES = ["pamplemousses-a", "pamplemousses-b", "grandbaie-old"]
REGIONS = {zone: "mru-north" for zone in ZONES}
STREAMS_PER_GATEWAY = 8
# `kill_all` of the site: the machines are down for up to 1.5 s.
DOWN_S = 1.5
# Clients wait longer before each further attempt, as long as their deadline allows.
WAITS_S = [0.5, 1.0, 2.0, 4.0, 4.0]
DEADLINE_S = 20.0


class Client:
    """A client that wants one stream, and takes it up where it was broken off."""

    def __init__(self, record, fleet, number, path):
        self.record, self.fleet, self.number, self.path = record, fleet, number, path
        self.since = now()
        self.last_event, self.first_request = None, None
        self.ids, self.is_whole = [], False
        self.connection = None
        # Attempts to take the stream up: when, at which machine, status, whether it went on.
        self.taken_up = []

    async def attempt(self, gateway, request_id):
        headers = [("X-Model", "m0"), ("X-Token-Usage", "1800,120"),
                   ("X-Prompt-Prefix", f"5c1e07a2:341,91bd3f06:227,{self.number + 4096:08x}:1232")]
        if self.last_event is not None:
            headers = [("Last-Event-Id", self.last_event), ("Resumes", self.first_request)]
        at = now()
        left_ms = int((DEADLINE_S - (at - self.since)) * 1000)
        got = await ask_stream(gateway, self.path, request_id, f"client {self.number}".encode(),
                               headers, left_ms, self.opened)
        self.record.note(
            f"client {self.number} attempt {request_id} at {gateway.number}, sent {at:.3f}, after "
            f"event {self.last_event}: status {got.status}, events {len(got.events)}, "
            f"{'whole' if got.is_whole else got.error[:160]}")
        if self.last_event is not None:
            self.taken_up.append((at, gateway, got.status, bool(got.events)))
        if got.events:
            self.first_request = self.first_request or request_id
            self.ids += [event_id for event_id, _data in got.events]
            self.last_event = self.ids[-1]
        self.is_whole = got.is_whole
        return got

    def opened(self, connection):
        self.connection = connection

    async def run(self, gateway):
        attempts = 0
        await self.attempt(gateway, f"c{self.number}a0")
        for wait_s in WAITS_S:
            if self.is_whole or now() + wait_s - self.since > DEADLINE_S:
                return
            await asyncio.sleep(wait_s)
            attempts += 1
            gateway = self.fleet.gateways[(self.number + attempts) % len(self.fleet.gateways)]
            await self.attempt(gateway, f"c{self.number}a{attempts}")


async def main(record, has_trouble):
    store = Store()
    await store.start()
    workers = [
        Worker(store, record, f"i-{number}", "lm-pool", zone, "v1") for number, zone in enumerate(ZONES)
    ]
    for worker in workers:
        worker.event_count, worker.event_pause_s = 60, 0.2
        worker.models = ["m0"]
        await worker.start()
    route = {
        "name": "scan-brief-free", "host": HOST, "pathPrefix": "/scan/", "routeKind": "streaming",
        "timeoutMs": 20000, "targetLatencyMs": 8000, "gapTargetMs": 400, "priority": 2,
        "attempts": 2, "sticky": True, "resumable": True, "service": "lm-pool",
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
        # For longer than a stream lasts, the service has had this one version.
        await asyncio.sleep(40)
        clients = [Client(record, fleet, number, "/scan/x")
                   for number in range(STREAMS_PER_GATEWAY * len(ZONES))]
        running = [asyncio.create_task(client.run(fleet.gateways[client.number % len(ZONES)]))
                   for client in clients]
        await asyncio.sleep(3)
        touch_at = now() + CONTACT_S
        if has_trouble:
            record.note("all machines are killed")
            for gateway in fleet.gateways:
                gateway.kill()
            await asyncio.sleep(DOWN_S)
            record.note("all machines start")
            touch_at = now() + CONTACT_S
            for gateway in fleet.gateways:
                gateway.start()
        else:
            # The same clients lose their connections, and no machine ends.
            record.note("all clients lose their connections")
            touch_at = now()
            for client in clients:
                client.connection.transport.abort()
        await asyncio.gather(*running)
        # New streams, at the machines in touch.
        new = [Client(record, fleet, 100 + number, "/scan/x") for number in range(12)]
        for worker in workers:
            worker.event_count = 3
        await asyncio.gather(*[
            client.attempt(fleet.gateways[client.number % len(ZONES)], f"c{client.number}a0")
            for client in new])
        begun = sum(bool(client.ids) for client in new)
        in_touch = [attempt for client in clients for attempt in client.taken_up
                    if attempt[0] > touch_at and attempt[2] is not None]
        gone_on = sum(goes_on for _at, _gateway, _status, goes_on in in_touch)
        streams = {client.number for client in clients
                   if any(at > touch_at and status is not None
                          for at, _gateway, status, _goes_on in client.taken_up)}
        record.note(f"machines in touch from {touch_at:.3f}; streams taken up there: {len(streams)} in "
                    f"{len(in_touch)} attempts, {gone_on} went on; new streams: {begun} of {len(new)} "
                    f"began; whole: {sum(client.is_whole for client in clients)} of {len(clients)}")
        if has_trouble and len(streams) < 12:
            raise CannotRun("fewer than 12 streams were taken up at machines in touch")
        if not in_touch:
            return False
        # LOST: the share that goes on is under half of the share of new streams that begin.
        return len(streams) >= 12 and gone_on / len(in_touch) < 0.5 * begun / len(new)
    finally:
        fleet.end()


ends_on_signal()
run(main)
