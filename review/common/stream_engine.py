"""A model engine as a process of its own, so that a test can kill it.

    python3 stream_engine.py IP INSTANCE BORN FRAMING     # prints its port

It holds the model m0. A stream has EVENTS events; each is written in two parts, as tokens come.
FRAMING is `unframed` (no length: the answer ends with its channel) or `chunked`. A request with
Last-Event-Id goes on after that event.
"""

import asyncio
import sys

from standins import HttpServer, response

EVENTS = 40
SHOWN = 20  # the event whose beginning is printed
HALF_S, PAUSE_S = 0.08, 0.02  # between the parts of an event; after an event


class StreamEngine(HttpServer):
    def __init__(self, instance, born, is_chunked):
        self.instance, self.born, self.is_chunked = instance, born, is_chunked

    async def handle(self, request, writer):
        request_id = request.get("Request-Id", "")
        if request.target == "/-/report":
            writer.write(response(200, {
                "stage": "both", "models": [{"name": "m0", "version": 1, "adapters": []}],
                "busy": False, "seq": 0, "queued": 0, "running": 0, "kv_used": 0,
                "kv_total": 232000, "handles": 0, "coming": [], "runs": [], "born": self.born}))
        elif request.target == "/health":
            writer.write(response(200, b"", [("Instance-Id", self.instance)]))
        elif request.get("Expect-Instance") not in (None, self.instance):
            writer.write(response(421, b"", [("Instance-Id", self.instance),
                                             ("Request-Id", request_id)]))
        else:
            await self._stream(request, request_id, writer)

    async def _stream(self, request, request_id, writer):
        first = int(request.get("Last-Event-Id", 0)) + 1
        print(f"run {request_id} from {first}", flush=True)
        framing = "Transfer-Encoding: chunked" if self.is_chunked else "Connection: close"
        writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nWeight-Versions: 1\r\n"
                     f"Response-Seal: s-{self.instance}\r\nContent-Type: text/event-stream\r\n"
                     f"{framing}\r\n\r\n".encode())
        for number in range(first, EVENTS + 1):
            if number == SHOWN:
                print(f"inside {number} of {request_id}", flush=True)
            await self._write(writer, f"id: {number}\ndata: first half of {number},", HALF_S)
            await self._write(writer, f" second half of {number}\n\n", PAUSE_S)
        if self.is_chunked:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()
        print(f"end {request_id}", flush=True)

    async def _write(self, writer, text, pause_s):
        writer.write(f"{len(text):x}\r\n{text}\r\n".encode() if self.is_chunked else text.encode())
        await writer.drain()
        await asyncio.sleep(pause_s)


async def main(ip, instance, born, framing):
    engine = StreamEngine(instance, int(born), framing == "chunked")
    await engine.listen(ip)
    print(f"port {engine.port}", flush=True)
    await asyncio.Event().wait()


asyncio.run(main(*sys.argv[1:]))
