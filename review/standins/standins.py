"""Stand-ins for the peers of a node: executor, store, directory and dispatchers, on loopback and the real clock.

They follow the protocol page. Each disruption is off unless a case switches it on. All of a case's stand-ins run in
one process; the node runs as a process of its own, started by the deploy file's `run`.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MS = 1_000_000  # nanoseconds


def unix_ms():
    return int(time.time() * 1000)


def b64(data):
    return base64.b64encode(data).decode()


def deploy_command(key):
    text = open(os.path.join(ROOT, "deploy", "balancer.toml")).read()
    return re.search(r'^%s\s*=\s*"([^"]*)"' % key, text, re.M).group(1)


class CannotRun(Exception):
    """The case could not run: exit status 2."""


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()
        self.broken = []
        self.lost = []

    def write(self, text):
        self.file.write("%9.1f ms  %s\n" % ((time.monotonic() - self.started) * 1000, text))

    def violation(self, text):
        self.broken.append(text)
        self.write("RULE BROKEN: " + text)


class Request:
    """One try of a request, as clients and executor know it."""

    def __init__(self, req, lane, body, opkey=None):
        self.req, self.lane, self.body, self.opkey = req, lane, body, opkey
        self.written_at = self.answered_at = None
        self.answers = []
        self.given_up = False
        self.runs = 0
        self.result = None
        self.done = asyncio.get_running_loop().create_future()

    @property
    def is_over(self):
        return bool(self.answers) or self.given_up


class Run:
    def __init__(self, request):
        self.request = request
        self.phase = "core"  # core, paused, call
        self.calls = 0
        self.pos = None
        self.call_body = None
        self.replies = []
        self.task = None
        self.gate = asyncio.Event()
        self.gate.set()
        self.returned = None


class Executor:
    """Runs requests. `work` gives each lane's seconds on a core between its calls: [0.02, 0.05] is one call."""

    def __init__(self, record, requests, work, stop_mode, cores=2):
        self.record, self.requests, self.work, self.stop_mode = record, requests, work, stop_mode
        self.cores = cores
        self.notices, self.pos = [], 0
        self.runs, self.ended = {}, set()
        self.writer, self.out = None, None
        self.started = time.monotonic()
        self.piece_chance, self.piece_gap = 0.0, (0.0, 0.0)
        self.discard = False
        self.wrong_replies = []
        self.lost = []
        self.link_count = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.link_count += 1
        old, self.writer = self.writer, writer
        if old is not None:
            old.close()
        self.out = asyncio.Queue()
        sender = asyncio.create_task(self.send_lines(writer, self.out))
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    break
                if self.writer is not writer:
                    break
                command = json.loads(line)
                if self.discard and command["action"] != "JOIN":
                    self.lost.append(command)
                    if command["action"] != "METER":
                        self.record.write("executor: lost with the link: %s" % line.decode().strip())
                    continue
                self.command(command)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            sender.cancel()
            writer.close()

    async def send_lines(self, writer, out):
        try:
            while True:
                line = await out.get()
                if random.random() < self.piece_chance:
                    cut = random.randrange(1, len(line))
                    writer.write(line[:cut])
                    await writer.drain()
                    await asyncio.sleep(random.uniform(*self.piece_gap))
                    writer.write(line[cut:])
                else:
                    writer.write(line)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass

    def break_link(self):
        if self.writer is not None:
            self.record.write("executor: the link breaks")
            self.writer.close()
            self.writer = None

    def send(self, value):
        if self.writer is not None:
            self.out.put_nowait((json.dumps(value, separators=(",", ":")) + "\n").encode())

    def notice(self, **fields):
        self.pos += 1
        value = {"action": fields.pop("action"), "pos": self.pos, **fields}
        self.notices.append(value)
        self.send(value)
        return self.pos

    def exit(self, uid, code, content=None):
        fields = {"action": "EXIT", "uid": uid, "code": code, "wall_ms": 1}
        if content is not None:
            fields["content"] = b64(content)
        self.ended.add(uid)
        self.runs.pop(uid, None)
        self.record.write("executor: EXIT %s %s" % (uid, code))
        self.notice(**fields)

    def command(self, command):
        action, uid = command["action"], command.get("uid")
        if action == "JOIN":
            wall = int((time.monotonic() - self.started) * 1000) + 60_000
            self.send({"action": "WELCOME", "code": "hot", "wall_ms": wall})
            for notice in self.notices[command["pos"]:]:
                self.send(notice)
            return
        if action == "METER":
            on_core = sum(1 for r in self.runs.values() if r.phase == "core")
            gauges = [min(1.0, on_core / self.cores), on_core]
            return self.send({"action": "METERS", "echo": command["echo"], "meters": gauges})
        request = self.requests.get(uid)
        if request is None:
            return self.send({"action": "BAD", "code": action, "uid": uid})
        run = self.runs.get(uid)
        if action == "EXEC":
            if command["lane"] != request.lane or base64.b64decode(command["content"]) != request.body:
                self.record.violation("a body or class reached the executor changed: %s" % uid)
                return self.send({"action": "BAD", "code": action, "uid": uid})
            if run is not None:
                return
            if request.is_over or uid in self.ended:
                return self.exit(uid, "unknown")
            run = self.runs[uid] = Run(request)
            request.runs += 1
            self.record.write("executor: runs %s %s key=%s" % (uid, request.lane, request.opkey))
            run.task = asyncio.create_task(self.run(uid, run))
        elif run is None:
            return
        elif action == "KILL":
            if self.stop_mode == "drop" or request.is_over:
                run.task.cancel()
                self.exit(uid, "cancelled")
            elif run.phase == "core":
                run.phase = "paused"
                run.gate.clear()
        elif action == "WAKE":
            if run.phase == "paused":
                run.phase = "core"
                run.gate.set()
        elif action == "RETURN":
            if run.phase == "call" and not run.returned.done():
                run.returned.set_result(base64.b64decode(command["content"]))
            else:
                self.record.write("executor: RETURN %s ignored, as no call waits" % uid)
        elif action == "BYPASS" and run.phase == "call" and command["pos"] == run.pos:
            if not run.returned.done():
                run.returned.set_result(None)

    async def run(self, uid, run):
        work = self.work[run.request.lane]
        for number, seconds in enumerate(work):
            if callable(seconds):
                seconds = seconds()
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                await asyncio.sleep(min(0.005, until - time.monotonic() + 0.0005))
                if not run.gate.is_set():
                    left = until - time.monotonic()
                    await run.gate.wait()
                    until = time.monotonic() + left
            if number + 1 < len(work):
                if run.request.is_over:
                    return self.exit(uid, "cancelled")
                run.calls += 1
                run.call_body = b"%s call %d" % (uid.encode(), run.calls)
                run.phase = "call"
                run.returned = asyncio.get_running_loop().create_future()
                run.pos = self.notice(action="CALLOUT", uid=uid, content=b64(run.call_body))
                self.record.write("executor: CALLOUT %s call %d" % (uid, run.calls))
                while not run.returned.done():
                    await asyncio.wait([run.returned], timeout=0.05)
                    if not run.returned.done() and run.request.is_over:
                        return self.exit(uid, "cancelled")
                reply = run.returned.result()
                run.phase = "core"
                if reply is not None:
                    self.record.write("executor: RETURN %s got %r" % (uid, reply))
                    if reply != reply_to(run.call_body):
                        self.wrong_replies.append((uid, run.calls, reply))
                        self.record.violation(
                            "the run %s waited for the reply to %r and was given %r" % (uid, run.call_body, reply))
                    run.replies.append(reply)
        run.request.result = b"result of " + uid.encode() + b" with " + b"; ".join(run.replies)
        self.exit(uid, "complete", run.request.result)


