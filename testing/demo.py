"""The demo: serves a streamed chat and a booking end to end by separate processes on loopback.

Usage: demo.py BUILD_FOLDER

Starts platform, engine and service stand-ins, two entries and four agents, applies
examples/demo.json with three naming schemes and two workspaces, calls with curl, prints the answers
and ends everything it started.
"""

import os
import subprocess
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def curl(title, *arguments):
    print(f"\n== {title}\n$ curl {' '.join(arguments)}", flush=True)
    done = subprocess.run(["curl", "-sS", "-i", "-N", "--max-time", "30", *arguments],
                          capture_output=True, text=True, check=True)
    print(done.stdout.strip(), flush=True)
    return done.stdout


def chat(url, key, model):
    body = (f'{{"model": "{model}", "stream": true, "max_tokens": 4, '
            '"messages": [{"role": "user", "content": "How do I clean verdigris?"}]}')
    return curl(f"streamed chat, adapter named {model}", url + "/v1/chat/completions",
                "-H", "Authorization: Bearer " + key, "-H", "Content-Type: application/json",
                "-d", body)


def book(url):
    return curl("booking (the second one is a resend)", url + "/bookings",
                "-H", "x-api-key: demo-key-restorers", "-H", "Idempotency-Key: slot-17",
                "-H", "Content-Type: application/json", "-d", '{"slot": 17}')


def main():
    with Fleet(sys.argv[1], entries=2, engines=3, services=1) as fleet:
        print("started: " + ", ".join(fleet.processes))
        print(fleet.apply(os.path.join(ROOT, "examples", "demo.json")).stdout.strip())
        fleet.wait_serving()
        urls = [f"http://127.0.0.1:{fleet.ports[name]}" for name in fleet.entry_names]
        answers = [
            chat(urls[0], "demo-key-restorers", "restorers/report/3"),
            chat(urls[1], "demo-key-restorers", "urn:lora:restorers:3"),
            chat(urls[0], "demo-key-stalls", "stallsr1@1"),
            book(urls[0]),
            book(urls[1]),
        ]
        executions = fleet.stats("service-1")["executions"]
        print(f"\nexecutions of the booking at the service: {executions}")
        expected = ["restorers-report-3@2", "restorers-report-3@2", "stalls-report-1@1", "201", "201"]
        if executions != 1 or not all(part in text for part, text in zip(expected, answers)):
            print("demo failed")
            return 1
    print("all processes ended; demo passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
