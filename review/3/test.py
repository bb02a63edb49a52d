"""A gang runs on three machines that have its image. One of them, a spot machine, is taken back with a notice. The
machine that replaces it needs longer for the image than `gang_wait_s`."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", ".."))
from review.standins.deployment import CannotRun, job, run_case  # noqa: E402

SETTINGS = {
    "workers": {"report_s": 5.0, "lease_s": 29.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 54.0},
    "state": {"rps": 150.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 16},
    "cloud": {"rps": 8.0, "list_lag_s": 3.0},
    "quota": {"cpu": 0.16, "ram_mb": 136.0, "max_sockets": 2500},
}
TYPES = [{"Name": "vision-node", "Vcpus": 16.0, "Gpus": 2.0, "MemoryGb": 64.0, "CacheGb": 120.0, "FetchGbPerS": 0.1,
          "Hourly": 4.69, "LowPrice": 1.48, "BootS": 40.0, "Sites": ["macedonia-bay"]}]
TEAMS = [{"name": "bridge-watch", "cpus": 120.0, "cpus_max": 250.0, "gpus": 0.0, "gpus_max": 0.0}]
GANG, IMAGE, IMAGE_GB, RUN_S, NOTICE_S, WAIT_S = "wk-000100", "img-crack", 6.0, 20.0, 12.5, 100.0


def all_run(d):
    """Whether all tasks of the gang run, or it is done."""
    with d.fleet.lock:
        running = {t.shard for m in d.fleet.hosts.values() for t in m.tasks.values() if t.phase == "running"}
        return GANG in d.fleet.done or len(running) == 3


def has_room(d):
    """Whether three machines are up and stay, each of which the gang has or could have to itself."""
    with d.fleet.lock:
        return sum(1 for m in d.fleet.hosts.values() if m.token > 0 and not m.off and m.taken_at is None) >= 3


def play(make):
    machines = [("vision-node", "macedonia-bay", True, [IMAGE])] * 3
    d = make(SETTINGS, TYPES, TEAMS, machines, boot_s=2.0, capacity=6, run_s=lambda j: RUN_S)
    d.await_ready()
    gang = job(GANG, "bridge-watch", 3, 15.0, 26.0, RUN_S, JobKind="group", ImageRef=IMAGE, PullGb=IMAGE_GB)
    if d.submit(1, gang) not in (200, 201):
        raise CannotRun("the gang was not accepted")
    until = time.monotonic() + 15.0
    while not all_run(d):
        if time.monotonic() > until:
            raise CannotRun("the gang did not start on machines that have its image")
        time.sleep(0.1)
    d.note("all tasks of the gang run")
    time.sleep(1.0)
    taken = None
    if d.trouble:
        taken = next(iter(d.fleet.hosts))
        d.note("trouble: %s gets notice that it is taken back in %s s" % (taken, NOTICE_S))
        d.fleet.take_back(taken, NOTICE_S)
    room_since, last_poll = None, 0.0
    while time.monotonic() - d.started < 115.0:
        time.sleep(0.25)
        now = time.monotonic()
        if all_run(d):
            if GANG in d.fleet.done and d.poll(0, GANG)[1] == "done":
                d.note_events()
                return ""
            room_since = None
        elif has_room(d):
            room_since = room_since or now
        else:
            room_since = None
        if now - last_poll > 5.0:
            last_poll = now
            d.poll(int(now) % 3, GANG)
            with d.fleet.lock:
                for m in d.fleet.hosts.values():
                    d.note("%s (image %s): %s" % (m.name, "cached" if IMAGE in m.images else "missing",
                                                  [(t.shard, t.attempt, t.phase) for t in m.tasks.values()]))
        if room_since and now - room_since > WAIT_S:
            d.note_events()
            return "%s did not run for %.0f s though three machines were there for it" % (GANG, now - room_since)
    raise CannotRun("neither done nor without work for %.0f s" % WAIT_S)


run_case(HERE, play)
