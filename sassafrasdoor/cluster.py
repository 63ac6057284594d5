"""A small cluster of real processes on one machine, for tests and the demo.

Starts the platform stand-in, backend server stand-ins and entry instances (an
entry and a control process each), publishes a table and calls them over HTTP.
"""

import json

from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sassafrasdoor.fetch import entry_request, fetch_response
from sassafrasdoor.support import ROOT, Processes, until

ZONES = ("zone-a", "zone-b", "zone-c")
CALL_TIMEOUT = 60.0
PEER_KEY = "a-key-for-peers-in-tests"
KEYS = {
    "trainer": "trainer-key",
    "idempotent": "idempotent-key",
    "once": "once-key",
    "chat": "idempotent-key",
}
MODEL = "sign-writer"

TABLE = json.loads((ROOT / "samples" / "table.json").read_text("utf-8"))

# Tests wait for conditions and not for production timers.
SHORT_INTERVALS = {
    "lease": {"duration": 3.0, "renew_interval": 1.0},
    "drain": {"spread": 1.0},
    "membership": {"probe_interval": 0.3, "suspicion_timeout": 1.0},
    "platform": {"poll_interval": 0.2},
    "routing": {"load_interval": 0.3, "discovery_valid": 1.0},
}


class Instance:
    """An entry instance of the cluster: its two processes and addresses."""

    __slots__ = ("control", "entry", "name", "settings_path")

    def __init__(self, name, settings_path):
        self.name = name
        self.settings_path = settings_path
        self.control = None
        self.entry = None

    @property
    def address(self):
        """Where callers connect, ``host:port``."""
        return self.entry.ready["entry"]

    def kill(self):
        """Kill both processes."""
        self.entry.kill()
        self.control.kill()

    def freeze(self):
        """Suspend both processes."""
        self.entry.freeze()
        self.control.freeze()

    def thaw(self):
        """Resume both processes."""
        self.entry.thaw()
        self.control.thaw()

    def stop(self):
        """Stop both with SIGTERM; return the exit codes (entry, control)."""
        return self.entry.stop(), self.control.stop()


