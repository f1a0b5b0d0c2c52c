"""Tests of slots and waiting requests."""

import random

import pytest
from vanillamast_sidecar.admission.admission_queue import AdmissionQueue


class TestAdmissionQueue:
    """Grants by rank, then by soft deadline."""

    def test_urgent_requests_go_first(self):
        """Guards against nested calls that wait behind their own parents."""
        queue: AdmissionQueue[str] = AdmissionQueue(1)
        assert queue.try_acquire_slot(0.0)
        queue.enqueue(2, 1.0, 0.1, "page")
        queue.enqueue(1, 9.0, 0.1, "post")
        queue.enqueue(-1, 5.0, 0.1, "nested")
        queue.enqueue(1, 3.0, 0.1, "sooner post")
        granted = []
        for _ in range(4):
            queue.release_slot()
            granted.append(queue.grant_next(0.0))
        assert granted == ["nested", "sooner post", "post", "page"]

    def test_the_limit_is_never_exceeded(self):
        """Guards against more running requests than the server has slots."""
        rng = random.Random(3)
        queue: AdmissionQueue[int] = AdmissionQueue(4)
        sequences: list[int] = []
        for step in range(5000):
            action = rng.random()
            if action < 0.4:
                if not queue.try_acquire_slot(0.0):
                    sequence = queue.enqueue(rng.randrange(3), step, 0.1, step)
                    sequences.append(sequence)
            elif action < 0.55 and sequences:
                queue.remove(sequences.pop(rng.randrange(len(sequences))))
            elif queue.running:
                queue.release_slot()
                queue.grant_next(0.0)
            assert 0 <= queue.running <= 4
            assert queue.size == len(queue.items)

    def test_the_wait_counts_only_requests_ahead(self):
        """Guards against urgent requests refused because others wait."""
        queue: AdmissionQueue[str] = AdmissionQueue(2)
        queue.try_acquire_slot(0.0)
        queue.try_acquire_slot(0.0)
        for _ in range(10):
            queue.enqueue(2, 1.0, 0.2, "page")
        assert queue.expected_wait_s(1, 1.0, 0.0) == queue.mean_service_s / 2
        assert queue.expected_wait_s(2, 2.0, 0.0) > 1.0

    def test_a_free_slot_means_no_wait(self):
        """Guards against refusals while the server is idle."""
        queue: AdmissionQueue[str] = AdmissionQueue(1)
        assert queue.expected_wait_s(5, 0.0, 0.0) == 0.0

    def test_the_wait_counts_requests_that_will_overtake(self):
        """Guards against admitted requests that miss their soft deadline."""
        queue: AdmissionQueue[str] = AdmissionQueue(4)
        for _ in range(4):
            queue.try_acquire_slot(0.0)
        calm_s = queue.expected_wait_s(2, 1.0, 0.0)
        for step in range(400):
            # More urgent requests use two of the four slots.
            queue.record_slot_use(1, 0.02, step * 0.01)
        busy_s = queue.expected_wait_s(2, 1.0, 4.0)
        assert 1.8 * calm_s < busy_s < 2.2 * calm_s
        assert queue.expected_wait_s(1, 1.0, 4.0) == calm_s
        assert queue.expected_wait_s(2, 1.0, 20.0) < 1.01 * calm_s


class TestFirstDurations:
    """Estimates of a queue that has seen few requests."""

    def test_the_wait_is_estimated_before_a_request_has_ended(self):
        """Guards against a restarted node that admits far too many."""
        queue: AdmissionQueue[str] = AdmissionQueue(1)
        queue.assume_duration(1.0)
        assert queue.try_acquire_slot(0.0)
        assert queue.expected_wait_s(1, 1.0, 0.0) == pytest.approx(0.4)

    def test_the_first_durations_replace_the_estimate(self):
        """Guards against an estimate that outlives the first requests."""
        queue: AdmissionQueue[str] = AdmissionQueue(1)
        queue.assume_duration(1.0)
        for held_s in (0.1, 0.3):
            queue.record_duration("r", held_s)
        queue.assume_duration(5.0)
        assert queue.mean_service_s == pytest.approx(0.2)


class TestRateLimit:
    """Slots are granted within the rate limit of the server."""

    def limited(self, slots=4, limit=10.0):
        """Returns a queue whose server has named a limit."""
        queue: AdmissionQueue[str] = AdmissionQueue(slots)
        queue.limiter.apply_limit(limit, 0.0)
        return queue

    def test_a_free_slot_is_not_enough(self):
        """Guards against slots that are granted beyond the limit."""
        queue = self.limited()
        assert not queue.try_acquire_slot(0.05)
        queue.enqueue(1, 1.0, 0.1, "page")
        assert queue.grant_next(0.05) is None
        assert queue.next_grant_s(0.05) == pytest.approx(0.05)
        assert queue.grant_next(0.1) == "page"

    def test_urgent_requests_get_the_rate_first(self):
        """Guards against a limit that is shared out by arrival."""
        queue = self.limited()
        queue.enqueue(2, 1.0, 0.1, "page")
        queue.enqueue(1, 2.0, 0.1, "post")
        assert queue.grant_next(0.1) == "post"
        assert queue.grant_next(0.1) is None
        assert queue.grant_next(0.2) == "page"

    def test_the_wait_is_that_of_the_rate(self):
        """Guards against requests that wait until their time is over."""
        queue = self.limited()
        assert queue.expected_wait_s(1, 1.0, 0.0) == pytest.approx(0.1)
        for _ in range(5):
            queue.enqueue(1, 1.0, 0.1, "page")
        assert queue.expected_wait_s(1, 1.0, 0.0) == pytest.approx(0.6)
        assert queue.expected_wait_s(0, 1.0, 0.0) == pytest.approx(0.1)

    def test_the_wait_counts_urgent_requests_to_come(self):
        """Guards against requests of a low rank that are always overtaken."""
        queue = self.limited()
        for step in range(50):
            queue.record_slot_use(1, 0.01, step * 0.2)
        for _ in range(8):
            queue.enqueue(2, 1.0, 0.1, "page")
        calm_s = queue.limiter.delay_s(10.0, 8)
        assert calm_s > 0.0
        assert queue.expected_wait_s(2, 2.0, 10.0) > 1.5 * calm_s

    def test_a_request_that_was_not_sent_uses_no_rate(self):
        """Guards against a limit that is spent on requests never sent."""
        queue = self.limited()
        assert queue.try_acquire_slot(0.1)
        queue.release_slot(sent=False)
        assert queue.try_acquire_slot(0.1)
