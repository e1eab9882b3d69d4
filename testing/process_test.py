"""Process-level tests: separate processes on loopback, with kills, pauses, outages and cuts.

Usage: process_test.py BUILD_FOLDER [unittest arguments]

Each test names the invariant of docs/design.md (section 1) that it guards.
"""

import http.client
import json
import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleet_module  # noqa: E402
from fleet import Fleet, call  # noqa: E402

BUILD = "build"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DEMO = os.path.join(ROOT, "examples", "demo.json")
KEY = "demo-key-restorers"
OTHER_KEY = "demo-key-stalls"


def stop_as_planned(fleet, name):
    """Sends SIGTERM, waits for running requests and returns the exit code."""
    fleet.processes[name].terminate()
    return fleet.processes[name].wait_exit(60)


class Stream(threading.Thread):
    """A streamed chat, read in a thread of its own."""

    def __init__(self, port, model="restorersr1", key=KEY, max_tokens=1000, prompt="stream"):
        super().__init__(daemon=True)
        self.port = port
        self.body = {"model": model, "stream": True, "max_tokens": max_tokens,
                     "messages": [{"role": "user", "content": prompt}]}
        self.key = key
        self.text = ""
        self.complete = False  # the final chunk of the HTTP answer came
        self.largest_gap = 0.0
        self.first = threading.Event()
        self.ended_at = None
        self.start()

    def run(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=60)
        try:
            connection.request("POST", "/v1/chat/completions", json.dumps(self.body),
                               {"Content-Type": "application/json",
                                "Authorization": "Bearer " + self.key})
            response = connection.getresponse()
            last = time.monotonic()
            while True:
                data = response.read1(65536)  # raises when the final chunk is missing
                if not data:
                    self.complete = True
                    break
                now = time.monotonic()
                self.largest_gap = max(self.largest_gap, now - last)
                last = now
                self.text += data.decode(errors="replace")
                self.first.set()
        except (http.client.HTTPException, OSError):
            pass
        finally:
            self.ended_at = time.monotonic()
            self.first.set()
            connection.close()

    def is_whole(self):
        return self.complete and "data: [DONE]" in self.text and "event: error" not in self.text


