"""Counters and gauges of the daemon as Prometheus text, which is rendered on request only."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from ladderhub.interface import Outcome
from ladderhub.owner.types import Answer

_BUCKET_BOUNDS_MS = (5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)
_MS = 1_000_000


class Metrics:
    """Counters of one daemon, and gauges that its components add."""

    def __init__(self) -> None:
        self.taken = self.offers = self.rejected = self.troubles = 0
        self._answers: Counter[str] = Counter()
        self._outcomes: Counter[str] = Counter()
        self._start_counts = [0] * (len(_BUCKET_BOUNDS_MS) + 1)
        self._start_sum_s = 0.0
        self._gauges: list[tuple[str, str, Callable[[], float]]] = []
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def add_gauge(self, name: str, text: str, value: Callable[[], float]) -> None:
        """Add a gauge whose value is read each time the page is rendered."""
        self._gauges.append((f"ladderhub_{name}", text, value))

    def register(self, collector: Collector) -> None:
        """Add the metrics of a collector that a component keeps itself."""
        self._registry.register(collector)

    def count_answer(self, answer: Answer) -> None:
        """Count the final answer to a placement."""
        self._answers[answer.value] += 1

    def count_failed_offer(self, outcome: Outcome) -> None:
        """Count an offer that was not placed."""
        self._outcomes[outcome.name.lower()] += 1

    def observe_start(self, elapsed_ns: int) -> None:
        """Record the time from the sending of an offer to its placement."""
        ms = elapsed_ns / _MS
        self._start_sum_s += ms / 1000
        at = next((at for at, bound in enumerate(_BUCKET_BOUNDS_MS) if ms <= bound), len(_BUCKET_BOUNDS_MS))
        self._start_counts[at] += 1

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics except those of registered collectors."""
        for name, text, value in (
            ("taken", "Jobs committed", self.taken), ("offers", "Offers sent to nodes", self.offers),
            ("rejected", "Requests answered with an error", self.rejected),
            ("troubles", "Faults caught by the loop", self.troubles),
        ):  # fmt: skip
            yield CounterMetricFamily(f"ladderhub_{name}", text, value=value)
        answers = CounterMetricFamily("ladderhub_answers", "Final answers", labels=["answer"])
        for answer in Answer:
            answers.add_metric([answer.value], self._answers[answer.value])
        yield answers
        outcomes = CounterMetricFamily("ladderhub_offers_ended", "Offers not placed", labels=["outcome"])
        for outcome, count in sorted(self._outcomes.items()):
            outcomes.add_metric([outcome], count)
        yield outcomes
        for name, text, read_value in self._gauges:
            yield GaugeMetricFamily(name, text, value=read_value())
        total, buckets = 0, []
        for at, bound in enumerate(_BUCKET_BOUNDS_MS):
            total += self._start_counts[at]
            buckets.append((str(bound / 1000), total))
        buckets.append(("+Inf", total + self._start_counts[-1]))
        start = HistogramMetricFamily("ladderhub_offer_seconds", "Offer sent to placed")
        start.add_metric([], buckets, self._start_sum_s)
        yield start

    def render_page(self) -> tuple[int, str, bytes]:
        """Return the HTTP status, content type and body of the metrics page."""
        return 200, "text/plain; version=0.0.4", generate_latest(self._registry)
