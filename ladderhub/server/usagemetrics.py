"""Resource use of the process as metrics: processor time by cause, bytes and messages by kind."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from ladderhub.usage.processor import ProcessorTime
from ladderhub.usage.traffic import Traffic


class UsageMetrics(Collector):
    """Collects processor time and traffic of one daemon each time the page is rendered."""

    def __init__(self, processor: ProcessorTime, traffic: Traffic) -> None:
        self._processor, self._traffic = processor, traffic

    def collect(self) -> Iterator[Metric]:
        yield self._collect_processor_seconds()
        yield from self._collect_traffic()

    def _collect_processor_seconds(self) -> Metric:
        text = "Processor time by cause; the sum is the process's"
        family = CounterMetricFamily("ladderhub_processor_seconds", text, labels=["cause"])
        for cause, seconds in self._processor.seconds().items():
            family.add_metric([cause.value], seconds)
        return family

    def _collect_traffic(self) -> Iterator[Metric]:
        labels = ["kind", "direction"]
        sizes = CounterMetricFamily("ladderhub_bytes", "Bytes by kind of connection", labels=labels)
        messages = CounterMetricFamily("ladderhub_messages", "Messages by kind of connection", labels=labels)
        for kind, count in sorted(self._traffic.kinds.items()):
            sizes.add_metric([kind, "in"], count.bytes_in)
            sizes.add_metric([kind, "out"], count.bytes_out)
            messages.add_metric([kind, "in"], count.messages_in)
            messages.add_metric([kind, "out"], count.messages_out)
        yield sizes
        yield messages
