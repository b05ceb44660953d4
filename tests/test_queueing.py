"""Tests for fair sharing between organisations."""

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from catkintrail.core import queueing


def make_queue_entry(
    number, organisation, weight=1.0, cost=1.0, deadline=9.0, urgency=5
):
    return queueing.QueuedRequest(
        f"r{number}", organisation, weight, cost, deadline, urgency, None
    )


def serve_next(queue):
    return queue.serve(next(queue.heads()).request_id)


class FairQueueTests(testtools.TestCase):

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from([1.0, 2.0, 4.0]), min_size=2, max_size=4
        ),
        strategies.integers(1, 30),
    )
    def test_backlogged_organisations_share_by_weight(
        self, weights, backlog_factor
    ):
        queue = queueing.FairQueue()
        number = 0
        for index, weight in enumerate(weights):
            for _ in range(40 * (backlog_factor if index == 0 else 1)):
                number += 1
                queue.push(make_queue_entry(number, f"o{index}", weight))
        served = dict.fromkeys(range(len(weights)), 0)
        total = 40
        for _ in range(total):
            served[int(serve_next(queue).organisation[1:])] += 1
        for index, weight in enumerate(weights):
            fair = total * weight / sum(weights)
            self.assertThat(served[index], matchers.GreaterThan(fair - 2.01))

    def test_idle_organisation_earns_no_credit(self):
        queue = queueing.FairQueue()
        for number in range(20):
            queue.push(make_queue_entry(number, "busy"))
        for _ in range(10):
            serve_next(queue)
        for number in range(20, 40):
            queue.push(make_queue_entry(number, "late"))
        served = [serve_next(queue).organisation for _ in range(10)]
        self.assertThat(served.count("busy"), matchers.GreaterThan(3))

    def test_urgency_then_deadline_inside_an_organisation(self):
        queue = queueing.FairQueue()
        queue.push(make_queue_entry(1, "o", deadline=5.0))
        queue.push(make_queue_entry(2, "o", deadline=3.0))
        queue.push(make_queue_entry(3, "o", deadline=9.0, urgency=9))
        order = [serve_next(queue).request_id for _ in range(3)]
        self.assertEqual(["r3", "r2", "r1"], order)

    @hypothesis.given(strategies.data())
    def test_work_is_the_sum_of_the_waiting_costs(self, data):
        queue = queueing.FairQueue()
        queued = {}
        for number in range(20):
            action = data.draw(
                strategies.sampled_from(["push", "remove", "serve"])
            )
            if action == "push":
                request = make_queue_entry(
                    number, data.draw(strategies.sampled_from("ab"))
                )
                queued[request.request_id] = request
                queue.push(request)
            elif queued:
                name = data.draw(strategies.sampled_from(sorted(queued)))
                del queued[name]
                getattr(queue, action)(name)
            self.assertEqual(len(queued), len(queue))
            self.assertAlmostEqual(float(len(queued)), queue.work)
            self.assertThat(
                queue.work_ahead("a", 1.0),
                matchers.LessThan(queue.work + 1e-9),
            )