class Cluster:
    """The processes of one run; an async context manager."""

    def __init__(self, settings=None, ca_file=""):
        self.processes = Processes()
        self._ca_file = ca_file
        self.platform = None
        self.backends = {}
        self.instances = []
        self._settings = settings or {}
        self._http = SimpleAsyncHTTPClient(force_instance=True, max_clients=500)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exception):
        self._http.close()
        self.processes.__exit__(*exception)

    @property
    def platform_url(self):
        """The platform stand-in's base URL."""
        return self.platform.ready["url"]

    def start_platform(self):
        """Start the platform stand-in."""
        self.platform = self.processes.serve("standin", "platform")

    def start_engine(self, name, *options, service="assistant", zone=ZONES[0]):
        """Start an engine stand-in that registers itself."""
        if "--model" not in options:
            options = ("--model", MODEL, *options)
        return self._start_backend("engine", name, service, zone, *options)

    def start_service(self, name, *options, service="occupancy", zone=ZONES[0]):
        """Start a plain service stand-in that registers itself."""
        return self._start_backend("service", name, service, zone, *options)

    def _start_backend(self, kind, name, service, zone, *options):
        location = ["--platform", self.platform_url, "--name", name]
        location += ["--service", service, "--zone", zone]
        process = self.processes.serve("standin", kind, *location, *options)
        self.backends[name] = process
        return process

    def settings_for(self, name, zone, **platform):
        """Return the settings document of an instance."""
        document = {
            "instance": {"name": name, "availability_zone": zone},
            "platform": {
                "log_url": self.platform_url,
                "instances_url": self.platform_url,
                **platform,
            },
            "membership": {"seeds": self._seeds(), "peer_keys": [PEER_KEY]},
        }
        for overrides in (SHORT_INTERVALS, self._settings):
            for section, values in overrides.items():
                document.setdefault(section, {}).update(values)
        return document

    def _seeds(self):
        running = [
            instance
            for instance in self.instances
            if instance.control.returncode is None
        ]
        return [instance.control.ready["gossip"] for instance in running]

    def start_instance(self, name, zone=ZONES[0], **platform):
        """Start an entry instance: its control process, then its entry process."""
        document = self.settings_for(name, zone, **platform)
        path = self.processes.write_json(f"{name}.json", document)
        instance = Instance(name, path)
        instance.control = self.processes.serve("control", "--settings", path)
        address = instance.control.ready["control"]
        instance.entry = self.processes.serve(
            "entry", "--settings", path, "--control", address
        )
        self.instances.append(instance)
        return instance

    async def start(self, instances=3, engines=2, services=1, engine_options=()):
        """Start a cluster with ``TABLE`` in force and return it."""
        self.start_platform()
        for index in range(engines):
            zone = ZONES[index % len(ZONES)]
            self.start_engine(f"engine-{index + 1}", *engine_options, zone=zone)
        for index in range(services):
            zone = ZONES[index % len(ZONES)]
            self.start_service(f"service-{index + 1}", zone=zone)
        await self.announce(MODEL, 1)
        await self.propose(TABLE)
        for index in range(instances):
            self.start_instance(f"entry-{index + 1}", ZONES[index % len(ZONES)])
        await self.wait_ready()
        return self

    async def wait_ready(self):
        """Wait until each running instance is ready and lists all backends as alive."""
        for instance in self.instances:
            if instance.entry.returncode is None:
                await until(
                    lambda instance=instance: self._is_ready(instance), what="ready"
                )

    async def _is_ready(self, instance):
        status, _ = await self.get(instance.address, "/readyz")
        if status != 200:
            return False
        _, status_page = await self.get(instance.address, "/v1/status")
        alive = {
            backend["name"]
            for backend in status_page["backends"]
            if backend["state"] == "alive"
        }
        return alive >= {
            name
            for name, process in self.backends.items()
            if process.returncode is None
        }

    async def propose(self, table, base=0, proposal="proposal-1"):
        """Append a table proposal to the agreed stream; return its offset."""
        body = {"kind": "proposal", "id": proposal, "base": base, "table": table}
        return await self.append({**body, "author": "operator"})

    async def announce(self, model, version):
        """Append a weights announcement; return its offset."""
        return await self.append(
            {"kind": "weights", "model": model, "version": version}
        )

    async def append(self, body, stream="agreed"):
        """Append a record to a stream of the platform's log."""
        address = self.platform_url.removeprefix("http://")
        status, answer = await self.post(address, f"/log/{stream}", body)
        assert status == 200, (status, answer)
        return answer["offset"]

    async def platform_faults(self, **faults):
        """Set faults of the platform stand-in."""
        address = self.platform_url.removeprefix("http://")
        return await self.post(address, "/standin/faults", faults)

    async def faults(self, name, **faults):
        """Set faults of a backend server stand-in."""
        address = self.backends[name].ready["address"]
        return await self.post(address, "/standin/faults", faults)

    async def truth(self, name):
        """Return a backend server stand-in's own record of what it did."""
        _, actions = await self.get(
            self.backends[name].ready["address"], "/standin/truth"
        )
        return actions

    async def get(self, address, path, key=""):
        """GET; return ``(status, JSON document)``; status 599 if there is no reply."""
        return await self.call("GET", address, path, key)

    async def post(self, address, path, document, key="", headers=None):
        """POST a JSON document; return ``(status, JSON document)``."""
        return await self.call("POST", address, path, key, document, headers)

    async def call(self, method, address, path, key="", document=None, headers=None):
        """Call an address once, without retries; return ``(status, document)``."""
        response = await self.raw(method, address, path, key, document, headers)
        if response.body and "json" in response.headers.get("Content-Type", "json"):
            return response.code, json.loads(response.body)
        return response.code, {}

    async def raw(self, method, address, path, key="", document=None, headers=None):
        """Call an address once and return Tornado's response."""
        all_headers = dict(headers or {})
        if key:
            all_headers["Authorization"] = f"Bearer {key}"
        entry_addresses = {instance.address for instance in self.instances}
        request = entry_request(
            address,
            path,
            self._ca_file if address in entry_addresses else "",
            method=method,
            headers=all_headers,
            body=None if document is None else json.dumps(document),
            request_timeout=CALL_TIMEOUT,
            allow_nonstandard_methods=True,
        )
        return await fetch_response(self._http, request)
