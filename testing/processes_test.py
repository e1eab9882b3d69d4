"""Tests of processes.py with the stand-ins. Usage: processes_test.py BUILD_FOLDER"""

import os
import signal
import sys
import time
import unittest

from processes import (ProcessError, ProcessGroup, free_port, get_json, post_json, request,
                       wait_until)

BUILD = sys.argv.pop()


class ProcessesTest(unittest.TestCase):
    def test_load_through_relay_and_weight_store(self):
        """Guards against stand-ins that do not work together as processes."""
        with ProcessGroup(BUILD) as group:
            platform = group.start_stub("platform", "testing/foxtailturn_platform_stub")
            engine = group.start_stub("engine", "testing/foxtailturn_engine_stub",
                                      f"--weights_url={platform.url}")
            relay = group.start_relay("relay", engine.port)
            order = {"lora_name": "a@1", "lora_path": "a/1"}
            self.assertEqual(post_json(relay.url + "/v1/load_lora_adapter", order)[0], 200)
            report = group.run_load(relay.url, "--models=a@1", "--streams=4", "--requests=20")
            self.assertEqual(report["complete"], 20)
            post_json(relay.control_url + "/mode", {"mode": "cut"})
            report = group.run_load(relay.url, "--models=a@1", "--requests=5")
            self.assertEqual(report["failed"], 5)
            self.assertEqual(get_json(platform.url + "/stats")[1]["requests"]["weights"], 1)

    def test_pause_resume_and_stop(self):
        """Guards against a pause that has not taken effect and processes left behind."""
        with ProcessGroup(BUILD) as group:
            service = group.start_stub("service", "testing/foxtailturn_service_stub")
            service.pause()
            with self.assertRaises(OSError):
                request("GET", service.url + "/stats", timeout=0.3)
            service.resume()
            self.assertEqual(get_json(service.url + "/stats")[0], 200)
            service.terminate()
            self.assertEqual(service.wait_exit(), 0)
            paused = group.start_stub("paused", "testing/foxtailturn_service_stub")
            paused.pause()
            killed = group.start_stub("killed", "testing/foxtailturn_service_stub")
            self.assertEqual(killed.kill(), -9)
        self.assertFalse(paused.is_running())

    def test_process_that_another_thread_waits_for(self):
        """Guards against an error when a process is killed in another thread and ends meanwhile."""
        with ProcessGroup(BUILD) as group:
            service = group.start_stub("service", "testing/foxtailturn_service_stub")
            with service._popen._waitpid_lock:  # as the other thread holds it while it waits
                os.kill(service.pid, signal.SIGKILL)
                os.waitpid(service.pid, 0)
                service.terminate()
            self.assertFalse(service.is_running())

    def test_crash_marker_ends_the_engine(self):
        with ProcessGroup(BUILD) as group:
            engine = group.start_stub("engine", "testing/foxtailturn_engine_stub",
                                      "--crash_marker=BOOM")
            with self.assertRaises(OSError):
                post_json(engine.url + "/v1/completions", {"model": "base", "prompt": "a BOOM b"})
            self.assertEqual(engine.wait_exit(), 70)

    def test_failed_start_is_reported_with_output(self):
        """Guards against a wait for the full time when a process has ended already."""
        with ProcessGroup(BUILD) as group:
            start = time.monotonic()
            with self.assertRaisesRegex(ProcessError, "invalid --target"):
                relay = group.start("relay", "testing/foxtailturn_relay", port=free_port())
                relay.wait_ready()
            self.assertLess(time.monotonic() - start, 10)
            with self.assertRaises(ProcessError):
                wait_until(lambda: False, 0.1, "never")


if __name__ == "__main__":
    unittest.main()
