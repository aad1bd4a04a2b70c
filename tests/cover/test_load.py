"""The load driver tells right answers from wrong ones, and sends its plan."""

import dataclasses
import json

from click import testing as click_testing

from standins import load
from standins import load_plan
from standins import minion as standin
from standins import raw_http

QUOTES = load_plan.ClassPlan("quote", "/berthing/quote", 20, 2000.0)
CHARGES = load_plan.ClassPlan(
    "charge", "/berthing/charge", 10, 1000.0, once=True, timeout_ms=9000
)


def plan_for(*addresses, classes=(QUOTES, CHARGES)):
    return load_plan.Plan(seed=1, classes=classes, entries=addresses)


def counts(report):
    return [
        (one.sent, one.answered, one.wrong, one.not_run, one.unknown)
        for one in report.classes
    ]


def test_a_plan_sends_the_same_requests_each_time():
    seen = []
    for _ in range(2):
        with standin.run_minion("berthing") as running:
            report = load.run(plan_for(running.address))
            assert counts(report) == [(20, 20, 0, 0, 0), (10, 10, 0, 0, 0)]
            assert set(running.by_request.values()) == {1}
            assert len(running.by_key) == 10
            seen.append(dict(running.by_request))
    assert seen[0] == seen[1]


def test_answers_of_another_request_are_counted_as_wrong():
    with standin.run_minion("pilotage") as running:
        report = load.run(plan_for(running.address))
    assert counts(report) == [(20, 0, 20, 0, 0), (10, 0, 10, 0, 0)]


def test_refusals_and_lost_answers_are_told_apart():
    def reply(request, connection):
        if b"/charge" in request:
            connection.close()
        else:
            connection.sendall(
                raw_http.answer(
                    b"", b"Request-Outcome: not-run\r\n", b"503 Busy"
                )
            )

    with raw_http.scripted(reply) as (_script, address):
        report = load.run(plan_for(address))
    assert counts(report) == [(20, 0, 0, 20, 0), (10, 0, 0, 0, 10)]


def test_the_command_prints_the_report_as_json(tmp_path):
    path = tmp_path / "plan.json"
    path.write_text(json.dumps(dataclasses.asdict(plan_for())))
    with standin.run_minion("berthing") as running:
        result = click_testing.CliRunner().invoke(
            load.main, ["--entries", running.address, "--plan", str(path)]
        )
    assert result.exit_code == 0
    assert json.loads(result.output)["classes"][0]["answered"] == 20
