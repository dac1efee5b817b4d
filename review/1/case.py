"""The state service lowers its limits while jobs wait for the first machines: the jobs must run."""

import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS, RATE = 24, 4.0  # jobs of one task, so many a second
BOOT_S = 20.0
FALL_AFTER_S = 10.0
WATCHED_S = 95.0
NEXT = dict(value_kb=2.0, txn_ops=4, write_rps=28.0)
SEED = 1


class Service(standins.StateService):
    """The state service, which notes each transaction that it refuses as too large."""

    refusals = 0

    def transaction(self, txn):
        status, body = super().transaction(txn)
        if status == 400:
            Service.refusals += 1
            if Service.refusals <= 20 or Service.refusals % 50 == 0:
                keys = sorted({"/".join(c["key"].split("/")[:2]) for c in txn.get("when", [])})
                self.record.write("state service refuses transaction", Service.refusals, "with 400:", len(txn.get("then", [])),
                                  "changes,", len(txn.get("when", [])), "conditions on", keys)
        return status, body


async def scenario(cell, trouble):
    random.seed(SEED)
    start = standins.now()
    # No machine is up yet.
    names = ["req-%06d" % i for i in range(1, JOBS + 1)]

    async def user(number, name):
        await asyncio.sleep(number / RATE)
        return await cell.submit(cell.spec(name, guessS=5.0), run_s=5.0)

    results = await asyncio.gather(*[user(i, n) for i, n in enumerate(names)])
    accepted = [n for n, (status, _) in zip(names, results) if status in (200, 201)]
    if len(accepted) < JOBS:
        raise RuntimeError("not all jobs were accepted")
    await asyncio.sleep(max(0.0, start + FALL_AFTER_S - standins.now()))
    if cell.starts:
        raise RuntimeError("a task was started before the limits fell")
    if trouble:
        cell.state.value_bytes, cell.state.txn_ops = 2048, 4
        cell.state.writes = standins.Bucket(28.0)
        cell.record.write("the state service lowers its limits, as announced")
    answers = {}
    while standins.now() < start + WATCHED_S:
        for name in accepted:
            if answers.get(name) != "done":
                status, value = await cell.poll(name, quiet=True)
                if status == 200:
                    answers[name] = value["status"]
        if list(answers.values()).count("done") == JOBS:
            break
        await asyncio.sleep(2.0)
    counts = {s: list(answers.values()).count(s) for s in set(answers.values())}
    up = [m.name for m in cell.machines.values() if not m.dead and hasattr(m, "endpoint")]
    cell.record.write("machines up:", up, "tasks started:", len(cell.starts), "jobs by the last answers:", counts)
    cell.record.write("transactions refused with 400:", Service.refusals)
    if not up:
        raise RuntimeError("no machine came up: nothing was tried")
    return counts.get("done", 0) == JOBS


standins.StateService = Service
standins.main(scenario, FOLDER, state=dict(rps=100.0, write_rps=40.0, value_kb=16.0, txn_ops=12, next=NEXT), boot_s=BOOT_S,
              capacity=4, trace=False)
