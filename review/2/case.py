"""A cloud whose machines are up within a second or two: the controllers must go on running."""

import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTUP_S = 0.9 if TROUBLE else 20.0  # what the catalogue says
RESTART_S = 8.0  # how soon the platform starts a process again that has ended
WATCHED_S = 60.0 if TROUBLE else 85.0
SEED = 1


class Platform(standins.Cell):
    """The cell, with a cloud whose boots take 0.6 to 1.5 times what its catalogue says."""

    async def boot(self, machine):
        self.boot_s = STARTUP_S * random.uniform(0.6, 1.5)
        self.record.write("cloud boots", machine.name, "in %.2f s" % self.boot_s)
        await super().boot(machine)


async def keep_running(cell, name, ends):
    """Notes when a controller ends although nobody has killed it, and starts it again."""
    while True:
        code = await cell.processes[name].wait()
        ends.append((name, code))
        cell.record.write("controller", name, "HAS ENDED BY ITSELF with status", code)
        with open(os.path.join(cell.work, name + ".log"), errors="replace") as log:
            lines = [line.strip() for line in log if "panicked" in line or "assertion" in line or "idle_limit" in line]
        cell.record.write("controller", name, "log:", " | ".join(lines[-3:]))
        await asyncio.sleep(RESTART_S)
        await cell.launch(name)


async def scenario(cell, trouble):
    random.seed(SEED)
    ends, polls = [], {"answered": 0, "unanswered": 0}
    watchers = [asyncio.create_task(keep_running(cell, name, ends)) for name in cell.names]
    accepted, end, number = [], standins.now() + WATCHED_S, 0

    async def user():
        nonlocal number
        while standins.now() < end - 10.0:
            number += 1
            name = "req-%06d" % number
            status, _ = await cell.submit(cell.spec(name, pieces=4), run_s=1.0, patience=5.0)
            if status in (200, 201):
                accepted.append(name)
            await asyncio.sleep(4.0)

    async def poller():
        while standins.now() < end:
            for name in list(accepted):
                status, _ = await cell.poll(name)
                polls["answered" if status == 200 else "unanswered"] += 1
            await asyncio.sleep(3.0)

    await asyncio.gather(user(), poller())
    for watcher in watchers:
        watcher.cancel()
    cell.record.write("ends of controllers that nobody killed:", len(ends), ends)
    cell.record.write("accepted jobs:", len(accepted), "polls:", polls)
    if not accepted or not cell.starts:
        raise RuntimeError("no job was accepted, or no task was started: nothing was tried")
    return not ends


builds = {"kiosk-box": dict(name="kiosk-box", cores=16, accelerators=0, memGb=64, localGb=30, fetchGbPerS=0.8, rate=1.2,
                            spotPrice=0.4, startupS=STARTUP_S, yards=["merkato-room"])}
standins.Cell = Platform
standins.main(scenario, FOLDER, builds=builds, capacity=32)
