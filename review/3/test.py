"""The only machine that fits fails a task while it has trouble. The trouble ends, other jobs' tasks complete there, and
the job whose task failed waits."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", ".."))
from review.standins.deployment import CannotRun, job, run_case  # noqa: E402

SETTINGS = {
    "workers": {"report_s": 3.0, "lease_s": 34.0, "gang_wait_s": 50.0, "gang_peer_s": 5.0, "cancel_s": 54.0},
    "state": {"rps": 200.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 48},
    "cloud": {"rps": 5.0, "list_lag_s": 8.0},
    "quota": {"cpu": 0.048, "ram_mb": 200.0, "max_sockets": 3500},
}
TYPES = [{"Name": "pick-server", "Vcpus": 32.0, "Gpus": 0.0, "MemoryGb": 128.0, "CacheGb": 60.0, "FetchGbPerS": 0.3,
          "Hourly": 1.54, "LowPrice": 0.38, "BootS": 20.0, "Sites": ["attica-hall"]}]
TEAMS = [{"name": "duty-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]
LONG, FAILED, SICK_S, WAIT_S = "wk-000001", "wk-000002", 5.0, 90.0
RUN_S = {LONG: 120.0, FAILED: 5.0}


def phase_of(d, uid):
    with d.fleet.lock:
        return [what for _, what, _, shard, _ in d.fleet.events if shard.startswith(uid + "/")]


def play(make):
    d = make(SETTINGS, TYPES, TEAMS, [("pick-server", "attica-hall", False, ["img-01"])], capacity=1,
             run_s=lambda j: RUN_S.get(j["Uid"], 3.0))
    d.await_ready()
    if d.submit(1, job(LONG, "duty-desk", 1, 4.0, 8.0, 100.0)) not in (200, 201):
        raise CannotRun("the first job was not accepted")
    while "starts" not in phase_of(d, LONG):
        time.sleep(0.1)
    machine = next(iter(d.fleet.hosts.values()))
    if d.trouble:
        with d.fleet.lock:
            machine.sick_until = time.monotonic() + SICK_S
        d.note("trouble: %s fails every task that it starts, for %s s" % (machine.name, SICK_S))
    if d.submit(2, job(FAILED, "duty-desk", 1, 8.0, 28.0, 5.0)) not in (200, 201):
        raise CannotRun("the second job was not accepted")
    time.sleep(SICK_S + 0.5)
    d.note("%s: %s" % (FAILED, phase_of(d, FAILED)))
    if d.trouble and "ends: error" not in phase_of(d, FAILED):
        raise CannotRun("no task met the trouble")
    room_since, number, submitted, last_poll = None, 0, 0.0, 0.0
    while time.monotonic() - d.started < 112.0:
        time.sleep(0.2)
        now = time.monotonic()
        with d.fleet.lock:
            held = [t.job for t in machine.tasks.values() if t.phase != "ended"]
            fits = (not machine.off and machine.token > 0
                    and machine.kind["Vcpus"] - sum(t["Vcpus"] for t in held) >= 8.0
                    and machine.kind["MemoryGb"] - sum(t["MemoryGb"] for t in held) >= 28.0)
        room_since = (room_since or now) if fits else None
        # One other job at a time, so that there is always room for the job that waits.
        if now - submitted > 10.0:
            number, submitted = number + 1, now
            d.submit(number % 3, job("wk-0001%02d" % number, "duty-desk", 1, 8.0, 28.0, 3.0))
        if now - last_poll > 4.0:
            last_poll = now
            if d.poll(number % 3, FAILED)[1] == "done":
                d.note_events()
                return ""
        if room_since and now - room_since > WAIT_S:
            break
    else:
        raise CannotRun("the machine had no room for %.0f s on end" % WAIT_S)
    started = phase_of(d, FAILED).count("starts")
    with d.fleet.lock:
        done = sorted({s.split("/")[0] for _, what, _, s, _ in d.fleet.events if what == "ends: done"})
    d.note("%s started %d times in all; done on %s since: %s" % (FAILED, started, machine.name, done))
    d.note_events()
    if started > (1 if d.trouble else 0):
        return ""
    return "%s waits after the trouble; %s has had room for it for %.0f s on end and completed %d other jobs" % (
        FAILED, machine.name, WAIT_S, len(done))


run_case(HERE, play)
