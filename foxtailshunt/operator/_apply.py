"""Writes a new version of the configuration to the platform's store."""

import json
import uuid
from dataclasses import dataclass

from foxtailshunt.config import (
    CONFIG_KEY,
    ConfigRecord,
    Configuration,
    config_record_from_json,
    config_record_to_json,
    configuration_from_json,
)
from foxtailshunt.errors import (
    DocumentError,
    FoxtailshuntError,
    ResultCode,
    StoreConflictError,
)
from foxtailshunt.kvstore import Platform, write_with_token
from foxtailshunt.timing import Clock

#: Largest value that the platform's store holds, in bytes.
MAX_RECORD_BYTES = 1_000_000
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

    :param platform: the platform's store.
    :param clock: bounds the wait for a lost answer.
    """

    def __init__(self, platform: Platform, clock: Clock) -> None:
        self._platform = platform
        self._clock = clock

    def apply(self, document: str, expected_version: int | None) -> ApplyResult:
        """Write a document as the next version.

        :param document: the file's content.
        :param expected_version: the version that must be the newest now; None accepts any.
        :raises DocumentError: the document is not valid or may not follow the newest version.
        :raises StoreConflictError: another version is the newest; nothing was written.
        :raises StoreUnavailableError: the store did not answer; nothing was written.
        :raises StoreUnknownError: the store did not say whether the write took effect.
        """
        cfg = configuration_from_json(document, 0)
        stored = self._platform.read(CONFIG_KEY)
        newest = config_record_from_json(stored.value) if stored else None
        version = newest.version if newest else 0
        if expected_version is not None and expected_version != version:
            raise StoreConflictError(
                f"version {version} is the newest, not {expected_version}; nothing was changed"
            )
        if newest is not None and _is_same(newest.document, document):
            return ApplyResult(version, changed=False)
        if newest is not None:
            _check_slot_counts(configuration_from_json(newest.document, version), cfg)
        record = ConfigRecord(version + 1, uuid.uuid4().hex, document)
        self._write(record, stored.revision if stored else 0)
        return ApplyResult(record.version, changed=True)

    def _write(self, record: ConfigRecord, revision: int) -> None:
        value = config_record_to_json(record)
        size = len(value.encode())
        if size > MAX_RECORD_BYTES:
            raise FoxtailshuntError(
                ResultCode.OVERSIZED,
                f"the record of {size} bytes is over {MAX_RECORD_BYTES}; nothing was changed",
            )
        try:
            write_with_token(
                self._platform,
                CONFIG_KEY,
                value,
                revision,
                _token_of,
                record.token,
                self._clock,
                GIVE_UP_S,
            )
        except StoreConflictError:
            raise StoreConflictError(
                "another operator's change came first; nothing was changed, read it and try again"
            )


def _is_same(first: str, second: str) -> bool:
    return json.loads(first) == json.loads(second)


def _token_of(value: str) -> str | None:
    try:
        return config_record_from_json(value).token
    except DocumentError:
        return None


def _check_slot_counts(old: Configuration, new: Configuration) -> None:
    for name, service in new.services.items():
        known = old.services.get(name)
        if known is not None and known.slot_count != service.slot_count:
            raise DocumentError(
                f"services.{name}.slots: {service.slot_count} differs from {known.slot_count}; "
                "the slots of an existing service never change"
            )
