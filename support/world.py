"""A whole system on the loopback address: stand-ins, links and nodes."""

import pathlib
import subprocess
import tempfile

import callers
import harness
import wire

WORKSPACE = "corrib"
OTHER_WORKSPACE = "lesesaal"
MODEL = "stain-advice"
# Short intervals, so that a takeover fits into a proof of some seconds.
NODE_OPTIONS = {
    "shards": 16, "lease_ms": 1500, "flush_interval_ms": 10,
    "gossip_interval_ms": 100, "log_level": "info"}


# Of all worlds that this process made.
DIRECTORIES = []


class world:
    """Nodes n1.., engines e1.., services s1.., and the platform.

    Every node reaches the table and the objects by links of its own; every
    target is reached by a link that all nodes share.
    """

    def __init__(self, nodes=3, engines=2, services=1, engine_options=(),
                 service_options=(), limits=None, node_options=None,
                 one_service_each=False):
        # Logs and the recorded history; the caller removes it if it likes.
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="walnutmill-"))
        DIRECTORIES.append(self.directory)
        self.counts = (nodes, engines, services)
        self.engine_options = list(engine_options)
        self.service_options = list(service_options)
        self.limits = limits or {}
        self.node_options = dict(NODE_OPTIONS, **(node_options or {}))
        self.one_service_each = one_service_each
        self.record = callers.recorder()
        self.links = {}
        self.engines, self.services, self.nodes = [], [], []
        self.table = self.objects = None

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        try:
            self.write_history()
        finally:
            self.stop()

    def write_history(self):
        """Keeps what was recorded beside the logs, to read after a failure."""
        harness.write_json(self.directory / "history.json", {
            "attempts": self.record.attempts,
            "programs": self.record.programs,
            "executions": self.executions()})

    def start(self):
        nodes, engines, services = self.counts
        self.table = harness.standin(self.directory, "table", "table")
        self.objects = harness.standin(self.directory, "objects", "objects")
        for i in range(engines):
            self.engines.append(harness.standin(
                self.directory, "engine", f"e{i + 1}", "--model", MODEL,
                "--record-turns", *self.engine_options))
        for i in range(services):
            self.services.append(harness.standin(
                self.directory, "service", f"s{i + 1}",
                *self.service_options))
        for target in self.engines + self.services:
            self.links[target.name] = harness.relay(target.port)
        self.write_first_configuration()
        for i in range(nodes):
            self.add_node(f"n{i + 1}", harness.ZONES[i % len(harness.ZONES)])
        for each in self.nodes:
            each.start()
        for each in self.nodes:
            each.wait_ready()

    def add_node(self, name, zone):
        table = self.links["table-" + name] = harness.relay(self.table.port)
        objects = self.links["objects-" + name] = harness.relay(
            self.objects.port)
        added = harness.node(self.directory, name, zone, table.url,
                             objects.url, self.node_options)
        self.nodes.append(added)
        return added

    def write_first_configuration(self):
        path = harness.write_json(
            self.directory / "configuration.json", self.configuration())
        subprocess.run(
            [harness.NODE, "init", "--table-url", self.table.url, path],
            check=True, stdout=subprocess.DEVNULL)

    def configuration(self):
        engines = [e.name for e in self.engines]
        plain = [s.name for s in self.services]
        services = [
            {"name": "quote-agents", "kind": "engine", "model": MODEL,
             "targets": engines, "call_timeout_ms": 20_000},
            {"name": "depot-app", "kind": "plain", "repeatable": True,
             "targets": plain[:1] if self.one_service_each else plain,
             "call_timeout_ms": 5_000}]
        names = [s["name"] for s in services]
        return {
            "version": 1, "zones": harness.ZONES,
            "targets": [self.target(t, "engine") for t in self.engines] +
                       [self.target(t, "plain") for t in self.services],
            "services": services,
            "workspaces": [
                workspace(WORKSPACE, names, harness.CALLER_TOKEN,
                          harness.OPERATOR_TOKEN),
                workspace(OTHER_WORKSPACE, names, harness.OTHER_TOKEN, None)],
            "limits": self.limits}

    def target(self, standin, kind):
        index = (self.engines + self.services).index(standin)
        made = {"name": standin.name, "kind": kind,
                "zone": harness.ZONES[index % len(harness.ZONES)],
                "address": self.links[standin.name].url}
        if kind == "engine":
            made.update(models=[MODEL], checks_fencing=True)
        else:
            made.update(answers_outcome_queries=True)
        return made

    def agent(self, rng, name, **options):
        return callers.agent(self.nodes, self.record, rng, name=name,
                             **options)

    def executions(self):
        """All entries of the targets' ledgers, in order of time."""
        found = []
        for target in self.engines + self.services:
            for entry in target.ledger()["entries"]:
                found.append(dict(entry, target=target.name))
        return sorted(found, key=lambda e: e["at_us"])

    def holds(self):
        return {e.name: e.ask("GET", "/v1/holds").body["holds"]
                for e in self.engines}

    def operate(self, text, node=None, **fields):
        """Sends an operator's command to a node, the first one by default."""
        return wire.request(
            (node or self.nodes[0]).port, "POST", "/v1/operate",
            dict(fields, text=text), harness.OPERATOR_TOKEN, 30)

    def stop(self):
        for each in self.nodes:
            each.process.kill()
        for each in self.engines + self.services + [self.table, self.objects]:
            if each:
                each.process.terminate(10)
        for link in self.links.values():
            link.close()


def workspace(name, services, caller, operator):
    tokens = [{"sha256": harness.sha256(caller), "principal": "caller",
               "rights": ["call"]}]
    if operator:
        tokens.append({"sha256": harness.sha256(operator),
                       "principal": "operator",
                       "rights": ["call", "operate"]})
    return {"name": name, "services": services, "tokens": tokens}
