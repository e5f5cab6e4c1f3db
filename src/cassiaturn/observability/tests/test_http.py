import json
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from cassiaturn.entities import Address, Outcome, RequestClass
from cassiaturn.observability import (
    BreakerState,
    ConfigurationStatus,
    HttpServer,
    InstanceState,
    Metrics,
    PeerStatus,
    QueueStatus,
    Ready,
    StatusDocument,
    TargetStatus,
    TenantStatus,
)
from cassiaturn.observability._page import format_duration

STATUS = StatusDocument(
    instance_id="osu-1",
    incarnation="osu-1~5f",
    failure_domain="osu",
    state=InstanceState.READY,
    ready=True,
    uptime_ms=90_000,
    store_breaker=BreakerState.OPEN,
    configuration=ConfigurationStatus(version=17, confirmed=False, age_ms=61_000),
    peers=[
        PeerStatus(
            instance_id="tema-1", failure_domain="tema", state="gone", connected=False
        )
    ],
    targets=[
        TargetStatus(
            target_id="runner-1",
            failure_domain="osu",
            worker="<script>alert(1)</script>",
            holder="osu-1",
            connected=True,
            leaving=False,
            health="healthy",
            slots=8,
            slots_in_use=3,
        ),
        TargetStatus(
            target_id="runner-2",
            failure_domain="osu",
            worker="worker-2",
            holder="",
            connected=False,
            leaving=False,
            health="",
            slots=8,
        ),
    ],
    tenants=[TenantStatus(name="counters", weight=2.0, quota_slots=96)],
    queues=[QueueStatus(request_class="urgent", queued=4, expected_wait_ms=1500)],
)


class FakeSource:
    def __init__(self) -> None:
        self.answer = Ready(ready=True)

    def ready(self) -> Ready:
        return self.answer

    def status(self) -> StatusDocument:
        return STATUS


class Site:
    def __init__(self) -> None:
        self.source = FakeSource()
        self.metrics = Metrics(instance_id="osu-1", failure_domain="osu")
        self.server = HttpServer(
            address=Address(host="127.0.0.1", port=0),
            source=self.source,
            metrics=self.metrics,
        )
        self.address = self.server.start()

    async def fetch(self, path: str, method: str = "GET") -> HTTPResponse:
        return await AsyncHTTPClient().fetch(
            f"http://{self.address}{path}",
            method=method,
            allow_nonstandard_methods=True,
            raise_error=False,
        )


@pytest_asyncio.fixture
async def site() -> AsyncIterator[Site]:
    site = Site()
    yield site
    await site.server.close()


async def test_readiness_follows_the_instance(site: Site) -> None:
    assert (await site.fetch("/ready")).code == 200
    site.source.answer = Ready(ready=False, reason="no configuration")
    response = await site.fetch("/ready")
    assert response.code == 503
    assert response.body == b"not ready: no configuration\n"
    assert response.headers["Retry-After"] == "1"
    assert (await site.fetch("/live")).code == 200


async def test_metrics_are_scraped(site: Site) -> None:
    request = site.metrics.for_requests("counters", RequestClass.URGENT)
    request.answered(Outcome.COMPLETE, 0.1, 0.09)
    response = await site.fetch("/metrics")
    assert response.headers["Content-Type"].startswith("text/plain; version=0.0.4")
    assert b"cassiaturn_response_time_seconds_bucket" in response.body


async def test_the_status_is_json(site: Site) -> None:
    response = await site.fetch("/status")
    document = json.loads(response.body)
    assert document["state"] == "ready"
    assert document["configuration"]["confirmed"] is False
    assert StatusDocument.model_validate(document) == STATUS


async def test_the_page_shows_every_table_and_escapes(site: Site) -> None:
    response = await site.fetch("/")
    page = response.body.decode()
    for text in ("osu-1", "runner-1", "tema-1", "counters", "3 of 8", "version 17"):
        assert text in page
    assert "not confirmed" in page
    assert "held by a peer" in page
    assert "not connected" in page.partition("<h2>Peers")[2]
    assert "not connected" not in page.partition("<h2>Peers")[0]
    assert '<meta http-equiv="refresh" content="5">' in page
    assert "width=device-width" in page
    assert "<script" not in page
    assert "&lt;script&gt;" in page


@pytest.mark.parametrize(
    ("path", "method", "code"),
    [("/nothing", "GET", 404), ("/ready", "POST", 405), ("/%00", "GET", 404)],
)
async def test_other_requests_get_a_plain_error(
    site: Site, path: str, method: str, code: int
) -> None:
    response = await site.fetch(path, method)
    assert response.code == code
    assert b"Traceback" not in response.body


async def test_a_body_is_not_taken_into_memory(site: Site) -> None:
    response = await AsyncHTTPClient().fetch(
        f"http://{site.address}/ready",
        method="POST",
        body=b"x" * 2048,
        raise_error=False,
    )
    assert response.code != 200
    assert (await site.fetch("/live")).code == 200


@pytest.mark.parametrize(
    ("duration_ms", "text"),
    [(0, "0 ms"), (1500, "1.5 s"), (90_000, "2 min"), (5_400_000, "1.5 h")],
)
def test_durations_have_a_fitting_unit(duration_ms: int, text: str) -> None:
    assert format_duration(duration_ms) == text
