#!/usr/bin/env python3
"""Writes a submission to standard output: job.py OWNER ID [ID OF A JOB THAT IT AWAITS ...]

Needs the package msgpack. One task of two CPUs that is expected to run for ten seconds.
"""
import sys

import msgpack

if len(sys.argv) < 3:
    sys.exit(__doc__)
owner, uid, *awaits = sys.argv[1:]
submission = {
    "Uid": uid,
    "JobClass": "example",
    "Owner": owner,
    "JobKind": "batch",
    "Urgency": "standard",
    "Shards": 1,
    "Vcpus": 2.0,
    "Gpus": 0.0,
    "MemoryGb": 4.0,
    "ImageRef": "img-01",
    "PullGb": 1.0,
    "HostTypes": None,
    "Site": None,
    "SamePlace": False,
    "Spread": False,
    "Preemptible": True,
    "ExpectedS": 10.0,
    "SnapshotEveryS": 0.0,
    "SnapshotS": 0.0,
    "DueS": None,
    "Awaits": awaits,
}
sys.stdout.buffer.write(msgpack.packb(submission))
