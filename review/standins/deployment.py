"""A small deployment: three controllers as processes, the stand-ins, and a user."""
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import traceback

from . import web
from .fleet import Fleet
from .state import StateService

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
# `run` of deploy/service.toml, to which the path of the settings file is appended.
RUN = ["target/release/cypressgap", "--operators", "deploy/operators.lisp", "--config"]


class CannotRun(Exception):
    """The case could not run."""


class Deployment:
    def __init__(self, folder, settings, types, teams, machines, **fleet_options):
        """`settings`: numbers of the settings file by section. `machines`: (type, zone, spot, cached images) of those up
        at the start."""
        self.started = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.record_lock = threading.Lock()
        self.temp = tempfile.mkdtemp(prefix="cypressgap-review-")
        self.settings, self.teams = settings, teams
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        state = settings["state"]
        self.state = StateService(state["rps"], state["write_rps"], state["value_kb"], state["txn_ops"], self.note)
        ports = web.free_ports(6)
        self.members = ["worker-%d" % n for n in range(3)]
        self.front = ["%s:%d" % (web.LOOPBACK, port) for port in ports[:3]]
        self.peer = ["%s:%d" % (web.LOOPBACK, port) for port in ports[3:]]
        self.fleet = Fleet(types, settings["workers"], list(zip(self.members, self.front)), note=self.note,
                           **fleet_options)
        self.zones = sorted({zone for t in types for zone in t["Sites"]})
        self.processes = [None] * 3
        self.note("trouble: %s" % ("yes" if self.trouble else "no"))
        if not os.path.exists(os.path.join(ROOT, RUN[0])):
            raise CannotRun("%s is not built" % RUN[0])
        with self.fleet.lock:
            for host_type, zone, spot, images in machines:
                name = self.fleet.rent(host_type, zone, spot, 0.1)
                self.fleet.hosts[name].images = {image: True for image in images}
        for n in range(3):
            self.start_node(n)

    def note(self, text):
        with self.record_lock:
            if not self.record.closed:
                self.record.write("%8.2f  %s\n" % (time.monotonic() - self.started, text))
                self.record.flush()

    # --- controllers ---

    def settings_text(self, n):
        lines = ['member = "%s"' % self.members[n], 'domain = "%s"' % self.zones[0],
                 'front = "%s"' % self.front[n], 'peer_bind = "%s"' % self.peer[n]]
        for other in range(3):
            if other != n:
                lines += ["[[seeds]]", 'member = "%s"' % self.members[other], 'domain = "%s"' % self.zones[0],
                          'address = "%s"' % self.peer[other]]
        lines += ["[endpoints]", 'cloud = "%s"' % self.fleet.address, 'state = "%s"' % self.state.address,
                  "[deployment]", "count = 3", 'zones = ["%s"]' % self.zones[0], "skew_ms = 100.0"]
        for team in self.teams:
            lines += ["[[deployment.teams]]"] + ["%s = %s" % (k, quoted(v)) for k, v in team.items()]
        for section, values in self.settings.items():
            lines += ["[deployment.%s]" % section] + ["%s = %s" % (k, quoted(v)) for k, v in values.items()]
        return "\n".join(lines) + "\n"

    def start_node(self, n):
        path = os.path.join(self.temp, "node-%d.toml" % n)
        with open(path, "w") as f:
            f.write(self.settings_text(n))
        log = open(os.path.join(self.temp, "node-%d.log" % n), "a")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.processes[n] = subprocess.Popen(RUN + [path], cwd=ROOT, stdin=subprocess.DEVNULL,
                                             stdout=log, stderr=log, env=environment)
        log.close()
        self.note("%s starts" % self.members[n])

    def signal_node(self, n, number):
        self.note("%s gets %s" % (self.members[n], signal.Signals(number).name))
        self.processes[n].send_signal(number)

    def kill_node(self, n):
        self.signal_node(n, signal.SIGKILL)
        self.processes[n].wait()

    def leader(self):
        """The index of the node that the state service names as the leader."""
        with self.state.lock:
            entry = self.state.keys.get("ctl/leader")
        return self.members.index(entry[0]["member"]) if entry else None

    def await_ready(self, within_s=25.0):
        """Waits until all nodes answer /up and accept, and a machine reports."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            up = [web.call_once(a, "GET", "/up", timeout=1.0)[0] == 200 for a in self.front]
            with self.fleet.lock:
                reports = all(m.token > 0 for m in self.fleet.hosts.values())
            if all(up) and reports:
                self.note("all controllers are up, all machines report")
                return
            time.sleep(0.2)
        raise CannotRun("the controllers did not come up")

    # --- a user ---

    def submit(self, node, job, give_up_s=60.0):
        """Submits a job, with the retries that the protocol describes. Returns the status."""
        with self.fleet.lock:
            self.fleet.jobs[job["Uid"]] = job
        until = time.monotonic() + give_up_s
        while True:
            status, headers, answer = web.call_once(self.front[node], "POST", "/api/jobs", job)
            self.note("POST /api/jobs %s (%s, %d tasks of %s CPUs) at %s -> %s %s" % (
                job["Uid"], job["JobKind"], job["Shards"], job["Vcpus"], self.members[node], status, answer))
            if status in (200, 201, 400, 422) or time.monotonic() > until:
                return status
            time.sleep(max(1.0, float(headers.get("Retry-After") or 1)))
            node = (node + 1) % 3

    def poll(self, node, uid):
        """Asks for a job. Returns (status, phase)."""
        status, _, answer = web.call_once(self.front[node], "GET", "/api/jobs/" + uid, timeout=2.0)
        phase = answer.get("Phase") if isinstance(answer, dict) else None
        self.note("GET %s at %s -> %s %s" % (uid, self.members[node], status, answer))
        return status, phase

    def withdraw(self, node, uid, give_up_s=60.0):
        until = time.monotonic() + give_up_s
        while True:
            status, headers, answer = web.call_once(self.front[node], "POST", "/api/jobs/%s/withdraw" % uid)
            self.note("POST %s/withdraw at %s -> %s %s" % (uid, self.members[node], status, answer))
            if status == 200 or time.monotonic() > until:
                return status, (answer or {}).get("Phase")
            time.sleep(max(1.0, float(headers.get("Retry-After") or 1)))
            node = (node + 1) % 3

    def note_events(self, most=40):
        """Writes what ran to the record, as counts by machine, job and kind of event."""
        with self.fleet.lock:
            events = list(self.fleet.events)
        counts = {}
        for at, what, machine, shard, _ in events:
            key = (machine, shard.rsplit("/", 1)[0], what)
            first, last, count = counts.get(key, (at, at, 0))
            counts[key] = (first, at, count + 1)
        for (machine, job, what), (first, last, count) in sorted(counts.items(), key=lambda c: c[1][0])[:most]:
            self.note("ran: %s on %s %s, %d times from %.2f to %.2f" % (
                job, machine, what, count, first - self.started, last - self.started))

    def note_log(self, words, most=12):
        """Copies lines of the controllers' logs that contain one of these words to the record."""
        for n in range(3):
            with open(os.path.join(self.temp, "node-%d.log" % n)) as f:
                lines = [line.strip() for line in f if any(word in line for word in words)]
            for line in lines[:most]:
                self.note("log of %s: %s" % (self.members[n], line))

    def close(self):
        for process in self.processes:
            if process and process.poll() is None:
                process.kill()
        for process in self.processes:
            if process:
                process.wait()
        self.fleet.stop()
        self.record.close()
        if os.environ.get("KEEP"):
            print("kept: " + self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def quoted(value):
    if isinstance(value, dict):
        return "{ " + ", ".join("%s = %s" % (k, quoted(v)) for k, v in value.items()) + " }"
    return '"%s"' % value if isinstance(value, str) else str(value)


def job(uid, owner, shards, cpus, memory_gb, expected_s, **others):
    """A submission with the usual values of the fields that are not named."""
    fields = {"Uid": uid, "JobClass": "work", "Owner": owner, "JobKind": "batch", "Urgency": "standard",
              "Shards": shards, "Vcpus": cpus, "Gpus": 0.0, "MemoryGb": memory_gb, "ImageRef": "img-01",
              "PullGb": 0.5, "HostTypes": None, "Site": None, "SamePlace": False, "Spread": False,
              "Preemptible": True, "ExpectedS": expected_s, "SnapshotEveryS": 0.0, "SnapshotS": 0.0, "DueS": None}
    fields.update(others)
    return fields


def run_case(folder, play):
    """Runs `play(make)`, which makes its deployment by `make(...)` and returns what was broken or an empty text.
    Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    made = []

    def make(*arguments, **options):
        deployment = Deployment.__new__(Deployment)
        made.append(deployment)
        deployment.processes = []
        deployment.__init__(folder, *arguments, **options)
        return deployment

    def on_signal(number, _):
        raise CannotRun("ended by signal %d" % number)

    signal.signal(signal.SIGTERM, on_signal)
    try:
        broken = play(make)
        made[0].note("result: %s" % (broken or "the rule held"))
        print("rule broken: " + broken if broken else "rule held")
        code = 1 if broken else 0
    except CannotRun as e:
        print("could not run: %s" % e)
        code = 2
    except Exception:
        traceback.print_exc()
        code = 2
    finally:
        for deployment in made:
            deployment.close()
    sys.stdout.flush()
    os._exit(code)
