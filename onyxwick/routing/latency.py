"""Latencies measured by this router: the time of a transfer, and when an answer is late or overdue.

Input: sizes of requests (kB) and latencies of answers (microseconds). Output: mean transfer and answer
latencies by request class, the mean fill latency, and two thresholds: an answer that exceeds its class's
latency objective is late; an attempt that exceeds the mean by `OVERDUE_DEVIATIONS` mean deviations is
overdue (the estimator of TCP's retransmission timeout, Jacobson 1988).
"""

from __future__ import annotations

from onyxwick.interface import RequestArrived, RouterSettings
from onyxwick.routing.state import RequestState
from onyxwick.routing.units import US_PER_S

OVERDUE_DEVIATIONS = 4.0
SAMPLE_WEIGHT = 0.05
INITIAL_FILL_US = 0.2 * US_PER_S
INITIAL_TRANSFER_SHARE = 0.5  # Mean transfer time at the start, as a share of the class's latency objective.


class LatencyEstimate:
    """Estimates the moving mean and the mean deviation of a latency, in microseconds."""

    __slots__ = ("deviation_us", "mean_us")

    def __init__(self, initial_us: float) -> None:
        self.mean_us = initial_us
        self.deviation_us = initial_us / 2

    def add(self, sample_us: float) -> None:
        """Update the estimate with one measurement."""
        self.deviation_us += SAMPLE_WEIGHT * (abs(sample_us - self.mean_us) - self.deviation_us)
        self.mean_us += SAMPLE_WEIGHT * (sample_us - self.mean_us)

    def overdue_after_us(self) -> float:
        """Return the latency above which an answer is overdue, in microseconds."""
        return self.mean_us + OVERDUE_DEVIATIONS * self.deviation_us


class LatencyTracker:
    """Holds the latency estimates of one router, by name of the request class."""

    def __init__(self, settings: RouterSettings) -> None:
        classes = settings.classes
        self.transfer_kb_per_s = settings.transfer_kb_per_s
        self.transfer = {
            c.name: LatencyEstimate(c.latency_objective_us * INITIAL_TRANSFER_SHARE) for c in classes
        }
        """Time for which an answer occupies a member's link at full speed."""
        self.answer = {c.name: LatencyEstimate(c.latency_objective_us) for c in classes}
        """Time from the start of an attempt to its answer."""
        self.fill = LatencyEstimate(INITIAL_FILL_US)
        """Latency of answers that were filled from another member, across all classes."""

    def observe_size(self, arrival: RequestArrived) -> None:
        """Update the mean transfer time of a class from a request whose answer's size is known."""
        if arrival.size_kb and self.transfer_kb_per_s:
            self.transfer[arrival.class_name].add(arrival.size_kb / self.transfer_kb_per_s * US_PER_S)

    def observe_local_answer(self, request: RequestState, latency_us: int) -> None:
        """Update a class's mean transfer time from an answer without a fill whose size was not known."""
        if not request.arrival.size_kb:
            request_class = request.request_class
            objective_us = request_class.latency_objective_us
            self.transfer[request_class.name].add(min(latency_us, objective_us))

    def is_late(self, request: RequestState, latency_us: int) -> bool:
        """Return whether an answer misses its latency objective, which grows with the transfer time."""
        request_class = request.request_class
        transfer_us = 0.0
        if self.transfer_kb_per_s:
            transfer_us = request.arrival.size_kb / self.transfer_kb_per_s * US_PER_S
        transfer_us = transfer_us or self.transfer[request_class.name].mean_us
        stretch = request_class.latency_objective_stretch
        return latency_us > request_class.latency_objective_us + stretch * transfer_us

    def overdue_after_us(self, class_name: str) -> int:
        """Return the time after which an attempt of a class is overdue, in microseconds."""
        return int(self.answer[class_name].overdue_after_us())

    def longest_transfer_us(self) -> float:
        """Return the largest mean transfer time of all classes, in microseconds."""
        return max(estimate.mean_us for estimate in self.transfer.values())
