"""An executor crashes and starts again under its id, as another kind."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))
sys.dont_write_bytecode = True
import lab

CAPACITY = {"Cpu": 16000, "MemMb": 65536, "Gpu": 0}
FIRST_BEAT_S = 0.8  # the lag of the site file; an executor writes every HeartbeatMs = 1.5 s
ROUTE = {"Name": "r-1", "Host": "nony24.example", "Prefix": "/lohu930/", "Kind": "non_idempotent",
         "TimeoutMs": 1500, "TargetLatencyMs": 60, "Priority": 0, "Service": "desk",
         "MaxAttempts": 4, "Stretch": 1.6}
CONFIG = {"Version": 7, "Routes": [ROUTE], "Services": [
    {"Name": "desk", "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": False,
     "RejectsOverload": True, "Spare": False}], "Limits": {"MaxBodyBytes": 262144}}
KINDS = ["a", "a", "a", "a", "a", "b", "b", "b"]
TRAFFIC_S = 12


async def case(lab_, trouble):
    await lab_.store.put("op/config", CONFIG)
    first = dict(id="i-0", port=lab.free_port(), service="desk", zone="north", capacity=CAPACITY)
    victim = await lab_.start_executor(labels=["a", "r-0"], **first)
    for i in range(1, len(KINDS)):
        await lab_.start_executor(id=f"i-{i}", port=lab.free_port(), service="desk", zone="north",
                                  capacity=CAPACITY, labels=[KINDS[i], f"r-{i // 2}"])
    for i in range(3):
        await lab_.start_node(f"entry-{i}", "north")
    await lab_.wait_ready()
    await asyncio.sleep(4)  # ContactMs
    nodes = list(lab_.nodes.values())
    number = 0
    answers = {}

    async def job(n):
        name = f"{0x5c0e7a21d94b0000 + n:016x}"
        step = {"Count": 4, "Cpu": 4000, "MemMb": 64, "EstimateMs": 200, "Constraints": "a"}
        body = {"Spec": "work 200 cpu 4000", "Steps": [step], "BestEffort": True}
        headers = {"Host": ROUTE["Host"], "X-Deadline-Ms": "1500"}
        status, reply = await lab.call(nodes[n % 3]["callers"], "POST", ROUTE["Prefix"] + name,
                                       body, headers, timeout=1.5)
        answers[status] = answers.get(status, 0) + 1
        if n < 3 or status != 200:
            lab_.note(f"job {name}, 4 tasks with Constraints a: {status} {reply}")

    async def traffic():
        nonlocal number
        jobs = []
        end = lab.time.time() + TRAFFIC_S
        while lab.time.time() < end:
            jobs.append(asyncio.create_task(job(number)))
            number += 1
            await asyncio.sleep(1 / 18)
        await asyncio.gather(*jobs)

    load = asyncio.create_task(traffic())
    await asyncio.sleep(4)
    if trouble:
        lab_.note("executor i-0 crashes (SIGKILL)")
        victim.kill()
        await victim.wait()
        await asyncio.sleep(1.0)
        lab_.note("executor i-0 starts again at its address, as kind b")
        await lab_.start_executor(labels=["b", "r-0"], first_beat_s=FIRST_BEAT_S, **first)
    await load
    lab_.note(f"answers: {answers}")
    await asyncio.sleep(0.3)
    starts = [e for e in lab_.events if e["what"] == "start"]
    lab_.note(f"{len(starts)} starts")
    if not starts:
        raise RuntimeError("nothing ran")
    return [f"ROUTE: task {e['task']}, Constraints a, starts on executor {e['id']} with the labels "
            f"{e['labels']}" for e in starts if "a" not in e["labels"]]


lab.main(case, trouble=os.environ.get("TROUBLE", "1") != "0")
