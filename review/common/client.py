"""A client that sends one request on a new channel and reads the answer.

    answer = await send(entry, "GET", "/look/1", "r1", key="k", deadline_ms=1000)
    answer.status        # None: no answer in time, or the channel was closed without one
    answer.complete      # the whole body arrived
"""

import asyncio
import time


class Answer:
    def __init__(self, request_id, sent_at):
        self.request_id, self.sent_at = request_id, sent_at
        self.status, self.fields, self.body, self.complete = None, {}, b"", False
        self.ended_at = None

    def line(self):
        took = f"{self.ended_at - self.sent_at:.3f} s" if self.ended_at else "-"
        return (f"{self.request_id} -> {self.status} {'whole' if self.complete else 'not whole'}"
                f" {len(self.body)} B after {took}")


async def send(entry, method, path, request_id, key, deadline_ms, host="a.example", body=b"",
               **fields):
    answer = Answer(request_id, time.monotonic())
    try:
        await asyncio.wait_for(
            _exchange(entry, answer, method, path, key, deadline_ms, host, body, fields),
            deadline_ms / 1000)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    answer.ended_at = time.monotonic()
    return answer


async def _exchange(entry, answer, method, path, key, deadline_ms, host, body, fields):
    reader, writer = await asyncio.wait_for(asyncio.open_connection(entry.ip, entry.port), 1)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Request-Id: {answer.request_id}",
                 f"Deadline-Ms: {deadline_ms}", f"Key: {key}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await read_answer(reader, answer)
    finally:
        writer.close()


async def read_answer(reader, answer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    for line in lines:
        name, _, value = line.partition(":")
        answer.fields[name.lower()] = value.strip()
    answer.status = int(first.split(" ")[1])
    if "content-length" in answer.fields:
        answer.body = await reader.readexactly(int(answer.fields["content-length"]))
    else:
        while (size := int((await reader.readline()).split(b";")[0], 16)) > 0:
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    answer.complete = True


async def is_ready(entry):
    """Asks as the platform does."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(entry.ip, entry.ready_port), 1)
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return b" 200 " in line
    except (OSError, asyncio.TimeoutError):
        return False


async def wait_ready(entry, seconds):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if await is_ready(entry):
            return True
        await asyncio.sleep(0.2)
    return False