def reply_to(call_body):
    return b"reply to " + call_body


class Store:
    """The store, or the proxy to the next tier: answers each call with its reply after `delay` seconds."""

    def __init__(self, record, delay=0.005):
        self.record, self.delay = record, delay
        self.calls = []

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                line = await asyncio.wait_for(reader.readline(), 10)
                if not line.endswith(b"\r\n"):
                    return
                words = line.decode().split()
                if words[0] == "CALL":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self.calls.append((words[1], body))
                    self.record.write("store: CALL %s %r" % (words[1], body))
                    asyncio.create_task(self.answer(writer, words[1], body))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, uid, body):
        await asyncio.sleep(self.delay() if callable(self.delay) else self.delay)
        reply = reply_to(body)
        try:
            writer.write(b"%s OK %d\r\n%s\r\n" % (uid.encode(), len(reply), reply))
            await writer.drain()
        except ConnectionError:
            pass


class AjpTier:
    """The next tier by AJP/1.3: answers pings at once and each call with its reply after `delay` seconds."""

    def __init__(self, record, delay):
        self.record, self.delay, self.calls = record, delay, []

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        async def packet():
            head = await reader.readexactly(4)
            return await reader.readexactly(int.from_bytes(head[2:], "big"))

        def send(payload):
            writer.write(b"AB" + len(payload).to_bytes(2, "big") + payload)

        try:
            while True:
                payload = await packet()
                if payload[0] == 10:  # CPing
                    send(b"\x09")
                    continue
                length = int(re.search(rb"\xa0\x08\x00.(\d+)\x00", payload, re.S).group(1))  # content-length
                body = b""
                while len(body) < length:
                    if body:
                        send(b"\x06" + (8000).to_bytes(2, "big"))
                    body += (await packet())[2:]
                self.calls.append(body)
                self.record.write("next tier: call %r" % body)
                await asyncio.sleep(self.delay)
                reply = reply_to(body)
                size = str(len(reply)).encode()
                send(b"\x04\x00\xc8\x00\x02OK\x00\x00\x01\xa0\x03" + len(size).to_bytes(2, "big") + size + b"\x00")
                send(b"\x03" + len(reply).to_bytes(2, "big") + reply + b"\x00")
                send(b"\x05\x01")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Directory:
    def __init__(self, record):
        self.record, self.mode = record, None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(re.search(rb"(?i)content-length: *(\d+)", head).group(1))
                body = json.loads(await reader.readexactly(length))
                if body["mode"] != self.mode:
                    self.mode = body["mode"]
                    self.record.write("directory: %s" % self.mode)
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Connection:
    """A dispatcher's connection to the node."""

    def __init__(self, dispatcher):
        self.dispatcher, self.open, self.next_id, self.no_more, self.closed = dispatcher, {}, 1, False, False

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.dispatcher.port)
        self.task = asyncio.create_task(self.read())

    async def read(self):
        try:
            while True:
                line = await self.reader.readline()
                if not line.endswith(b"\n"):
                    break
                message = json.loads(line)
                if message.get("method") == "noMore":
                    self.no_more = True
                else:
                    self.answered(message)
                if self.no_more and not self.open:
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        self.closed = True
        self.writer.close()
        for request in self.open.values():
            self.dispatcher.broken(request)
        self.open.clear()

    def answered(self, message):
        request = self.open.pop(message.get("id"), None)
        if request is None:
            return self.dispatcher.record.violation("an answer to no open request: %r" % message)
        self.dispatcher.answered(request, message)

    def send(self, request):
        number, self.next_id = self.next_id, self.next_id + 1
        params = {"req": request.req, "ts": unix_ms(), "via": 1, "need": self.dispatcher.need, "level": 0.5,
                  "body": b64(request.body)}
        if request.opkey is not None:
            params["opkey"] = request.opkey
        self.open[number] = request
        request.written_at = time.monotonic()
        line = json.dumps({"jsonrpc": "2.0", "id": number, "method": request.lane, "params": params})
        self.writer.write(line.encode() + b"\n")


