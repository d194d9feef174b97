"""What idle nodes cost each other and the table, and how fast a takeover is.

Run by support/slopes; prints a table. Everything runs on loopback.
"""

import os
import re
import sys
import time

sys.dont_write_bytecode = True

import harness  # noqa: E402
import wire  # noqa: E402
from world import world  # noqa: E402

SECONDS = 8.0
# The shipped defaults, which the proofs shorten.
OPTIONS = {"shards": 256, "lease_ms": 3000, "flush_interval_ms": 33,
           "gossip_interval_ms": 500}
TICKS = os.sysconf("SC_CLK_TCK")


def processor_seconds(node):
    with open(f"/proc/{node.process.child.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(node):
    with open(f"/proc/{node.process.child.pid}/status") as file:
        return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) / 1024


def peer_bytes(node):
    found = []

    def read():
        text = str(wire.request(node.port, "GET", "/metrics").body)
        found[:] = re.findall(r"peer_bytes_sent ([0-9][0-9.e+]*)", text)
        return bool(found)

    harness.wait_until(f"metrics of {node.name}", read)
    return float(found[0])


def table_counts(running):
    return running.table.ledger()["counters"]


def measure_idle(nodes):
    with world(nodes=nodes, engines=2, services=1,
               node_options=OPTIONS) as running:
        time.sleep(4)
        before = [(processor_seconds(n), peer_bytes(n)) for n in running.nodes]
        counts = table_counts(running)
        time.sleep(SECONDS)
        after = [(processor_seconds(n), peer_bytes(n)) for n in running.nodes]
        later = table_counts(running)
        share = sum(b[0] - a[0] for a, b in zip(before, after)) / nodes
        sent = sum(b[1] - a[1] for a, b in zip(before, after)) / nodes
        rates = {k: (later[k] - counts.get(k, 0)) / SECONDS / nodes
                 for k in later}
        memory = max(resident_mb(n) for n in running.nodes)
        print(f"{nodes:6} {100 * share / SECONDS:12.2f} {memory:8.1f} "
              f"{sent / SECONDS:12.0f} {rates.get('reads', 0):9.2f} "
              f"{rates.get('scans', 0):9.2f} {rates.get('rows_read', 0):9.0f} "
              f"{rates.get('commits', 0):9.2f}", flush=True)


def main():
    print("\nnodes: idle, default settings, 256 shards; per node and second")
    print(f"{'nodes':>6} {'% of a core':>12} {'MB':>8} {'peer B/s':>12} "
          f"{'reads':>9} {'scans':>9} {'rows':>9} {'commits':>9}")
    for nodes in (3, 7, 13, 26):
        measure_idle(nodes)


if __name__ == "__main__":
    main()
