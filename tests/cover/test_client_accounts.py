"""Tests of client accounts: keys, what a key opens, and their configuration."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.common import account_calls
from vanillaswitch.coordination.fleet.accounts import authentication
from vanillaswitch.platform import operator_rows
from vanillaswitch.protocol import accounts

MARE, SAHEL = account_calls.MARE, account_calls.SAHEL


def test_call_with_a_key_of_an_account_is_served():
    calls = account_calls.Calls()
    assert calls.submit(MARE).status == 200
    assert calls.state(MARE).status == 200


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ((), "no-key"),
        ((("X-Api-Key", ""),), "no-key"),
        ((("X-Api-Key", "  "),), "no-key"),
        ((("X-Api-Key", "stolen"),), "unknown-key"),
        ((("X-Api-Key", MARE.upper()),), "unknown-key"),
        ((("X-Api-Key", "\xe9\xff"),), "unknown-key"),
        ((("X-Api-Key", "k" * 65_536),), "unknown-key"),
        ((("X-Api-Key", MARE), ("x-api-key", MARE)), "several-keys"),
    ],
)
def test_call_without_one_valid_key_is_denied_before_it_is_stored(fields, code):
    calls = account_calls.Calls()
    for method in ("POST", "GET", "DELETE"):
        reply = calls.call(method, account_calls.JOB_ID, fields)
        assert (reply.status, reply.code) == (401, code)
    assert calls.call("GET", "", fields).status == 401
    assert not calls.table.rows


def test_public_queue_needs_no_key():
    calls = account_calls.Calls()
    for fields in ((), (("X-Api-Key", "stolen"),)):
        reply = calls.call("POST", account_calls.JOB_ID, fields, prefix="/p/")
        assert reply.status == 200


def test_job_is_shown_to_and_cancelled_by_its_account_only():
    calls = account_calls.Calls()
    calls.submit(MARE)
    assert calls.state(SAHEL).status == 410
    assert calls.cancel(SAHEL).status == 410
    unknown = "f" * 16
    assert calls.state(SAHEL).detail == calls.state(SAHEL, unknown).detail
    assert calls.cancel(MARE).status == 200


def test_id_of_another_account_is_refused_without_telling_of_its_job():
    calls = account_calls.Calls()
    calls.submit(MARE)
    reply = calls.submit(SAHEL)
    assert (reply.status, reply.code) == (409, "other-job")
    assert calls.submit(MARE).status == 200


def test_second_key_of_an_account_opens_its_jobs():
    calls = account_calls.Calls()
    calls.submit(MARE)
    assert calls.state(account_calls.MARE_SECOND).status == 200


def test_moved_key_opens_the_jobs_of_its_new_account():
    calls = account_calls.Calls()
    calls.submit(SAHEL)
    calls.configure({"mare": [], "sahel": [SAHEL, MARE]})
    assert calls.state(MARE).status == 200


def test_keys_do_not_appear_in_events_or_representations():
    calls = account_calls.Calls()
    calls.submit(MARE)
    calls.call("GET", account_calls.JOB_ID, (("X-Api-Key", "stolen"),))
    text = repr(calls.events) + repr(calls.config.accounts.by_name)
    digest = accounts.digest_key(MARE.encode())
    for secret in (MARE, "stolen", digest.hex(), repr(digest)):
        assert secret not in text


def test_malformed_account_harms_itself_only():
    document = account_calls.config_document(
        [
            {"name": "broken", "api_keys": "not a list"},
            7,
            {"name": "mare", "api_keys": [MARE], "max_count": {"cpu": 9}},
        ]
    )
    config = operator_rows.decode_config(document, True)
    assert list(config.accounts.by_name) == ["mare"]
    assert config.accounts.by_name["mare"].limit.cpu == 9
    assert len(config.account_problems) == 2


def test_account_problem_does_not_contain_the_key():
    document = account_calls.config_document(
        [{"name": "mare", "api_keys": [MARE, 7], "weight": MARE}]
    )
    (problem,) = operator_rows.decode_config(document, True).account_problems
    assert MARE not in problem


def test_key_of_two_accounts_belongs_to_the_first_and_is_reported():
    document = account_calls.config_document(
        [
            {"name": "mare", "api_keys": [MARE]},
            {"name": "sahel", "api_keys": [MARE, SAHEL]},
        ]
    )
    config = operator_rows.decode_config(document, True)
    assert config.accounts.find_by_key(MARE.encode()).name == "mare"
    assert config.accounts.find_by_key(SAHEL.encode()).name == "sahel"
    assert "mare and sahel" in config.account_problems[0]


def test_without_accounts_in_force_no_queue_needs_a_key():
    document = account_calls.config_document([])
    config = operator_rows.decode_config(document)
    assert all(queue.is_public for queue in config.queues)


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(
                    ["name", "api_keys", "weight", "max_count", "cpu"]
                ),
                inner,
                max_size=4,
            )
        ),
        max_leaves=12,
    )
)
def test_any_accounts_leave_the_rest_of_the_configuration_in_force(raw):
    document = account_calls.config_document(raw)
    config = operator_rows.decode_config(json.loads(json.dumps(document)), True)
    assert len(config.queues) == 2
    assert not config.queues[0].is_public


@given(st.floats(0.0, 20.0), st.floats(0.1, 20.0))
def test_key_is_accepted_only_while_the_configuration_is_recent(age, bound):
    config = account_calls.decode({"mare": [MARE]})
    found = authentication.authenticate(
        config, config.queues[0], (MARE,), age, bound
    )
    if age >= bound:
        assert found is authentication.Denial.UNCONFIRMED
    elif age <= bound / 2:
        assert found == authentication.Caller("mare")


def test_job_with_a_task_above_its_accounts_limit_is_refused_at_once():
    calls = account_calls.Calls()
    tenant = {"name": "mare", "api_keys": [MARE], "max_count": {"cpu": 999}}
    calls.version += 1
    calls.apply(account_calls.config_document([tenant], calls.version))
    reply = calls.submit(MARE)
    assert (reply.status, reply.code) == (400, "account-limit")
    assert not calls.table.rows


def test_accepted_job_is_confirmed_again_after_its_limit_was_lowered():
    """Guards against a client that is told of a job that runs as refused."""
    calls = account_calls.Calls()
    assert calls.submit(MARE).status == 200
    tenant = {"name": "mare", "api_keys": [MARE], "max_count": {"cpu": 999}}
    calls.version += 1
    calls.apply(account_calls.config_document([tenant], calls.version))
    assert calls.submit(MARE).status == 200
