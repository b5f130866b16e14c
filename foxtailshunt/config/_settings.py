"""The settings file of an instance: own addresses, zone, platform and first peers."""

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from foxtailshunt.config._address import AddressText, HostText, parse_address
from foxtailshunt.config._file import Name, describe_validation_error
from foxtailshunt.errors import DocumentError
from foxtailshunt.ownership import Address


class ProgramSettings(BaseModel):
    """Addresses of one program of the instance."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)

    #: Where the program serves callers (entry) or peers (dispatcher, assigner).
    listen: AddressText
    #: Where the program serves operators.
    operator: AddressText
    #: The address that others are told to use, where it is not ``listen``.
    advertise: AddressText | None = None

    @property
    def advertised_address(self) -> Address:
        """Return the address that peers use as host and port."""
        return parse_address(self.advertise or self.listen)

    @property
    def listen_address(self) -> Address:
        """Return the listen address as host and port."""
        return parse_address(self.listen)

    @property
    def operator_address(self) -> Address:
        """Return the operator address as host and port."""
        return parse_address(self.operator)


class Settings(BaseModel):
    """The settings file, shared by the programs of one instance."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)

    #: Unique across the fleet.
    instance_id: Name
    #: The availability zone of the instance.
    zone: Name
    #: The entry's addresses.
    entry: ProgramSettings
    #: The dispatcher's addresses.
    dispatcher: ProgramSettings
    #: The assigner's addresses.
    assigner: ProgramSettings
    #: Addresses of the platform's key-value service and instance list.
    platform: Annotated[tuple[AddressText, ...], Field(min_length=1, strict=False)]
    #: Addresses of assigners to contact first, of any zone.
    peers: Annotated[tuple[AddressText, ...], Field(strict=False)] = ()
    #: The IP number that outgoing connections come from; None leaves it to the system.
    source_host: HostText | None = None

    @property
    def platform_addresses(self) -> tuple[Address, ...]:
        """Return the platform's addresses."""
        return tuple(parse_address(text) for text in self.platform)

    @property
    def peer_addresses(self) -> tuple[Address, ...]:
        """Return the first peers' addresses."""
        return tuple(parse_address(text) for text in self.peers)


def load_settings(path: Path) -> Settings:
    """Read a settings file.

    :param path: the file.
    :returns: the settings.
    :raises DocumentError: the file cannot be read or is not valid; the message names the place.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise DocumentError(f"cannot read settings file {path}: {exc}")
    try:
        return Settings.model_validate_json(text)
    except ValidationError as exc:
        raise DocumentError(f"settings file {path}: {describe_validation_error(exc)}")
