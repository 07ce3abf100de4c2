"""Open channels to the store go silent while executors begin to drain."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))
sys.dont_write_bytecode = True
import lab

CONTACT_S = 3.0  # ContactMs
DRAIN_S = 2.0  # DrainMs
SLACK_S = 0.05  # for this machine: the rule allows none
EXECUTORS, ROUNDS, ROUND_S = 12, 17, 6
CAPACITY = {"Cpu": 16000, "MemMb": 65536, "Gpu": 0}
ROUTE = {"Name": "r-1", "Host": "nony24.example", "Prefix": "/lohu930/", "Kind": "non_idempotent",
         "TimeoutMs": 1500, "TargetLatencyMs": 60, "Priority": 0, "Service": "desk",
         "MaxAttempts": 4, "Stretch": 1.6}
CONFIG = {"Version": 7, "Routes": [ROUTE], "Services": [
    {"Name": "desk", "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": False,
     "RejectsOverload": True, "Spare": False}], "Limits": {"MaxBodyBytes": 262144}}


async def case(lab_, trouble):
    await lab_.store.put("op/config", CONFIG)
    running = []

    async def add(i):
        child = await lab_.start_executor(id=f"i-{i}", port=lab.free_port(), service="desk",
                                          zone="north", capacity=CAPACITY, labels=["a", "r-0"])
        running.append((f"i-{i}", child))
    for i in range(EXECUTORS):
        await add(i)
    for i in range(3):
        await lab_.start_node(f"entry-{i}", "north")
    await lab_.wait_ready()
    await asyncio.sleep(4)
    nodes = list(lab_.nodes.values())
    end = lab.time.time() + ROUNDS * ROUND_S
    answers = {}

    async def job(n):
        name = f"{0x5c0e7a21d94b0000 + n:016x}"
        step = {"Count": 4, "Cpu": 4000, "MemMb": 64, "EstimateMs": 200}
        body = {"Spec": "work 200 cpu 4000", "Steps": [step], "BestEffort": True}
        headers = {"Host": ROUTE["Host"], "X-Deadline-Ms": "1500"}
        status, _ = await lab.call(nodes[n % 3]["callers"], "POST", ROUTE["Prefix"] + name, body,
                                   headers, timeout=1.5)
        answers[status] = answers.get(status, 0) + 1

    async def traffic():
        n, jobs = 0, []
        while lab.time.time() < end:
            jobs.append(asyncio.create_task(job(n)))
            n += 1
            await asyncio.sleep(1 / 40)
        await asyncio.gather(*jobs)
    load = asyncio.create_task(traffic())
    silences, drains = [], {}
    for r in range(ROUNDS):
        await asyncio.sleep(0.5 + lab.random.random())
        if trouble:
            silences.append(lab.time.time())
            lab_.note(f"{lab_.store.silence_channels()} open channels to the store go silent")
        await asyncio.sleep(0.6)
        name, child = running.pop(0)
        child.send_signal(signal.SIGUSR2)
        await asyncio.sleep(3.2)
        child.kill()  # it leaves, long after DrainMs
        await add(EXECUTORS + r)
        left = end - ROUND_S * (ROUNDS - 1 - r) - lab.time.time()
        await asyncio.sleep(max(0, left))
    await load
    lab_.note(f"answers: {answers}")
    for e in lab_.events:
        if "accepted" in e["what"]:
            drains[e["id"]] = e["t"]
    lab_.note(f"{sum(e['what'] == 'start' for e in lab_.events)} starts")
    broken = []
    for e in lab_.events:
        if e["what"] != "start" or e["id"] not in drains:
            continue
        since = e["t"] - drains[e["id"]]
        touched = min((e["t"] - s for s in silences if s < e["t"]), default=99)
        if since > DRAIN_S + SLACK_S and touched > CONTACT_S + SLACK_S:
            broken.append(f"DRAIN: task {e['task']} starts on {e['id']} {since:.2f} s after the store "
                          f"accepted that it is draining, {touched:.2f} s after the last channel "
                          "went silent")
    return broken


lab.main(case, trouble=os.environ.get("TROUBLE", "1") != "0")
