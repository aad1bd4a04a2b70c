"""Checks a merged folder and turns it into a typed configuration.

All mistakes are reported at once. Rules over several fields of one thing (a
budget against the number of minions) are applied where those fields are each
right by themselves.
"""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import typing
from typing import Any

import cattrs

from vanillaswitch import errors
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import constraints
from vanillaswitch.state import folder
from vanillaswitch.state import structure

Names = Mapping[str, Collection[str]]
"""Names that may be referred to, by section or field."""

_MAPPINGS = {
    field: typing.get_args(kind)[1]
    for field, kind in typing.get_type_hints(config_lib.Config).items()
    if typing.get_origin(kind) is not None
}
"""Section to the class of its items."""

_OBJECTS = {"policies": config_lib.Policies}
"""Section to its own class."""

_NEEDED = ("data_centres", "classes", "services")


def check(
    loaded: folder.Loaded, variants: Names | None = None
) -> config_lib.Config:
    """Returns the typed configuration of a merged folder.

    Args:
        loaded: what ``folder.read`` returned.
        variants: the registered names, by the field of ``policies`` that
            chooses one of them; a field that is left out takes any name.

    Raises:
        errors.ConfigRejected: every mistake, each with its file and field.
    """
    checker = _Checker(loaded.merged, variants or {})
    config = checker.check()
    if checker.problems:
        raise errors.ConfigRejected(
            "the configuration is rejected",
            [_error(loaded, problem) for problem in checker.problems],
        )
    return config


def _error(
    loaded: folder.Loaded, problem: folder.Problem
) -> errors.ConfigError:
    return errors.ConfigError(
        loaded.source(problem.path),
        folder.dotted(problem.path),
        problem.message,
    )


class _Checker:
    """One check under way."""

    def __init__(self, merged: Mapping[str, Any], variants: Names):
        names = {
            section: tuple(_items(merged, section)) for section in _MAPPINGS
        }
        self._merged = merged
        self._converter = structure.make_converter(_limits(names, variants))
        self.problems: list[folder.Problem] = []

    def check(self) -> config_lib.Config:
        """Returns the configuration without the things that are wrong."""
        self._check_sections()
        parts: dict[str, Any] = {
            section: self._mapping(section, kind)
            for section, kind in _MAPPINGS.items()
        }
        for section, kind in _OBJECTS.items():
            raw = self._merged.get(section, {})
            item = self._structure(raw, kind, (section,))
            parts[section] = item or kind()
        config = config_lib.Config(**parts)
        self.problems.extend(_rules(config))
        return config

    def _check_sections(self) -> None:
        known = [f.name for f in dataclasses.fields(config_lib.Config)]
        for section, value in self._merged.items():
            if section not in known:
                message = f"is unknown; known sections: {', '.join(known)}"
                self._reject((section,), message)
            elif section in _MAPPINGS and not isinstance(value, dict):
                self._reject((section,), "must be an object")
        for section in _NEEDED:
            if self._merged.get(section, {}) == {}:
                self._reject((section,), "must name at least one")

    def _mapping(self, section: str, kind: type[Any]) -> dict[str, Any]:
        items = {}
        for name, raw in _items(self._merged, section).items():
            path = (section, name)
            try:
                constraints.name(name)
            except ValueError as error:
                self._reject(path, str(error))
            item = self._structure(raw, kind, path)
            if item is not None:
                items[name] = item
        return items

    def _structure(
        self, raw: object, kind: type[Any], path: folder.Path
    ) -> Any | None:
        try:
            return self._converter.structure(raw, kind)
        except (cattrs.BaseValidationError, ValueError) as error:
            self.problems.extend(structure.problems(error, path))
            return None

    def _reject(self, path: folder.Path, message: str) -> None:
        self.problems.append(folder.Problem(path, message))


def _items(merged: Mapping[str, Any], section: str) -> dict[str, Any]:
    items = merged.get(section, {})
    return items if isinstance(items, dict) else {}


