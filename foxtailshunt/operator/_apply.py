"""Writes a new configuration version to the store."""

import json
import uuid
from dataclasses import dataclass

from foxtailshunt.config import (
    CONFIG_KEY,
    ConfigRecord,
    config_record_from_json,
    config_record_to_json,
    read_configuration,
)
from foxtailshunt.errors import (
    DocumentError,
    FoxtailshuntError,
    ResultCode,
    StoreConflictError,
)
from foxtailshunt.fleet import era_of
from foxtailshunt.operator._conditional_write import ConditionalWrite, ConditionalWriter, Store
from foxtailshunt.timing import Clock

#: Largest value that the store accepts, in bytes.
MAX_RECORD_BYTES = 1_000_000
#: Timeout of one store call, in seconds; a slow store takes 0.4 s to respond.
CALL_TIMEOUT_S = 2.0
#: Time after which a write whose response was lost is reported as unknown, in seconds.
RESOLVE_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """The configuration in the store after a command."""

    #: Version of the configuration.
    version: int
    #: False if the store already held the same content, written in its present era.
    changed: bool


class ConfigApplier:
    """Applies configuration files atomically.

    :param store: store to write to.
    :param clock: clock that limits how long a lost response is resolved.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._writer = ConditionalWriter(store, clock, CALL_TIMEOUT_S, RESOLVE_TIMEOUT_S)

    def apply(self, document: str, expected_version: int | None) -> ApplyResult:
        """Write a document as the next version.

        :param document: content of the configuration file.
        :param expected_version: version that must be the newest; None accepts any.
        :returns: the stored version, and whether it changed.
        :raises DocumentError: the document is not valid.
        :raises StoreConflictError: another version is the newest; nothing was written.
        :raises StoreError: the store did not respond; nothing was written.
        :raises StoreUnknownError: it is not known whether the write took effect.
        """
        read_configuration(document)
        stored = self._store.read(CONFIG_KEY, CALL_TIMEOUT_S)
        newest = config_record_from_json(stored.value) if stored else None
        version = newest.version if newest else 0
        if expected_version is not None and expected_version != version:
            raise StoreConflictError(
                f"version {version} is the newest, not {expected_version}; nothing was changed"
            )
        era = self._store.era
        # A record of an earlier era may be from a copy, while the nodes have a later one in force.
        is_current = newest is not None and newest.era == era
        if is_current and json.loads(newest.document) == json.loads(document):
            return ApplyResult(version, changed=False)
        record = ConfigRecord(version + 1, uuid.uuid4().hex, document, era)
        written_at = self._write(record, stored.revision if stored else 0)
        if era_of(written_at) > record.era:
            # A write that requires that there is no record yet does not depend on the era.
            return self.apply(document, None)
        return ApplyResult(record.version, changed=True)

    def _write(self, record: ConfigRecord, revision: int) -> int:
        value = config_record_to_json(record).encode()
        if len(value) > MAX_RECORD_BYTES:
            raise FoxtailshuntError(
                ResultCode.OVERSIZED,
                f"the configuration record has {len(value)} bytes, more than the limit of "
                f"{MAX_RECORD_BYTES}; nothing was changed",
            )
        write = ConditionalWrite(CONFIG_KEY, value, revision, record.token, _token_of)
        try:
            return self._writer.write(write)
        except StoreConflictError:
            raise StoreConflictError(
                "another operator changed the configuration first; nothing was changed, "
                "review the new version and try again"
            )


def _token_of(value: bytes) -> str | None:
    try:
        return config_record_from_json(value).token
    except DocumentError:
        return None