class Dispatcher:
    """Sends requests on connections with up to 32 open requests each, and records every answer."""

    def __init__(self, record, requests, port, need=20.0):
        self.record, self.requests, self.port, self.need = record, requests, port, need
        self.connections = []
        self.counts = {"served": 0, "refused": 0, "failed": 0, "broken": 0}
        self.numbers = random.Random(os.urandom(8))

    async def send(self, lane, body=None, opkey=None):
        req = "%016x" % self.numbers.getrandbits(64)
        body = body if body is not None else b"body of " + req.encode()
        request = Request(req, lane, body, opkey)
        self.requests[req] = request
        connection = next((c for c in self.connections
                           if not c.closed and not c.no_more and len(c.open) < 32), None)
        if connection is None:
            connection = Connection(self)
            await connection.connect()
            self.connections = [c for c in self.connections if not c.closed] + [connection]
        connection.send(request)
        self.record.write("client: sends %s %s key=%s" % (req, lane, opkey))
        return request

    def answered(self, request, message):
        if "result" in message:
            kind, body = "served", base64.b64decode(message["result"]["body"])
            if request.opkey is None and body != request.result:
                self.record.violation("%s was served with what no run made for it: %r" % (request.req, body))
        else:
            kind = "refused" if message["error"]["code"] == -32011 else "failed"
        request.answers.append(kind)
        request.answered_at = time.monotonic()
        self.counts[kind] += 1
        waited = (time.monotonic() - request.written_at) * 1000
        self.record.write("client: %s %s after %.1f ms" % (request.req, kind, waited))
        if not request.done.done():
            request.done.set_result(kind)

    def broken(self, request):
        self.counts["broken"] += 1
        self.record.write("client: %s lost its connection" % request.req)
        if not request.done.done():
            request.done.set_result("broken")

    async def heartbeat(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b'{"jsonrpc":"2.0","id":1,"method":"heartbeat"}\n')
            answer = json.loads(await asyncio.wait_for(reader.readline(), 2))
            writer.close()
            return answer.get("result", {}).get("pass") is True
        except (OSError, ValueError, asyncio.TimeoutError):
            return False


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def method(name, idempotency, on_time_ms, deadline_ms, window_ms=20_000, worth=1.0):
    return {"name": name, "idempotency": idempotency, "worth": worth, "on-time-ns": on_time_ms * MS,
            "deadline-ns": deadline_ms * MS, "window-ns": window_ms * MS}