def _limits(names: Names, variants: Names) -> structure.Constraints:
    """Returns the constraints on single fields."""
    count = constraints.at_least(0)
    some = constraints.at_least(1)
    pool_service = constraints.one_of("service", names["services"])
    chosen = {
        field: constraints.one_of(f"{field} policy", known)
        for field, known in variants.items()
    }
    return {
        config_lib.DataCentre: {"region": constraints.not_empty},
        config_lib.RequestClass: {
            "priority": count,
            "weight": some,
            "queue_limit": some,
            "expected_ms": constraints.above(0, "ms"),
        },
        config_lib.Route: {
            "method": constraints.one_of("method", constraints.METHODS),
            "path": constraints.route_path,
            "request_class": constraints.one_of("class", names["classes"]),
        },
        config_lib.AvailabilityBudget: {
            "minions_down": count,
            "workers_down": count,
        },
        config_lib.Service: {
            "routes": constraints.not_empty,
            "minions": some,
            "slots_per_minion": some,
            "connections_per_minion": some,
            "not_run_statuses": constraints.each(constraints.between(400, 599)),
            "attempt_timeout_ms": constraints.at_least(1, "ms"),
        },
        config_lib.Pool: {"service": pool_service, "workers": count},
        config_lib.Team: {
            "cores": count,
            "memory_mb": count,
            "accelerators": count,
        },
        config_lib.Job: {
            "pool": constraints.one_of("pool", names["pools"]),
            "team": constraints.one_of("team", names["teams"]),
            "tasks": some,
            "cores": constraints.above(0),
            "memory_mb": constraints.at_least(1, "MiB"),
            "accelerators": count,
        },
        config_lib.Wave: {
            "services": constraints.both(
                constraints.not_empty, constraints.each(pool_service)
            ),
            "canary": some,
            "growth": some,
            "soak_s": count,
            "drain_limit_s": count,
            "background_failures_per_day": count,
        },
        config_lib.Policies: {
            "retry_ratio": constraints.between(0, 1),
            "claim_retention_s": constraints.between(
                1, config_lib.LONGEST_RETENTION_S, "s"
            ),
            "max_body_bytes": some,
            # A leaving minion has to lose its new work within seconds.
            "drain_poll_ms": constraints.between(50, 2000, "ms"),
            **chosen,
        },
    }


def _rules(config: config_lib.Config) -> Iterator[folder.Problem]:
    """Yields breaches of the rules over several fields."""
    for name, service in config.services.items():
        path: folder.Path = ("services", name)
        yield from _budget_rules(path, service, _workers(config, name))
        yield from _route_rules(path, service.routes)
        if service.connections_per_minion < service.slots_per_minion:
            yield folder.Problem(
                (*path, "connections_per_minion"),
                f"must be slots_per_minion ({service.slots_per_minion}) or "
                f"more, is {service.connections_per_minion}",
            )


def _workers(config: config_lib.Config, service: str) -> int | None:
    """Returns how many workers a service has; None without any pool."""
    sizes = [p.workers for p in config.pools.values() if p.service == service]
    return sum(sizes) if sizes else None


def _budget_rules(
    path: folder.Path, service: config_lib.Service, workers: int | None
) -> Iterator[folder.Problem]:
    budget = service.availability_budget
    limits = (
        ("minions_down", budget.minions_down, service.minions),
        ("workers_down", budget.workers_down, workers),
    )
    for field, down, total in limits:
        if total is not None and down > total:
            yield folder.Problem(
                (*path, "availability_budget", field),
                f"lets {down} be down, the service has {total}",
            )


def _route_rules(
    path: folder.Path, routes: tuple[config_lib.Route, ...]
) -> Iterator[folder.Problem]:
    first: dict[tuple[str, str], int] = {}
    for index, route in enumerate(routes):
        same = first.setdefault((route.method, route.path), index)
        if same != index:
            yield folder.Problem(
                (*path, "routes", index),
                f"overlaps routes[{same}]: both are for "
                f"{route.method} {route.path}",
            )
