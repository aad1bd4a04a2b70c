"""Calls with API keys to the job interface of one process, without sockets."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from tests.common import clocks
from vanillaswitch.coordination.fleet import operator_table
from vanillaswitch.coordination.fleet import reference_clock
from vanillaswitch.coordination.fleet.job_requests import job_service
from vanillaswitch.coordination.fleet.job_requests import job_store
from vanillaswitch.platform import job_request_handler
from vanillaswitch.platform import operator_rows
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import requests

MARE, MARE_SECOND, SAHEL = "mare-key-a1", "mare-key-b2", "sahel-key-c3"
JOB_ID = "5c0e7a21d94b36f8"
REVOCATION_S = 5.0
_BODY = b'{"spec":"text","steps":[{"count":1,"cpu":1000}]}'


def config_document(tenants: Any, version: int = 1) -> dict[str, Any]:
    """Returns a configuration with a queue for keys and a public one."""
    queue = {"host": "host.example", "service": "berthing"}
    return {
        "version": version,
        "routes": [
            {**queue, "name": "keyed", "path_prefix": "/q/"},
            {**queue, "name": "open", "path_prefix": "/p/", "public": True},
        ],
        "services": [{"name": "berthing"}],
        "tenants": tenants,
    }


def _tenants(keys: Mapping[str, Sequence[str]]) -> list[dict[str, Any]]:
    return [
        {"name": name, "api_keys": list(values)}
        for name, values in keys.items()
    ]


def decode(keys: Mapping[str, Sequence[str]]) -> Any:
    """Returns the configuration of accounts with some keys."""
    return operator_rows.decode_config(config_document(_tenants(keys)), True)


class Table:
    """Rows in memory; may be away."""

    def __init__(self) -> None:
        self.rows: dict[str, platform.Row] = {}

    def read(self, keys: Sequence[str]) -> platform.ReadOutcome:
        """Returns the rows with some keys."""
        found = tuple(self.rows[key] for key in keys if key in self.rows)
        return platform.Rows(found)

    def commit(
        self, transaction: platform.Transaction
    ) -> platform.CommitOutcome:
        """Inserts rows unless one of them exists."""
        found = [put.key for put in transaction.puts if put.key in self.rows]
        if found:
            return platform.Conflict(tuple(self.rows[key] for key in found))
        for put in transaction.puts:
            self.rows[put.key] = platform.Row(
                put.key, 1, put.value or {}, transaction.token
            )
        return platform.Committed(1)


class _NoOwner:
    """No owner answers, so every state is read from the table."""

    def recorded_state(self, job_id: str, account: str = "") -> None:
        del job_id, account

    def count_pending(self, queue: str) -> int:
        del queue
        return 0


class Calls:
    """The job interface of a process whose operators' rows a test writes."""

    def __init__(self, keys: Mapping[str, Sequence[str]] | None = None) -> None:
        self.clock = clocks.ManualClock()
        self.events: list[object] = []
        self.table = Table()
        self.version = 0
        shared = reference_clock.ReferenceClock(self.clock)
        form = operator_table.OperatorFormat(
            "config",
            "wave/",
            "status",
            lambda document: operator_rows.decode_config(document, True),
            operator_rows.decode_wave,
            operator_rows.encode_wave_status,
        )
        self.operators = operator_table.OperatorTable(
            self.table,  # type: ignore[arg-type]
            form,
            shared,
            self.events.append,
        )
        local = job_store.JobStore(
            self.table,  # type: ignore[arg-type]
            self.clock,
            "boot",
            lambda: 0.0,
        )
        self._handler = job_request_handler.JobRequestHandler(
            job_service.JobService(local, None, self.clock),  # type: ignore[arg-type]
            _NoOwner(),  # type: ignore[arg-type]
            lambda: self.operators.config,
            lambda: self.operators.config_confirmed_at,
            REVOCATION_S,
            self.clock,
            shared,
            self.events.append,
        )
        self.configure(keys or {"mare": [MARE, MARE_SECOND], "sahel": [SAHEL]})

    @property
    def config(self) -> Any:
        """The configuration in force."""
        return self.operators.config

    def configure(self, keys: Mapping[str, Sequence[str]]) -> None:
        """Applies a configuration that was read just now."""
        self.version += 1
        self.apply(config_document(_tenants(keys), self.version))
        self.operators.on_current(self.clock.monotonic())

    def apply(self, document: Mapping[str, Any]) -> None:
        """Applies a configuration row."""
        change = change_feeds.RowChange("config", document, self.version)
        self.operators.on_changes([change])

    def call(
        self,
        method: str,
        job_id: str,
        fields: requests.Headers,
        prefix: str = "/q/",
    ) -> Any:
        """Calls the interface with some header fields."""
        return self._handler.handle(
            requests.RawRequest(
                method,
                prefix + job_id,
                (("Host", "host.example"), *fields),
                _BODY if method == "POST" else b"",
                self.clock.monotonic(),
            )
        )

    def submit(self, key: str, job_id: str = JOB_ID) -> Any:
        """Submits a job."""
        return self.call("POST", job_id, (("X-Api-Key", key),))

    def state(self, key: str, job_id: str = JOB_ID) -> Any:
        """Asks for the state of a job."""
        return self.call("GET", job_id, (("X-Api-Key", key),))

    def cancel(self, key: str, job_id: str = JOB_ID) -> Any:
        """Cancels a job."""
        return self.call("DELETE", job_id, (("X-Api-Key", key),))
