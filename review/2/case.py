"""A machine is added while a tenant asks for more than its limit. The new node
becomes the coordinator of the tenant's limit. Nodes that know it ask it, the
others go on asking the former coordinator, and both grant the full rate.

12 nodes in 4 zones on loopback addresses; four rounds, each with its own tenant
and its own new machine; a plain `safe` route."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import world as w  # noqa: E402

RATE, BURST = 100, 100
WINDOW, OVER, SLACK = 5, 0.1, 20
ALLOWED = (RATE * WINDOW + BURST) * (1 + OVER) + SLACK
USUAL = RATE / 1.6  # requests a second of the tenant on a usual day (quota_x)
HOT = 7.4 * USUAL  # hot_tenant, x at most 7.5
ZONES = ["hakata", "kokura", "tenjin", "yahata"]
# The machines that are added, one a round, and the tenant whose demand rises in
# that round. Each new node ranks first for its tenant; of any set of names, that
# holds for one tenant in 13 to 16.
ROUNDS = [
    ("front-hakata-4", "hule812"),
    ("front-kokura-4", "hule807"),
    ("front-tenjin-4", "hule802"),
    ("front-yahata-4", "hule813"),
]
USUAL_S, HOT_S = 4, 6.5
ZONES = ["hakata", "kokura", "tenjin", "yahata"]
# The new node ranks first for this tenant among all 13; for other names the
# same holds for one tenant in 13.
TENANT, NEW = "hule924", "front-hakata-4"
LOAD_S = 18

BOUNDS = [
    ("stop-grace-s", 8),
    ("apply-within-ms", 3000),
    ("drain-within-ms", 3000),
    ("rules-in-force", "base,drain,config,cost,recover,agent,stream,engine,tenants,quota,platform"),
    ("revoke-within-ms", 5000),
    ("quota-window-s", WINDOW),
    ("quota-over", OVER),
    ("quota-slack", SLACK),
]

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-ping", "host": "ficu95.example", "prefix": "/pule252/",
            "kind": "safe", "timeout_ms": 1000, "target_latency_ms": 100,
            "priority": 1, "service": "wuno96b", "max_attempts": 2,
            "public": False, "sticky": False,
        }
    ],
    "services": [
        {"name": "wuno96b", "health_path": "/healthz", "max_conns": 500, "proto": "h1", "tls": False}
    ],
    "limits": {
        "max_header_bytes": 16384, "max_body_bytes": 4194304,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
    },
    "tenants": [
        {"name": name, "api_keys": ["key-of-" + name], "priority": 1,
         "rate_per_s": RATE, "burst": BURST}
        for _, name in ROUNDS
    ],
}


async def ask(world, node, tenant, sent, counts):
    ident = "%016x" % random.getrandbits(64)
    request = (
        "GET /pule252/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\n"
        "Deadline-Ms: 1000\r\nX-Api-Key: key-of-%s\r\n\r\n" % (ident, tenant)
    ).encode()
    sent[ident] = w.now()
    answer = await world.clients.call(node.front, request, 1.0)
    status = int(answer.first.split(" ")[1]) if answer else 0
    counts[status] = counts.get(status, 0) + 1
    world.answers.append((sent[ident], ident, tenant, node.name, status))


def most(world, sent, tenant):
    """The most requests of the tenant that were sent and arrived at an engine that
    ran them in one window, and when it began."""
    runs = sorted(
        (sent[i], t) for one in world.engines for t, i, owner in one.runs if owner == tenant
    )
    worst, when = 0, 0
    for at, (start, _) in enumerate(runs):
        end = start + WINDOW
        inside = sum(1 for s, t in runs[at:] if s < end and t < end)
        if inside > worst:
            worst, when = inside, start - world.record.t0
    return worst, when


def write_requests(world):
    """Writes a line for each request: when it was sent, its id, tenant and node, the
    status of its answer (0: none), and when it arrived at the engine that ran it."""
    ran = {i: t for one in world.engines for t, i, _ in one.runs}
    t0 = world.record.t0
    world.record.file.write("sent id tenant node status ran\n")
    for at, ident, tenant, node, status in sorted(world.answers):
        arrived = "%.3f" % (ran[ident] - t0) if ident in ran else "-"
        world.record.file.write(
            "%.3f %s %s %s %d %s\n" % (at - t0, ident, tenant, node[6:], status, arrived)
        )


async def main(trouble):
    world = w.World(HERE, BOUNDS)
    world.answers = []
    try:
        for i in range(4):
            world.engine("i-%08x" % (0x7F3A91C2 + i), "wuno96b", ZONES[i % 4])
        nodes = [world.node("front-%s-%d" % (ZONES[i % 4], 1 + i // 4), ZONES[i % 4]) for i in range(12)]
        world.store.put("op", "config", CONFIG)
        await world.start()
        for one in nodes:
            one.start()
        if not await world.all_ready(nodes):
            print("nodes are not ready")
            return 2
        await asyncio.sleep(6)
        in_rotation = {one.name: True for one in nodes}
        misses = {one.name: 0 for one in nodes}

        async def health():
            while True:
                for one in list(world.nodes):
                    if one.process is None:
                        continue
                    ok = await one.is_ready()
                    misses[one.name] = 0 if ok else misses.get(one.name, 0) + 1
                    in_rotation[one.name] = misses[one.name] < 2 and (ok or in_rotation.get(one.name, False))
                await asyncio.sleep(1)

        world.task(health())
        sent, counts = {}, {}

        async def load(tenant, hot_from, until):
            due = w.now()
            while w.now() < until:
                while due <= w.now():
                    targets = [one for one in world.nodes if in_rotation.get(one.name)]
                    world.task(ask(world, random.choice(targets), tenant, sent, counts))
                    due += 1.0 / (USUAL if w.now() < hot_from else HOT)
                await asyncio.sleep(0.004)

        for (name, tenant), zone in zip(ROUNDS, ZONES):
            hot_from = w.now() + USUAL_S
            loading = world.task(load(tenant, hot_from, hot_from + HOT_S))
            await asyncio.sleep(USUAL_S)
            if trouble:
                world.node(name, zone).start()
            await loading
            await asyncio.sleep(1)
        await asyncio.sleep(1)
        write_requests(world)
        broken = False
        for name, tenant in ROUNDS:
            worst, when = most(world, sent, tenant)
            print("%s: most in %d s: %d (from %.2f s), allowed %.1f" % (tenant, WINDOW, worst, when, ALLOWED))
            world.record.add("verdict", tenant=tenant, most=worst, allowed=ALLOWED)
            broken = broken or worst > ALLOWED
        print("asked %d, answers %s" % (len(sent), counts))
        return 1 if broken else 0
    finally:
        world.close()


w.run_case(main)