class ServingPath(unittest.TestCase):
    """Requests without faults."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(BUILD, entries=2, engines=2, services=1).__enter__()
        cls.fleet.apply(DEMO)
        cls.fleet.wait_serving()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.__exit__(None, None, None)

    def test_each_naming_scheme_gives_the_adapter_and_version(self):
        # Invariant 1.
        names = {"restorers/report/3": 2, "restorersr3": 2, "urn:lora:restorers:3": 2,
                 "restorers-report-3@1": 1, "restorersr3@1": 1}
        for stream in (False, True):
            for name, version in names.items():
                answer = self.fleet.chat(0, name, stream=stream)
                self.assertEqual(answer.status, 200, answer.body)
                self.assertIn(f"adapter=restorers-report-3 version={version}", answer.body)
                self.assertEqual(answer.headers["X-Served-By"], f"restorers-report-3@{version}")

    def test_a_workspace_reaches_only_its_own_adapters(self):
        # Invariant 3.
        answer = self.fleet.chat(0, "restorersr3", key=OTHER_KEY)
        self.assertIn(answer.status, (403, 404), answer.body)
        self.assertEqual(answer.error()["execution"], "not_run")
        for key in (None, "unknown"):
            self.assertEqual(self.fleet.chat(0, "restorersr3", key=key).status, 401)

    def test_no_target_sees_a_key(self):
        # Invariant 4.
        port = self.fleet.ports["entry-1"]
        before = self.fleet.stats("service-1")
        forms = ({"Authorization": "Bearer " + KEY}, {"x-api-key": KEY})
        for index, headers in enumerate(forms):
            headers["Cookie"] = "key=" + KEY
            headers["Idempotency-Key"] = f"seen-{index}"
            booked = call(port, "POST", f"/bookings?api_key={KEY}&slot=1", {"slot": 1}, headers)
            self.assertEqual(booked.status, 201, booked.body)
            found = call(port, "GET", f"/registers/9?x={KEY}", headers=headers)
            self.assertEqual(found.status, 200, found.body)
        # Both forms reached the target; otherwise the counts below would prove nothing.
        after = self.fleet.stats("service-1")
        self.assertEqual(after["executions"], before["executions"] + len(forms))
        self.assertEqual(after["look_ups"], before["look_ups"] + len(forms))
        refused = self.fleet.post(0, "/bookings", {"note": KEY}, KEY, {"Idempotency-Key": "n"})
        self.assertEqual((refused.status, refused.error()["execution"]), (400, "not_run"))
        for target in ("service-1", "engine-1", "engine-2"):
            self.assertEqual(self.fleet.stats(target)["credentials"], 0)

    def test_a_booking_runs_once_and_is_replayed_by_any_entry(self):
        # Invariant 9.
        before = self.fleet.stats("service-1")["executions"]
        answers = [self.fleet.post(entry, "/bookings", {"slot": 7}, KEY, {"Idempotency-Key": "b7"})
                   for entry in (0, 1, 0)]
        self.assertEqual({answer.body for answer in answers}, {answers[0].body})
        self.assertEqual(self.fleet.stats("service-1")["executions"], before + 1)
        reused = self.fleet.post(0, "/bookings", {"slot": 8}, KEY, {"Idempotency-Key": "b7"})
        self.assertEqual(reused.error()["code"], "idempotency_key_reused")
        missing = self.fleet.post(0, "/bookings", {"slot": 8}, KEY)
        self.assertEqual(missing.error()["code"], "idempotency_key_missing")

    def test_concurrent_resends_of_a_booking_run_once(self):
        # Invariant 9: both attempts race for the claim row.
        threads = []
        for index in range(12):
            threads.append(threading.Thread(target=lambda entry=index % 2: self.fleet.post(
                entry, "/bookings", {"slot": "race"}, KEY, {"Idempotency-Key": "race"})))
            threads[-1].start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.fleet.stats("service-1")["by_key"]["/bookings race"], 1)

    def test_answers_of_concurrent_requests_are_not_crossed(self):
        # Invariant 7.
        wrong = []

        def ask(index):
            number = index % 12 + 1
            answer = self.fleet.chat(index % 2, f"restorersr{number}", prompt=f"prompt {index}",
                                     stream=index % 3 == 0)
            if f"adapter=restorers-report-{number} " not in answer.body:
                wrong.append((index, answer.status, answer.body))
        threads = [threading.Thread(target=ask, args=(index,)) for index in range(60)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(wrong, [])
        for engine in ("engine-1", "engine-2"):
            self.assertEqual(self.fleet.stats(engine)["unloads_in_use"], 0)

    def test_open_routes_need_no_key(self):
        answer = call(self.fleet.ports["entry-2"], "GET", "/registers/12")
        self.assertEqual(answer.status, 200, answer.body)

    def test_models_lists_only_the_workspace(self):
        answer = call(self.fleet.ports["entry-1"], "GET", "/v1/models",
                      headers={"x-api-key": OTHER_KEY})
        ids = [model["id"] for model in answer.json()["data"]]
        self.assertEqual(len(ids), 10)
        self.assertTrue(all(name.startswith("stalls-") for name in ids))

    def test_no_workspace_gets_more_than_rate_and_burst(self):
        # Invariant 6: tenant "stalls" has 5,000 tokens/s and a burst of 20,000.
        start = time.monotonic()
        used = [0]
        lock = threading.Lock()
        refusals = set()

        def flood(entry):
            while time.monotonic() - start < 4:
                answer = self.fleet.chat(entry, "stallsr1", prompt="x" * 700, key=OTHER_KEY,
                                         max_tokens=2)
                if answer.status == 200:
                    usage = answer.json()["usage"]
                    with lock:
                        used[0] += usage["total_tokens"]
                else:
                    refusals.add((answer.status, answer.error().get("execution"),
                                  "Retry-After" in answer.headers))
        threads = [threading.Thread(target=flood, args=(index % 2,)) for index in range(16)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        elapsed = time.monotonic() - start
        self.assertLessEqual(used[0], 20_000 + 5_000 * elapsed)
        self.assertTrue(refusals <= {(429, "not_run", True)}, refusals)


class Faults(unittest.TestCase):
    """Each test has a fleet of its own and injects one fault."""

    def fleet(self, **options):
        fleet = Fleet(BUILD, **options).__enter__()
        self.addCleanup(fleet.__exit__, None, None, None)
        fleet.apply(DEMO)
        fleet.wait_serving()
        return fleet

    def test_a_withdrawn_key_ends_its_streams_at_all_entries(self):
        # Invariant 5, with the platform down: the withdrawal reaches one entry only.
        fleet = self.fleet(engine_flags=["--token_ms=30"])
        streams = [Stream(fleet.ports[name]) for name in fleet.entry_names]
        others = Stream(fleet.ports["entry-2"], model="stallsr1", key=OTHER_KEY, max_tokens=150)
        for stream in streams:
            self.assertTrue(stream.first.wait(10))
        call(fleet.ports["platform"], "POST", "/fault", {"down": True})
        withdrawn = time.monotonic()
        answer = call(fleet.admin_ports["entry-1"], "POST", "/withdraw",
                      {"keys": ["restorers-main"]}, {"x-admin-token": fleet_module.ADMIN_TOKEN})
        self.assertEqual(answer.status, 200)
        for stream in streams:
            stream.join(10)
            self.assertLess(stream.ended_at - withdrawn, 2)
            self.assertIn("key_withdrawn", stream.text)
            self.assertFalse(stream.complete)
        for entry in (0, 1):
            self.assertEqual(fleet.chat(entry, "restorersr1").error()["code"], "key_withdrawn")
        others.join(20)
        self.assertTrue(others.is_whole())
        # After the outage the withdrawal becomes a revision, so that it survives all processes.
        call(fleet.ports["platform"], "POST", "/fault", {})
        fleet.wait_until(lambda: fleet.state("agent-service-1")["revision"] == 2,
                         "a revision holds the withdrawal", 15)
        self.assertEqual(fleet.chat(1, "restorersr1").error()["code"], "key_withdrawn")

    def test_a_killed_engine_cuts_streams_visibly_and_whole_answers_are_retried(self):
        # Invariant 7: a truncated answer never looks complete.
        fleet = self.fleet(engine_flags=["--token_ms=30"])
        stream = Stream(fleet.ports["entry-1"])
        self.assertTrue(stream.first.wait(10))
        loaded = [name for name in fleet.engine_names if fleet.stats(name)["requests"] > 0]
        result = []
        whole = threading.Thread(target=lambda: result.append(
            fleet.chat(0, "restorersr1", max_tokens=100)))
        whole.start()
        time.sleep(0.5)
        fleet.processes[loaded[0]].kill()
        stream.join(15)
        whole.join(30)
        self.assertFalse(stream.is_whole())
        self.assertIn("event: error", stream.text)
        self.assertEqual(result[0].status, 200, result[0].body)

    def test_a_killed_agent_does_not_stop_other_work(self):
        fleet = self.fleet(engine_flags=["--token_ms=30"])
        stream = Stream(fleet.ports["entry-1"])
        self.assertTrue(stream.first.wait(10))
        victim = next(name for name in fleet.engine_names if fleet.stats(name)["requests"] > 0)
        fleet.processes["agent-" + victim].kill()
        answer = fleet.chat(0, "restorersr2")
        self.assertEqual(answer.status, 200, answer.body)
        stream.join(20)
        self.assertFalse(stream.is_whole())
        fleet.processes["agent-" + victim].restart()
        fleet.wait_until(lambda: fleet.state("agent-" + victim)["target"]["fencing_number"] == 2,
                         "the new agent holds the next fencing number", 30)

    def test_a_crashing_request_takes_down_at_most_two_targets(self):
        # Design 5.7; the caller resends to both entries.
        fleet = self.fleet(engines=4, engine_flags=["--crash_marker=POISON"])
        codes = []
        for attempt in range(6):
            answer = fleet.chat(attempt % 2, "restorersr1", prompt="POISON", timeout=60)
            codes.append(answer.error().get("code"))
        dead = [name for name in fleet.engine_names if not fleet.processes[name].is_running()]
        self.assertLessEqual(len(dead), 2, codes)
        self.assertEqual(codes[-1], "quarantined", codes)
        answer = fleet.chat(0, "restorersr1", prompt="harmless")
        self.assertEqual(answer.status, 200, answer.body)

    def test_a_booking_cut_in_the_middle_never_runs_twice(self):
        # Invariants 8 and 9.
        fleet = self.fleet(services=2)
        for name in fleet.service_names:
            call(fleet.ports[name], "POST", "/fault", {"drop_after": True})
        first = fleet.post(0, "/bookings", {"slot": 1}, KEY, {"Idempotency-Key": "cut"})
        self.assertEqual(first.error()["execution"], "outcome_unknown", first.body)
        for name in fleet.service_names:
            call(fleet.ports[name], "POST", "/fault", {})
        for entry in (0, 1):
            again = fleet.post(entry, "/bookings", {"slot": 1}, KEY, {"Idempotency-Key": "cut"})
            self.assertEqual(again.error()["execution"], "outcome_unknown", again.body)
        executions = sum(fleet.stats(name)["executions"] for name in fleet.service_names)
        self.assertEqual(executions, 1)

    def test_a_killed_agent_leaves_a_booking_unresolved_and_unrepeated(self):
        # Invariant 9.
        fleet = self.fleet(services=2)
        for name in fleet.service_names:
            call(fleet.ports[name], "POST", "/fault", {"slow_ms": 1500})
        result = []
        thread = threading.Thread(target=lambda: result.append(fleet.post(
            0, "/bookings", {"slot": 2}, KEY, {"Idempotency-Key": "kill"})))
        thread.start()
        time.sleep(0.5)
        busy = [name for name in fleet.service_names
                if fleet.state("agent-" + name)["target"]["running"] > 0]
        self.assertEqual(len(busy), 1)
        fleet.processes["agent-" + busy[0]].kill()
        again = fleet.post(1, "/bookings", {"slot": 2}, KEY, {"Idempotency-Key": "kill"})
        self.assertEqual(again.error().get("execution"), "outcome_unknown", again.body)
        thread.join(30)
        self.assertNotEqual(result[0].status, 201)
        time.sleep(2)
        executions = sum(fleet.stats(name)["executions"] for name in fleet.service_names)
        self.assertLessEqual(executions, 1)

    def test_a_platform_outage_stops_only_bookings(self):
        # Design 8, "store down"; longer than lease and confirmation.
        fleet = self.fleet()
        self.assertEqual(fleet.chat(0, "restorersr1").status, 200)
        call(fleet.ports["platform"], "POST", "/fault", {"down": True})
        end = time.monotonic() + 14
        while time.monotonic() < end:
            for entry in (0, 1):
                answer = fleet.chat(entry, "restorersr1")
                self.assertEqual(answer.status, 200, answer.body)
            time.sleep(0.3)
        refused = fleet.post(0, "/bookings", {"slot": 3}, KEY, {"Idempotency-Key": "down"})
        self.assertEqual(refused.error().get("execution"), "not_run", refused.body)
        self.assertIn("Retry-After", refused.headers)
        call(fleet.ports["platform"], "POST", "/fault", {})
        fleet.wait_until(lambda: fleet.post(1, "/bookings", {"slot": 3}, KEY,
                                            {"Idempotency-Key": "down"}).status == 201,
                         "the booking works after the outage", 10)
        self.assertEqual(fleet.stats("service-1")["executions"], 1)

    def test_a_planned_stop_of_an_entry_cuts_no_request(self):
        # Invariant 11.
        fleet = self.fleet(engine_flags=["--token_ms=20"])
        stream = Stream(fleet.ports["entry-1"], max_tokens=150)
        self.assertTrue(stream.first.wait(10))
        self.assertEqual(stop_as_planned(fleet, "entry-1"), 0)
        stream.join(10)
        self.assertTrue(stream.is_whole())

        def shares_moved():
            shares = fleet.state("entry-2")["shares"]
            return all(share["units"] == 1_000_000 for share in shares)
        fleet.wait_until(shares_moved, "the other entry has all units", 15)

    def test_a_planned_stop_of_an_agent_cuts_no_request(self):
        # Invariants 10 and 11: work goes on elsewhere, streams finish.
        fleet = self.fleet(engine_flags=["--token_ms=20"])
        stream = Stream(fleet.ports["entry-1"], max_tokens=150)
        self.assertTrue(stream.first.wait(10))
        victim = next(name for name in fleet.engine_names if fleet.stats(name)["requests"] > 0)
        codes = []
        stopped = threading.Event()

        def keep_asking():
            while not stopped.is_set():
                codes.append(fleet.chat(1, "restorersr1", max_tokens=4).status)
        asking = threading.Thread(target=keep_asking)
        asking.start()
        code = stop_as_planned(fleet, "agent-" + victim)
        stopped.set()
        asking.join()
        stream.join(10)
        self.assertEqual(code, 0)
        self.assertTrue(stream.is_whole())
        self.assertEqual(set(codes), {200})

    def test_a_silent_connection_is_replaced_and_the_stream_resumes(self):
        # Invariant 7 and design 5.8: open connections go silent for good, new ones work.
        fleet = self.fleet(engine_flags=["--token_ms=20"], relay_agents=True)
        streams = [Stream(fleet.ports[name], max_tokens=200) for name in fleet.entry_names]
        for stream in streams:
            self.assertTrue(stream.first.wait(10))
        time.sleep(0.5)
        fleet.set_relays("silence_open")
        for stream in streams:
            stream.join(30)
            self.assertTrue(stream.is_whole(), stream.text[-300:])
            self.assertLess(stream.largest_gap, 2)
        self.assertEqual(len({stream.text.count("data: ") for stream in streams}), 1)

    def test_a_cut_network_heals_without_wrong_answers(self):
        # Invariant 7: all connections between entries and agents are cut for a second.
        fleet = self.fleet(engine_flags=["--token_ms=20"], relay_agents=True)
        stream = Stream(fleet.ports["entry-1"], max_tokens=200)
        self.assertTrue(stream.first.wait(10))
        fleet.set_relays("cut")
        time.sleep(1)
        fleet.set_relays("pass")
        stream.join(30)
        self.assertTrue(stream.is_whole(), stream.text[-300:])
        self.assertEqual(fleet.chat(0, "restorersr1").status, 200)

    def test_a_revision_is_in_force_everywhere_within_two_seconds(self):
        # Invariant 12, with a racing operator and a slow store.
        fleet = self.fleet(entries=3, engines=3)
        with open(DEMO, encoding="utf-8") as file:
            source = file.read()
        longest = 0.0
        for revision in range(2, 8):
            if revision == 5:
                call(fleet.ports["platform"], "POST", "/fault", {"service": "rows", "slow_ms": 150})
            path = os.path.join(fleet.folder.name, f"revision-{revision}.json")
            with open(path, "w", encoding="utf-8") as file:
                file.write(source.replace('"rate": 5000', f'"rate": {5000 + revision}'))
            fleet.ctl("apply", path, f"--expect-revision={revision - 1}")
            start = time.monotonic()
            late = fleet.ctl("apply", DEMO, f"--expect-revision={revision - 1}", check=False)
            self.assertEqual(late.returncode, 3, late.stdout + late.stderr)
            fleet.wait_until(lambda wanted=revision: all(
                fleet.state(name)["revision"] == wanted for name in fleet.daemons()),
                             "the revision is in force everywhere", 10)
            longest = max(longest, time.monotonic() - start)
        self.assertLess(longest, 2)

    def test_a_withdrawal_by_the_operators_command_is_in_force_everywhere(self):
        # Invariant 5.
        fleet = self.fleet(engine_flags=["--token_ms=30"])
        stream = Stream(fleet.ports["entry-2"])
        self.assertTrue(stream.first.wait(10))
        fleet.ctl("key", "withdraw", "restorers-main")
        withdrawn = time.monotonic()
        stream.join(10)
        self.assertLess(stream.ended_at - withdrawn, 2)
        self.assertIn("key_withdrawn", stream.text)

    def test_processes_talk_by_tls_and_refuse_a_peer_without_a_certificate(self):
        fleet = self.fleet(tls=True)
        for entry in (0, 1):
            self.assertEqual(fleet.chat(entry, "restorersr1", stream=True).status, 200)
        # An entry of the same fleet without TLS never sees the agents.
        fleet.tls = None
        fleet.entry_names.append("entry-3")
        fleet.start_entry("entry-3", 2)
        fleet.wait_until(lambda: fleet.state("entry-3")["revision"] == 1, "entry-3 runs", 10)
        time.sleep(2)
        self.assertEqual([target for target in fleet.state("entry-3")["targets"]
                          if target["live"]], [])

    def test_three_hundred_open_streams_do_not_block_other_callers(self):
        # Guards against a worker pool in which open streams take all threads.
        fleet = self.fleet(engine_flags=["--token_ms=20"])
        streams = [Stream(fleet.ports["entry-1"], model=f"restorersr{index % 6 + 1}", max_tokens=20)
                   for index in range(300)]
        start = time.monotonic()
        self.assertEqual(call(fleet.ports["entry-1"], "GET", "/registers/1").status, 200)
        self.assertEqual(call(fleet.admin_ports["entry-1"], "GET", "/readyz").status, 200)
        self.assertLess(time.monotonic() - start, 2)
        for stream in streams:
            stream.join(60)
        self.assertEqual([stream.text[-300:] for stream in streams if not stream.is_whole()], [])

    def test_a_leaving_target_gets_no_new_work(self):
        # Invariant 10: the membership list says leaving.
        fleet = self.fleet()
        state = fleet.state("agent-engine-1")
        fleet.register("agent-engine-1", "agent",
                       f"127.0.0.1:{fleet.ports['agent-engine-1.peer']}", state["data_centre"],
                       "leaving")
        time.sleep(3)
        before = fleet.stats("engine-1")["requests"]
        for index in range(20):
            self.assertEqual(fleet.chat(index % 2, f"restorersr{index % 8 + 1}").status, 200)
        self.assertEqual(fleet.stats("engine-1")["requests"], before)

    def test_an_entry_is_not_ready_while_it_is_not_listed_as_live(self):
        # Guards against wrongful refusals by an entry to which peers give no shares.
        fleet = self.fleet()
        peer = f"127.0.0.1:{fleet.ports['entry-1.peer']}"
        fleet.register("entry-1", "entry", peer, "dc-a", "leaving")

        def status():
            return call(fleet.admin_ports["entry-1"], "GET", "/readyz").status
        fleet.wait_until(lambda: status() == 503, "the leaving entry is not ready", 5)
        fleet.register("entry-1", "entry", peer, "dc-a")
        fleet.wait_until(lambda: status() == 200, "the listed entry is ready", 5)

    def give_units_to_the_first_entry(self, fleet):
        """Without units of its own, the loss of the entry would leave nothing to reclaim."""
        def has_units():
            fleet.chat(0, "restorersr1")
            shares = fleet.state("entry-1")["shares"]
            return any(share["units"] > 0 for share in shares)
        fleet.wait_until(has_units, "the first entry holds units", 10)

    def test_a_killed_entry_gives_its_shares_back(self):
        # Design 5.1: units of a dead holder return through the ledger.
        fleet = self.fleet()
        self.give_units_to_the_first_entry(fleet)
        fleet.processes["entry-1"].kill()

        def reclaimed():
            shares = fleet.state("entry-2")["shares"]
            return all(share["units"] == 1_000_000 for share in shares)
        fleet.wait_until(reclaimed, "the units of the killed entry are reclaimed", 20)
        self.assertEqual(fleet.chat(1, "restorersr1").status, 200)

    def test_a_paused_entry_spends_nothing_after_its_lease(self):
        # Invariant 6: the paused process wakes fenced.
        fleet = self.fleet()
        self.give_units_to_the_first_entry(fleet)
        fleet.processes["entry-1"].pause()

        def reclaimed():
            shares = fleet.state("entry-2")["shares"]
            return all(share["units"] == 1_000_000 for share in shares)
        fleet.wait_until(reclaimed, "the units of the paused entry are reclaimed", 20)
        fleet.processes["entry-1"].resume()
        answer = fleet.chat(0, "restorersr1", max_tokens=4)
        self.assertEqual((answer.status, answer.error().get("execution")), (503, "not_run"),
                         answer.body)
        # The fenced incarnation ends; a new one serves.
        self.assertEqual(fleet.processes["entry-1"].wait_exit(15), 3)
        fleet.processes["entry-1"].restart()
        fleet.wait_serving()


if __name__ == "__main__":
    if len(sys.argv) > 1 and not sys.argv[1].startswith("-"):
        BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
