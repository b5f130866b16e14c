"""Writes a new version of the configuration to the store."""

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
from foxtailshunt.operator._token_write import ConditionalWrite, ConditionalWriter, Store
from foxtailshunt.timing import Clock

#: Largest value that the store holds, in bytes.
MAX_RECORD_BYTES = 1_000_000
#: Longest wait for one answer of the store, in seconds; a slow store takes 0.4.
CALL_TIMEOUT_S = 2.0
#: Time after which a write whose answer was lost counts as unknown, in seconds.
GIVE_UP_S = 5.0


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """The configuration that stands in the store after a command."""

    #: Its version.
    version: int
    #: False if the store held the same content before.
    changed: bool


class ConfigApplier:
    """Applies a configuration file as a whole or not at all.

    :param store: the store.
    :param clock: bounds the wait for a lost answer.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._writer = ConditionalWriter(store, clock, CALL_TIMEOUT_S, GIVE_UP_S)

    def apply(self, document: str, expected_version: int | None) -> ApplyResult:
        """Write a document as the next version.

        :param document: the file's content.
        :param expected_version: the version that must be the newest now; None accepts any.
        :raises DocumentError: the document is not valid.
        :raises StoreConflictError: another version is the newest; nothing was written.
        :raises StoreError: the store did not answer; nothing was written.
        :raises StoreUnknownError: the store did not say whether the write took effect.
        """
        read_configuration(document)
        stored = self._store.read(CONFIG_KEY, CALL_TIMEOUT_S)
        newest = config_record_from_json(stored.value) if stored else None
        version = newest.version if newest else 0
        if expected_version is not None and expected_version != version:
            raise StoreConflictError(
                f"version {version} is the newest, not {expected_version}; nothing was changed"
            )
        if newest is not None and json.loads(newest.document) == json.loads(document):
            return ApplyResult(version, changed=False)
        record = ConfigRecord(version + 1, uuid.uuid4().hex, document)
        self._write(record, stored.revision if stored else 0)
        return ApplyResult(record.version, changed=True)

    def _write(self, record: ConfigRecord, revision: int) -> None:
        value = config_record_to_json(record).encode()
        if len(value) > MAX_RECORD_BYTES:
            raise FoxtailshuntError(
                ResultCode.OVERSIZED,
                f"the record of {len(value)} bytes is over {MAX_RECORD_BYTES}; "
                "nothing was changed",
            )
        write = ConditionalWrite(CONFIG_KEY, value, revision, record.token, _token_of)
        try:
            self._writer.write(write)
        except StoreConflictError:
            raise StoreConflictError(
                "another operator's change came first; nothing was changed, read it and try again"
            )


def _token_of(value: bytes) -> str | None:
    try:
        return config_record_from_json(value).token
    except DocumentError:
        return None
