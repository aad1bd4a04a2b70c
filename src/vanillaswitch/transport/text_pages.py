"""Metrics as text for a scraper, and the balancer's question, over HTTP."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import json
from typing import Any

import prometheus_client
from prometheus_client import core
from prometheus_client import exposition
from prometheus_client import registry

from vanillaswitch.internal import histograms
from vanillaswitch.transport import sockets

PATH = "/metrics"

_PREFIX = "vanillaswitch"
_QUANTILES = {"p50_us": 0.5, "p99_us": 0.99}

Ready = Callable[[], tuple[bool, str]]
Counts = Callable[[], Mapping[str, int]]
Latencies = Callable[[], Mapping[str, histograms.Histograms]]


class _Collector(registry.Collector):
    """Shows what the process counted and measured."""

    def __init__(self, counts: Counts, latencies: Latencies):
        self._counts = counts
        self._latencies = latencies

    def collect(self) -> Iterator[core.Metric]:
        """Yields one metric for the events and one for each latency."""
        counted = core.CounterMetricFamily(
            f"{_PREFIX}_events", "Events since the start.", labels=["event"]
        )
        for name, count in sorted(self._counts().items()):
            counted.add_metric([name], count)
        yield counted
        for name, found in self._latencies().items():
            yield _summary(name, found)


def _summary(name: str, found: histograms.Histograms) -> core.Metric:
    family = core.GaugeMetricFamily(
        f"{_PREFIX}_{name}_seconds",
        "Quantiles since the start; the count stands under quantile n.",
        labels=["queue", "quantile"],
    )
    for queue, summary in sorted(found.summaries().items()):
        for field, quantile in _QUANTILES.items():
            value = getattr(summary, field) / 1e6
            family.add_metric([queue, str(quantile)], value)
        family.add_metric([queue, "1"], summary.max_us / 1e6)
        family.add_metric([queue, "n"], summary.count)
    return family


@contextlib.contextmanager
def metrics(
    address: str, counts: Counts, latencies: Latencies
) -> Iterator[None]:
    """Serves metrics at ``/metrics`` while the block lasts."""
    collectors = prometheus_client.CollectorRegistry(auto_describe=False)
    collectors.register(_Collector(counts, latencies))

    def page() -> tuple[str, str, bytes]:
        text = exposition.generate_latest(collectors)
        return "200 OK", exposition.CONTENT_TYPE_LATEST, text

    with _serving(address, page):
        yield


@contextlib.contextmanager
def readiness(address: str, ready: Ready) -> Iterator[None]:
    """Answers 200 while clients may be sent here, else 503 with the reason."""

    def page() -> tuple[str, str, bytes]:
        good, reason = ready()
        status = "200 OK" if good else "503 Service Unavailable"
        body = json.dumps({"ready": good, "reason": reason}).encode()
        return status, "application/json", body

    with _serving(address, page):
        yield


@contextlib.contextmanager
def _serving(
    address: str, page: Callable[[], tuple[str, str, bytes]]
) -> Iterator[None]:
    def application(_environ: Any, start_response: Any) -> list[bytes]:
        status, media_type, body = page()
        start_response(status, [("Content-Type", media_type)])
        return [body]

    server = sockets.HttpServer(sockets.listen(address), application)
    # Named by its address, so that no resolver is asked.
    server.environ["SERVER_NAME"] = address
    server.start()
    try:
        yield
    finally:
        server.stop(timeout=0)
