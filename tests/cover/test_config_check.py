"""What is accepted as a configuration, its bytes and its differences."""

import copy
import dataclasses
import json
import re

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.common import configs
from tests.common import properties
from vanillaswitch import errors
from vanillaswitch.state import canonical
from vanillaswitch.state import check
from vanillaswitch.state import config as config_module
from vanillaswitch.state import diff
from vanillaswitch.state import folder

WRONG = {
    bool: [1, "true"],
    int: [True, 1.5, "1", [1], -1, 10**400],
    float: [True, "1.0", {}, -1, 10**400, float("inf")],
    str: [1, ["POST"], "\ud800", "\u0000"],
    list: ["abc", {"0": 1}, 5],
    dict: [[], "x", 1],
}
"""Values that no field of a type may have."""


def leaves(value, path=()):
    """Yields each path of a JSON value with what stands there."""
    yield path, value
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, inner in items:
            yield from leaves(inner, (*path, key))


FULL = json.loads(canonical.dump(configs.example()))
FIELDS = [(p, v) for p, v in leaves(FULL) if p]
MISTAKES = [(p, w) for p, v in FIELDS for w in WRONG[type(v)]]


def changed(*changes):
    """Returns the example with other values at some paths."""
    mapping = copy.deepcopy(FULL)
    for path, value in changes:
        inner = mapping
        for key in path[:-1]:
            inner = inner[key]
        inner[path[-1]] = value
    return folder.Loaded(mapping, {})


def mistakes(loaded, **arguments):
    """Returns the message of each mistake by its field."""
    with pytest.raises(errors.ConfigRejected) as raised:
        check.check(loaded, **arguments)
    return {e.field: e.message for e in raised.value.exceptions}


@properties.steady
@given(st.sampled_from(MISTAKES))
def test_a_value_of_a_wrong_type_or_range_is_told_at_its_own_field(mistake):
    assert folder.dotted(mistake[0]) in mistakes(changed(mistake))


@properties.steady
@given(st.lists(st.sampled_from(MISTAKES), max_size=5))
def test_all_mistakes_of_different_fields_are_told_at_once(chosen):
    separate = [
        (path, wrong)
        for path, wrong in chosen
        if not any(
            path != other and path[: len(other)] == other for other, _ in chosen
        )
    ]
    if separate:
        told = mistakes(changed(*separate))
        assert {folder.dotted(path) for path, _ in separate} <= set(told)


@properties.steady
@given(st.sampled_from([p for p, v in FIELDS if isinstance(v, dict)]))
def test_an_unknown_field_is_told(path):
    told = mistakes(changed(((*path, "bogus field"), {})))
    assert any(field.endswith("bogus field") for field in told)


@pytest.mark.parametrize(
    ("path", "value", "field", "message"),
    [
        ("services.berthing.slots_per_minion", 0, "", "1 or more"),
        ("services.berthing.slots_per_minion", 65, "services.berthing."
         "connections_per_minion", "slots_per_minion (65) or more"),
        ("services.berthing.availability_budget.minions_down", 7, "",
         "the service has 6"),
        ("services.berthing.availability_budget.workers_down", 7, "",
         "the service has 6"),
        ("services.berthing.not_run_statuses", [200], "", "from 400 to 599"),
        ("waves.autumn-kernel-minions.growth", 0.5, "", "1 or more"),
        ("waves.autumn-kernel-minions.services", ["x"], "", "no service"),
        ("waves.autumn-kernel-minions.targets", "x", "", "minions, workers"),
        ("classes.quote.kind", "x", "", "idempotent, once"),
        ("pools.berthing.service", "x", "", "no service called 'x'"),
        ("jobs.berthing-tariff-tables.pool", "x", "", "no pool called"),
        ("jobs.berthing-tariff-tables.team", "x", "", "no team called"),
        ("policies.routing", "x", "", "use one of: two-choices"),
        ("policies.drain_poll_ms", 60_000, "", "from 50 to 2000 ms"),
        ("services", {}, "", "at least one"),
        ("jobs.a/b", {}, "jobs.a/b", "a name has"),
    ],
)  # fmt: skip
def test_a_breach_of_a_rule_is_told(path, value, field, message):
    loaded = changed((tuple(path.split(".")), value))
    told = mistakes(loaded, variants={"routing": ["two-choices"]})
    assert message in told[field or path]


