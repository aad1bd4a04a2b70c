"""Tests the adapters of the users' platform against a stand-in server."""

import contextlib
import pathlib
import re

import gevent
import pytest

from standins import advice_http
from standins import edge_http
from vanillaswitch import errors
from vanillaswitch.coordination.fleet import table_follower
from vanillaswitch.internal import clock as clocks
from vanillaswitch.platform import advice
from vanillaswitch.platform import http_table
from vanillaswitch.platform import job_body
from vanillaswitch.platform import machines
from vanillaswitch.platform import operator_rows
from vanillaswitch.platform import settings
from vanillaswitch.platform import upstreams
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform
from vanillaswitch.transport import plain_http
from vanillaswitch.transport import sockets

_SOURCE = pathlib.Path(http_table.__file__).parent.parent


@contextlib.contextmanager
def _platform(instances=1):
    standin = edge_http.EdgePlatform(instances, task_s=0.05)
    clock = clocks.SystemClock()
    with standin.serving(), plain_http.open_client(clock) as client:
        yield (
            standin,
            client,
            http_table.HttpTable(
                client, standin.address, clock, lambda _: None
            ),
        )


def _put(key, version, value):
    put = platform.Put(key, version, value)
    return platform.Transaction(f"token-{key}-{version}", (put,))


def test_commit_requires_the_expected_row_version():
    with _platform() as (_, _, store):
        written = store.commit(_put("job/a", 0, {"n": 1}))
        assert isinstance(written, platform.Committed)
        conflict = store.commit(_put("job/a", 0, {"n": 2}))
        assert isinstance(conflict, platform.Conflict)
        assert conflict.found[0].value == {"n": 1}
        assert conflict.found[0].token == "token-job/a-0"
        again = store.commit(_put("job/a", written.version, {"n": 3}))
        assert isinstance(again, platform.Committed)
        assert store.read(["job/a"]).rows[0].value == {"n": 3}


def test_conflict_returns_only_rows_with_another_version():
    with _platform() as (_, _, store):
        first = store.commit(_put("owner/a", 0, {}))
        store.commit(_put("owner/b", 0, {}))
        both = platform.Transaction(
            "both",
            (
                platform.Put("owner/a", first.version, {}),
                platform.Put("owner/b", 0, {}),
            ),
        )
        found = store.commit(both).found
        assert [row.key for row in found] == ["owner/b"]


def test_snapshot_holds_the_rows_of_all_partitions():
    with _platform() as (_, _, store):
        for number in range(30):
            store.commit(_put(f"job/{number}", 0, {"n": number}))
        snapshot = store.snapshot("job")
        assert {row.value["n"] for row in snapshot.rows} == set(range(30))
        scanned = store.scan("job/1")
        assert len(scanned.rows) == 11


def test_changes_continue_from_a_snapshot():
    with _platform() as (_, _, store):
        before = store.snapshot("job")
        store.commit(_put("job/a", 0, {"n": 1}))
        outcome = store.changes("job", before.version, 1.0)
        assert [change.key for change in outcome.changes] == ["a"]
        later = store.changes("job", outcome.version, 0.0)
        assert later.changes == ()


def test_follower_rereads_the_table_after_lost_history():
    with _platform() as (standin, _, store):
        store.commit(_put("job/a", 0, {"n": 1}))
        standin.rows.forget()
        assert isinstance(
            store.changes("job", 0, 0.0), change_feeds.HistoryTruncated
        )
        seen = []
        seen_events = []
        follower = table_follower.Follower(
            store,
            "job",
            clocks.SystemClock(),
            lambda snapshot: seen.extend(snapshot.rows),
            seen.extend,
            seen_events.append,
            pause_s=0.3,
        )
        task = gevent.spawn(follower.run)
        gevent.sleep(0.1)
        store.commit(_put("job/b", 0, {"n": 2}))
        standin.rows.forget()
        # The follower needs two pauses and three calls, far less than the
        # limit. It only takes this long if it never reads the table again.
        with gevent.Timeout(10.0, False):
            while {change.key for change in seen} != {"a", "b"}:
                gevent.sleep(0.01)
        task.kill()
        assert {change.key for change in seen} == {"a", "b"}
        assert seen_events[-1].state == "back"


def test_unavailable_store_applies_nothing_and_reports_it():
    with _platform() as (standin, _, store):
        standin.rows.down = True
        outcome = store.commit(_put("job/a", 0, {}))
        assert isinstance(outcome, platform.Unavailable)
        assert isinstance(store.snapshot("job"), platform.Unavailable)
        standin.rows.down = False
        assert store.read(["job/a"]).rows == ()