def settings(categories, stop_mode, **extra):
    """Settings like those of a small deployment (the values of deploy/node.json)."""
    return {
        "categories": categories,
        "extra": {"below": "tier", "cores": 2, "memory-kb": 90000.0, "run-mem-factor": 4.0, "key-kb": 0.1,
                  "signal": "weight", "stop-mode": stop_mode, "gauges": ["cpu_busy", "runnable"],
                  "calls-by-class": [True] * len(categories), "callers": 8,
                  "keepalive-max-ns": 30_000 * MS, **extra},
        "policy-limits": {"retry-after": True, "max-retry-after-ns": 1_000 * MS},
        "servers": 1,
        "rules": {"cold-from": 0.3, "drain-grace-ns": 300 * MS, "fall-multiple": 8.0, "warm-within-ns": 60_000 * MS},
    }


class Node:
    """The node, started by the deploy file's `run` with PROXY_CONFIG."""

    def __init__(self, record):
        self.record, self.process = record, None
        self.folder = tempfile.mkdtemp(prefix="ochrewalk-review-")
        self.port = free_port()

    def write_config(self, config_settings, executor, store, directory, stop_ms=3200, memory_mb=192):
        config = {"name": "n1", "listen": "127.0.0.1:%d" % self.port, "executor": "127.0.0.1:%d" % executor,
                  "lookup": "127.0.0.1:%d" % directory, "seed": "%016x" % random.getrandbits(64),
                  "stop_ms": stop_ms, "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
                  "settings": config_settings}
        if store is not None:
            config["store"] = "127.0.0.1:%d" % store
        self.config = os.path.join(self.folder, "node.json")
        with open(self.config, "w") as file:
            json.dump(config, file)

    async def start(self, **environment):
        log = open(os.path.join(self.folder, "node.log"), "w")
        env = {**os.environ, "PROXY_CONFIG": self.config, "TMPDIR": self.folder, **environment}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy_command("run"), cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, start_new_session=True)

    async def ready(self, dispatcher, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun("the node ended with status %s before it was ready" % self.process.returncode)
            if await dispatcher.heartbeat():
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the node was not ready within %d s" % seconds)

    def children(self):
        """The processes that the started one started."""
        try:
            pid = self.process.pid
            return [int(word) for word in open("/proc/%d/task/%d/children" % (pid, pid)).read().split()]
        except OSError:
            return []

    async def stop(self):
        """Ends the node and the processes that it started, each by its id."""
        if self.process is not None:
            for pid in self.children() + ([self.process.pid] if self.process.returncode is None else []):
                try:
                    os.kill(pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass
            await self.process.wait()
        try:
            for line in open(os.path.join(self.folder, "node.log")):
                self.record.write("node's log: " + line.rstrip())
        except OSError:
            pass
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, seconds=110):
    """Runs a case: `await case(record, trouble)`. Exits with 1 if a rule was broken, 0 if not, 2 if it couldn't run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("TROUBLE=%d" % trouble)
    async def bounded():
        # A signal to the case cancels it, so that it ends what it started.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        await asyncio.wait_for(case(record, trouble), seconds)

    try:
        asyncio.run(bounded())
    except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        record.write("could not run: %r" % error)
        print("could not run: %r" % error)
        sys.exit(2)
    verdict = "broken %d times" % len(record.broken) if record.broken else "held"
    record.write("the rule " + verdict)
    print("the rule " + verdict + ("; first: " + record.broken[0] if record.broken else ""))
    sys.exit(1 if record.broken else 0)
