"""Tests of the request to stop that a signal handler makes."""

import sys
import threading

import testtools

from catkintrail.adapters import stop_request


class StopRequestTests(testtools.TestCase):

    def test_wait_ends_with_the_request(self):
        request = stop_request.StopRequest()
        self.assertFalse(request.wait(0.01))
        request.make()
        request.make()
        self.assertTrue(request.wait(5.0))

    def test_request_may_be_made_at_each_step_of_the_wait(self):
        # Guards against a process that never stops, as the handler waits for a
        # lock of the thread that it interrupts.
        results = []
        for step in range(60):
            request = stop_request.StopRequest()
            thread = threading.Thread(
                target=self.wait_traced,
                args=(request, step, results),
                daemon=True,
            )
            thread.start()
            thread.join(5.0)
            self.assertFalse(thread.is_alive(), f"blocked at step {step}")
        self.assertEqual([True] * 60, results)

    def wait_traced(self, request, step, results):
        steps = 0

        def trace(frame, event, argument):
            nonlocal steps
            if event == "line":
                if steps == step:
                    sys.settrace(None)
                    request.make()
                steps += 1
            return trace

        sys.settrace(trace)
        try:
            is_made = request.wait(0.05)
        finally:
            sys.settrace(None)
        if steps <= step:
            # The wait has fewer steps.
            request.make()
        results.append(is_made or request.wait(0.0))