def test_instance_accepts_orders_and_reports_ended_runs():
    with _platform() as (standin, client, store):
        gevent.sleep(0.05)
        row = store.snapshot(upstreams.INSTANCE_TABLE).rows[0]
        target = upstreams.decode_registration(row.key, row.value)
        assert target.rack == "r0"
        instance_client = upstreams.HttpUpstreams(client)
        task = jobs.TaskName("ab" * 8, 0, 1, 2)
        start = fleet.StartRequest(task, 1, "text", "", 7, 10_000)
        accepted = instance_client.start(target, start, 1.0, False)
        assert isinstance(accepted, fleet.Accepted)
        report = instance_client.renew_lease(target, 7, 0, 10_000, 1.0, 2.0)
        assert [end.outcome for end in report.ended_runs] == [
            fleet.RunOutcome.DONE
        ]
        assert report.ended_runs[0].task == task
        stop_with_lower_token = instance_client.stop(target, task, 1, 3, 1.0)
        assert fleet.is_fenced(stop_with_lower_token)
        assert standin.instances[0].model.started == [(task, 1)]


def test_order_to_a_replaced_instance_is_detected():
    with _platform() as (_, client, store):
        gevent.sleep(0.05)
        row = store.snapshot(upstreams.INSTANCE_TABLE).rows[0]
        target = upstreams.decode_registration("i-other", row.value)
        instance_client = upstreams.HttpUpstreams(client)
        outcome = instance_client.renew_lease(target, 1, 0, None, 0.0, 1.0)
        assert outcome == fleet.InstanceReplaced()


def test_machines_are_listed_with_their_instances():
    with _platform(2) as (standin, client, _):
        found = machines.HttpMachines(client, standin.address, "edge-1")
        assert [item.instance for item in found.list()] == ["i-0", "i-1"]


_ADVICE = fleet.AdvisorConfig(
    decision_ms=5.0, period_ms=1.0, validity_ms=3000.0
)


@contextlib.contextmanager
def _advisor(service):
    with (
        service.serving(),
        plain_http.open_client(clocks.SystemClock()) as client,
    ):
        yield advice.HttpAdvisor(client, service.address)


def test_tickets_are_those_of_the_instances_that_may_run_the_step():
    service = advice_http.AdviceService(_ADVICE, 0.0, ("i-2",))
    with _advisor(service) as advisor:
        found = advisor.request_tickets("a.0.0", ("i-1", "i-2"), 1.0, True)
    assert found == fleet.Tickets({"i-2": "a.0.0/i-2"}, 3.0)
    assert service.accepts("a.0.0", "i-2", found.by_instance["i-2"])


def test_an_advisor_with_too_many_waiting_calls_is_overloaded():
    service = advice_http.AdviceService(_ADVICE)
    service.is_stuck = True
    with _advisor(service) as advisor:
        waiting = [
            gevent.spawn(advisor.request_tickets, "a.0.0", ("i-1",), 9.0, True)
            for _ in range(advice_http.MAX_WAITING + 1)
        ]
        while service.waiting_count <= advice_http.MAX_WAITING:
            gevent.sleep(0.01)
        found = advisor.request_tickets("b.0.0", ("i-1",), 1.0, True)
        gevent.killall(waiting)
    assert found == fleet.AdvisorOverloaded()


def test_a_response_without_a_list_of_instances_is_no_answer():
    """Every instance that the call named would count as unsuitable."""

    def respond(environ, start_response):
        del environ
        start_response("200 OK", [("Content-Type", "application/json")])
        return [b"{}"]

    server = sockets.HttpServer(sockets.listen("127.0.0.1:0"), respond)
    server.environ["SERVER_NAME"] = "advice"
    server.start()
    with plain_http.open_client(clocks.SystemClock()) as client:
        advisor = advice.HttpAdvisor(client, server.bound)
        found = advisor.request_tickets("a.0.0", ("i-1",), 1.0, True)
    server.stop(timeout=0)
    assert isinstance(found, fleet.NoAnswer)


def test_an_advisor_without_an_address_gives_no_answer():
    with plain_http.open_client(clocks.SystemClock()) as client:
        advisor = advice.HttpAdvisor(client, "")
        found = advisor.request_tickets("a.0.0", ("i-1",), 1.0, True)
    assert found == fleet.NoAnswer(False, "the settings name no advice service")


