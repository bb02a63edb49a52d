"""A state service as PROTOCOL-cypressgap.md describes it: keys, transactions, leases, watches and limits."""
import bisect
import json
import threading
import time

from . import web

KEPT_CHANGES = 10_000
MAX_TXN_BYTES = 64 * 1024
MAX_PAGE_BYTES = 512 * 1024


def json_size(value):
    """The size in the form in which the pages measure limits."""
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


class Bucket:
    """A rate with a burst of one second's worth."""

    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class StateService:
    def __init__(self, rps, write_rps, value_kb, txn_ops, note=lambda text: None):
        self.lock = threading.Condition()
        self.keys = {}
        self.order = []
        self.revision = 0
        self.log = []
        self.leases = {}
        self.next_lease = 1
        self.note = note
        self.out = False
        self.refused = {}
        self.set_limits(rps, write_rps, value_kb, txn_ops)
        self.server, self.address = web.serve(self.handle)
        threading.Thread(target=self.expire_leases, daemon=True).start()

    def set_limits(self, rps, write_rps, value_kb, txn_ops):
        with self.lock:
            self.requests, self.writes = Bucket(rps), Bucket(write_rps)
            self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops

    def set_outage(self, out):
        with self.lock:
            self.out = out
            if not out:
                now = time.monotonic()
                for lease in self.leases.values():
                    lease["ends"] = now + lease["life"]
            self.lock.notify_all()

    def expire_leases(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                if self.out:
                    continue
                now = time.monotonic()
                for permit in [p for p, lease in self.leases.items() if lease["ends"] < now]:
                    self.end_lease(permit)

    def end_lease(self, permit):
        self.leases.pop(permit, None)
        attached = [key for key, entry in self.keys.items() if entry[2] == permit]
        if attached:
            self.revision += 1
            for key in attached:
                self.remove(key)
            self.lock.notify_all()

    def remove(self, key):
        if self.keys.pop(key, None) is not None:
            self.order.pop(bisect.bisect_left(self.order, key))
            self.append({"Delete": key, "Stamp": self.revision})

    def put(self, key, value, permit):
        if key not in self.keys:
            bisect.insort(self.order, key)
        self.keys[key] = (value, self.revision, permit)
        self.append({"Put": key, "V": value, "Stamp": self.revision})

    def append(self, change):
        self.log.append(change)
        if len(self.log) > KEPT_CHANGES:
            del self.log[: len(self.log) - KEPT_CHANGES]

    def handle(self, method, path, query, body, size):
        with self.lock:
            if path == "/follow" and method == "GET":
                return self.follow(query)
            if self.out:
                return 503, {"error": "trouble"}
            if not self.requests.take(1):
                return 429, {"error": "too many requests"}
            if path == "/txn" and method == "POST":
                return self.transaction(body)
            if path == "/store" and method == "GET":
                return self.page(query)
            if path.startswith("/store/") and method == "GET":
                return self.read(path[len("/store/"):])
            if path == "/leases" and method == "POST":
                life = body["LifeMs"] / 1000.0
                permit, self.next_lease = self.next_lease, self.next_lease + 1
                self.leases[permit] = {"life": life, "ends": time.monotonic() + life}
                return 200, {"Permit": permit}
            if path.startswith("/leases/"):
                return self.lease_call(method, path.split("/"))
            return 400, {"error": "malformed"}

    def lease_call(self, method, parts):
        permit = int(parts[2])
        lease = self.leases.get(permit)
        if method == "DELETE":
            self.end_lease(permit)
            return 200, {}
        if lease is None:
            return 404, {"error": "no such lease"}
        lease["ends"] = time.monotonic() + lease["life"]
        return 200, {"Permit": permit}

    def read(self, key):
        entry = self.keys.get(key)
        if entry is None:
            return 404, {"LedgerRev": self.revision}
        found = {"Path": key, "V": entry[0], "Stamp": entry[1]}
        if entry[2] is not None:
            found["Permit"] = entry[2]
        return 200, found

    def page(self, query):
        prefix, after = query.get("Under", ""), query.get("From")
        most = min(int(query.get("Most", 1000)), 1000)
        start = bisect.bisect_left(self.order, prefix)
        if after is not None:
            start = max(start, bisect.bisect_right(self.order, after))
        pairs, size, more = [], 0, False
        for key in self.order[start:]:
            if not key.startswith(prefix):
                break
            value, stamp, _ = self.keys[key]
            pair = {"Path": key, "V": value, "Stamp": stamp}
            size += json_size(pair)
            if len(pairs) >= most or size > MAX_PAGE_BYTES:
                more = True
                break
            pairs.append(pair)
        return 200, {"Pairs": pairs, "HasNext": more, "LedgerRev": self.revision}

    def follow(self, query):
        prefix, after = query.get("Under", ""), int(query.get("From", 0))
        until = time.monotonic() + min(int(query.get("BlockMs", 0)), 60_000) / 1000.0
        if not self.out and not self.requests.take(1):
            return 429, {"error": "too many requests"}
        if self.out:
            return 503, {"error": "trouble"}
        while True:
            if not self.out:
                if self.log and self.log[0]["Stamp"] > after + 1 and len(self.log) >= KEPT_CHANGES:
                    return 410, {"LedgerRev": self.revision}
                found = [
                    change for change in reversed_until(self.log, after)
                    if (change.get("Put") or change.get("Delete")).startswith(prefix)
                ]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {"LedgerRev": self.revision, "Log": found}
                self.lock.wait(left)
            else:
                self.lock.wait(1.0)

    def transaction(self, body):
        conditions, changes = body.get("If") or [], body.get("Apply") or []
        sizes = [json_size(change["V"]) for change in changes if change.get("Put")]
        if (len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops
                or any(size > self.value_bytes for size in sizes) or json_size(body) > MAX_TXN_BYTES):
            self.count_refusal(changes, sizes)
            return 400, {"error": "too large"}
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        for change in changes:
            permit = change.get("Permit")
            if change.get("Put") and permit is not None and permit not in self.leases:
                return 400, {"error": "no such lease"}
        failed = []
        for condition in conditions:
            entry = self.keys.get(condition["Path"])
            if (entry[1] if entry else 0) != condition["Stamp"]:
                failed.append(condition["Path"])
        if failed:
            return 409, {"failed": failed, "LedgerRev": self.revision}
        if changes:
            self.revision += 1
            for change in changes:
                if change.get("Put"):
                    self.put(change["Put"], change["V"], change.get("Permit"))
                else:
                    self.remove(change["Delete"])
            self.lock.notify_all()
        return 200, {"LedgerRev": self.revision}

    def count_refusal(self, changes, sizes):
        puts = [change["Put"] for change in changes if change.get("Put")]
        largest = max(zip(sizes, puts), default=(0, ""))
        key = largest[1]
        self.refused[key] = self.refused.get(key, 0) + 1
        if self.refused[key] in (1, 2, 3, 10, 30, 100, 300):
            self.note("state service: 400 for a transaction of %d changes, largest value %s of %d bytes, "
                      "refused %d times" % (len(changes), key, largest[0], self.refused[key]))


def reversed_until(log, after):
    """The changes after a revision, oldest first."""
    start = len(log)
    while start > 0 and log[start - 1]["Stamp"] > after:
        start -= 1
    return log[start:]