@pytest.mark.parametrize(
    ("route", "message"),
    [
        (["POST", "/quotes", "charge"], "overlaps routes[0]"),
        (["POST", "/new", "nothing"], "no class called 'nothing'"),
        (["post", "/new", "charge"], "no method called 'post'"),
        (["POST", "/new/", "charge"], "without a slash at its end"),
    ],
)
def test_a_route_that_overlaps_or_leads_nowhere_is_told(route, message):
    fields = dict(zip(("method", "path", "request_class"), route, strict=True))
    routes = [*FULL["services"]["berthing"]["routes"], fields]
    loaded = changed((("services", "berthing", "routes"), routes))
    told = mistakes(loaded)
    assert any(message in text for text in told.values()), told


def test_a_missing_field_is_told_with_the_file_that_set_its_object():
    loaded = configs.loaded()
    del loaded.merged["pools"]["berthing"]["workers"]
    with pytest.raises(errors.ConfigRejected) as raised:
        check.check(loaded)
    [error] = raised.value.exceptions
    assert str(error) == "40-pools.json: pools.berthing.workers: is missing"


@pytest.mark.parametrize("name", configs.NAMES)
def test_the_examples_have_the_sizes_of_today(name):
    config = configs.example(name)
    assert len(config.data_centres) == 3
    assert len(config.services) == len(config.pools) == 5
    for service in config.services.values():
        sizes = (service.minions, service.slots_per_minion)
        assert (*sizes, service.connections_per_minion) == (6, 8, 64)
    assert {pool.workers for pool in config.pools.values()} == {6}
    for kind in config.classes.values():
        assert isinstance(kind.kind, config_module.RequestKind)


@pytest.mark.parametrize("name", configs.NAMES)
def test_the_examples_fleet_fits_its_configuration(name):
    config = configs.example(name)
    text = (configs.EXAMPLES / name / "fleet.json").read_text()
    instances = json.loads(text)["instances"]
    assert len({i["instance"] for i in instances}) == len(instances) == 60
    for service in config.services:
        mine = [i for i in instances if i["service"] == service]
        assert len(mine) == 6
        assert {i["data_centre"] for i in mine} == set(config.data_centres)
    racks = [i["rack"] for i in instances]
    assert max(racks.count(rack) for rack in racks) == 4


SETTABLE = [
    p for p, v in FIELDS if type(v) is int and p[-1] in ("minions", "tasks")
]


@properties.steady
@given(st.lists(st.tuples(st.sampled_from(SETTABLE), st.integers(6, 2**53))))
def test_canonical_bytes_name_exactly_one_configuration(changes):
    config = check.check(changed(*changes))
    body = canonical.dump(config)
    assert canonical.load(body) == config
    reordered = dict(reversed(json.loads(body).items()))
    again = check.check(folder.Loaded(reordered, {}))
    assert canonical.dump(again) == body
    paths = {c.path for c in diff.diff(configs.example(), config)}
    differing = {p for p, v in dict(changes).items() if v != dict(FIELDS)[p]}
    assert paths == {folder.dotted(p) for p in differing}


def test_a_whole_number_and_its_float_are_the_same_configuration():
    path = ("jobs", "berthing-tariff-tables", "cores")
    one = check.check(changed((path, 4)))
    other = check.check(changed((path, 4.0)))
    assert canonical.dump(one) == canonical.dump(other)


def test_a_body_of_a_newer_program_is_read_without_its_new_fields():
    loaded = changed((("services", "berthing", "new_field"), 1))
    body = json.dumps(loaded.merged).encode()
    assert canonical.load(body) == configs.example()


@properties.steady
@given(st.binary(max_size=20) | st.sampled_from([b"[]", b"{}", b'{"pools":1}']))
def test_a_body_that_cannot_be_read_is_no_configuration(body):
    assert canonical.load(body) is None


def test_a_thing_on_one_side_only_is_one_change():
    config = configs.example()
    pools = {k: v for k, v in config.pools.items() if k != "berthing"}
    without = dataclasses.replace(config, pools=pools)
    [gone] = diff.diff(config, without)
    [new] = diff.diff(without, config)
    assert (gone.path, gone.after) == ("pools.berthing", None)
    assert new == diff.Change("pools.berthing", None, gone.before)


def test_every_field_is_documented():
    page = configs.EXAMPLES.parent / "docs" / "CONFIGURATION.md"
    text = page.read_text()
    fields = {
        field.name
        for kind in vars(config_module).values()
        if dataclasses.is_dataclass(kind)
        for field in dataclasses.fields(kind)
    }
    told = set(re.findall(r"[a-z_]+", " ".join(re.findall("`(.*?)`", text))))
    assert fields - told == set()