def test_a_configuration_is_decoded_into_queues_and_pools():
    config = operator_rows.decode_config(
        {
            "version": 7,
            "routes": [
                {
                    "name": "r",
                    "host": "H.example",
                    "path_prefix": "/a/",
                    "service": "s",
                    "max_attempts": 3,
                    "stretch": 1.6,
                    "target_duration_ms": 600,
                    "advice": {
                        "decision_ms": 20,
                        "period_ms": 2,
                        "validity_ms": 3000,
                    },
                }
            ],
            "services": [{"name": "s", "standby": True}],
            "limits": {"max_body_bytes": 9},
        }
    )
    queue = config.queues[0]
    assert queue.host == "h.example"
    assert queue.advice == fleet.AdvisorConfig(20, 2, 3000)
    assert config.pools["s"].is_standby
    assert config.max_body_bytes == 9


def _parse(body):
    return job_body.parse_job(body, "ab" * 8, "q", "s", 0)


def test_job_is_decoded_with_its_defaults():
    job = _parse(b'{"spec":"x","steps":[{"count":2},{"count":1,"after":[0]}]}')
    assert job.steps[0] == jobs.Step(count=2)
    assert job.steps[1].after == (0,)
    assert job.occurrence_count == 1


@pytest.mark.parametrize(
    ("body", "named"),
    [
        (b"{", "JSON"),
        (b"[]", "object"),
        (b'{"steps":[]}', "steps"),
        (b'{"steps":[{"count":0}]}', "count"),
        (b'{"steps":[{"count":-1}]}', "count"),
        (b'{"steps":[{"count":1.5}]}', "count"),
        (b'{"steps":[{"count":1,"cpu":"2"}]}', "cpu"),
        (b'{"steps":[{"count":1,"after":[0]}]}', "after"),
        (b'{"steps":[{"count":1},{"count":1,"after":[1]}]}', "after"),
        (b'{"steps":[{"count":1,"colour":1}]}', "colour"),
        (b'{"steps":[{"count":1}],"colour":1}', "colour"),
        (b'{"steps":[{"count":1,"gang":1}]}', "gang"),
        (b'{"spec":1,"steps":[{"count":1}]}', "spec"),
        (b'{"spec":"\\ud800","steps":[{"count":1}]}', "spec"),
        (b'{"steps":[{"count":20000}]}', "tasks"),
        (b'{"steps":[{"count":501,"gang":true}]}', "gang"),
        (b'{"steps":[{"count":1,"image":"' + b"a" * 40_000 + b'"}]}', "bytes"),
    ],
)
def test_invalid_job_is_rejected_with_the_name_of_the_field(body, named):
    with pytest.raises(job_body.BadJobError, match=named):
        _parse(body)


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    file = tmp_path / "settings.conf"
    file.write_text(
        "node_name=edge-1\nip=10.0.0.1\nlisten.frontend=10.0.0.1:1\n"
        "listen.ready=10.0.0.1:2\ninternal_ports=7060,7075\n"
        "platform.address=10.0.0.9:1\ncontracts=base,sched\n"
        "limits.cpu_share=0.5\nlimits.cpu_cores=3\nlimits.link_mbps=5\n"
        "bounds.drain_ms=2500\nbounds.enforce_fencing=false\nnew.field=1\n"
        "platform.row_bytes=32768\n"
    )
    read = settings.load(file)
    assert read.internal_address == "10.0.0.1:7060"
    assert read.contracts == ("base", "sched")
    assert (read.cores, read.link_mbps) == (1.5, 5.0)
    assert read.bounds.drain_s == 2.5
    assert read.bounds.max_row_bytes == 32_768
    assert not read.bounds.fenced


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("ip=10.0.0.1\ninternal_ports=1,2\n", "node_name"),
        ("ip=10.0.0.1\n", "internal_ports"),
        ("", "ip"),
    ],
)
def test_missing_setting_is_named_in_the_error(tmp_path, text, named):
    file = tmp_path / "settings.conf"
    file.write_text(text)
    with pytest.raises(errors.SettingsError, match=named):
        settings.load(file)


def test_platform_names_are_used_only_in_its_package():
    names = re.compile(
        r"rows-tx|rows-get|rows-feed|run-start|run-stop|fence_token|"
        r"ack_cursor|path_prefix|max_attempts\"|seq_no|checkpointed\""
    )
    misplaced = [
        f"{path.name}: {found.group()}"
        for path in sorted(_SOURCE.rglob("*.py"))
        if path.parent.name != "platform"
        for found in names.finditer(path.read_text())
    ]
    assert not misplaced
