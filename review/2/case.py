"""A notice to leave arrives in the middle of a hand-over, and the operator asks for the upgrade again."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import Directory, Dispatcher, Executor, Node, ROOT, Store, main, method, settings

STOP_MS, GRACE_MS, SLACK_MS = 5000, 2500, 50
DEADLINE_MS = 4000


async def case(record, trouble):
    requests = {}
    executor = Executor(record, requests, {"item-lookup": [0.2]}, "pause")
    store, directory, node = Store(record), Directory(record), Node(record)
    try:
        await executor.start(), await store.start(), await directory.start()
        deployment = settings([method("item-lookup", "free", 2000, DEADLINE_MS)], "pause")
        deployment["rules"]["drain-grace-ns"] = GRACE_MS * 1_000_000
        node.write_config(deployment, executor.port, store.port, directory.port, stop_ms=STOP_MS)
        control, operators = os.path.join(node.folder, "control"), os.path.join(node.folder, "operators.conf")
        with open(operators, "w") as file:
            file.write("upgrade control %s\n" % control)
        await node.start(OCHREWALK_OPERATORS=operators)
        dispatcher = Dispatcher(record, requests, node.port)
        await node.ready(dispatcher)
        sent, refused_connections = [], 0

        async def load():
            # Dispatchers hear of the notice some seconds late, so they go on sending.
            nonlocal refused_connections
            while True:
                try:
                    sent.append(await dispatcher.send("item-lookup"))
                except OSError:
                    refused_connections += 1
                await asyncio.sleep(random.expovariate(15))

        program = os.path.join(ROOT, "target", "release", "ochrewalk")

        async def ask():
            record.write("operator: asks for the upgrade")
            upgrade = await asyncio.create_subprocess_exec(
                program, "upgrade", "--control", control, "--program", program,
                stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
            printed = (await upgrade.communicate())[0].decode().strip()
            record.write("operator: is told: " + printed)
            return upgrade.returncode == 0

        loading = asyncio.create_task(load())
        await asyncio.sleep(2)
        first = asyncio.create_task(ask())
        notice = None
        if trouble:
            await asyncio.sleep(0.004)
            notice = time.monotonic()
            record.write("platform: SIGTERM")
            node.process.send_signal(signal.SIGTERM)
        await first
        await asyncio.sleep(0.3)
        # "the running program got a signal: ask again after it" (the project's page for operators)
        await ask()
        ended_at = None
        if trouble:
            try:
                await asyncio.wait_for(node.process.wait(), notice + STOP_MS / 1000 - time.monotonic())
                record.write("node: ended with status %s" % node.process.returncode)
            except asyncio.TimeoutError:
                record.write("platform: SIGKILL, as the node still runs %d ms after the notice" % STOP_MS)
            ended_at = time.monotonic()
            await node.stop()
            loading.cancel()
        else:
            await asyncio.sleep(4)
            loading.cancel()
            await asyncio.sleep((DEADLINE_MS + 130) / 1000)
        await asyncio.sleep(0.2)
        if trouble:
            limit = notice + (GRACE_MS + SLACK_MS) / 1000
            late = [r for r in sent if r.written_at > limit and r.runs]
            if late:
                record.violation("drain: %d requests ran that were written up to %.0f ms after the notice (grace %d ms)" % (
                    len(late), (late[-1].written_at - notice) * 1000, GRACE_MS))
        lost = [r for r in sent if not r.answers and (ended_at is None or r.written_at < ended_at)]
        record.write("%d sent, %s, %d lost, %d connections refused" % (
            len(sent), dispatcher.counts, len(lost), refused_connections))
        if len(lost) > 0.003 * len(sent):
            record.violation("lost: %d of %d requests that the node had read got no answer before it was stopped" % (
                len(lost), len(sent)))
    finally:
        await node.stop()


main(case, 60)
