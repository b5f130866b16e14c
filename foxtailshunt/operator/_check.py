"""Checks a configuration file, and compares it with the version in force."""

from dataclasses import dataclass
from pathlib import Path

from foxtailshunt.checks import (
    Category,
    Description,
    Difference,
    Finding,
    FindingKind,
    compare_entries,
    find_findings,
    find_outdated_version,
    find_repeated_names,
)
from foxtailshunt.errors import DocumentError, FoxtailshuntError
from foxtailshunt.operator._document_formats import DocumentFormat, detect_format
from foxtailshunt.operator._exit_codes import ExitCode
from foxtailshunt.operator._version_in_force import VersionReader


@dataclass(frozen=True, slots=True)
class CheckFinding:
    """A finding with its category."""

    #: Category of the finding.
    category: Category
    #: Kind of the finding.
    kind: FindingKind
    #: Path of the entry in the document.
    location: str
    #: Description for the operator.
    message: str


@dataclass(frozen=True, slots=True)
class Comparison:
    """The result of comparing a configuration with the version in force."""

    #: Number of the version in force; None if there is none yet or it cannot be read.
    version: int | None = None
    #: Where it was read; None if it could not be read or there is none.
    source: str | None = None
    #: The entries that differ; empty if there is no version in force.
    differences: tuple[Difference, ...] = ()
    #: Why the version in force cannot be read; None if it was read.
    error: str | None = None


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of checking a valid configuration."""

    #: Interface whose format the document has: ``own`` or ``platform``.
    interface: str
    #: Name of the fleet; None if the format has none.
    fleet: str | None
    #: Number of availability zones; None if the format does not list them.
    zones: int | None
    #: Number of upstreams by service; empty if the format does not list them.
    upstreams: dict[str, int]
    #: Number of operations or routes by service.
    operations: dict[str, int]
    #: The findings.
    findings: tuple[CheckFinding, ...]
    #: Comparison with the version in force; None if it was not asked for.
    comparison: Comparison | None
    #: Exit code of the command.
    exit_code: ExitCode

    @property
    def error(self) -> str | None:
        """Return why the version in force cannot be read; None if there is no such error."""
        return self.comparison.error if self.comparison is not None else None


def read_file(path: Path) -> str:
    """Return the text of a file.

    :param path: file to read.
    :raises DocumentError: the file cannot be read or is not UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise DocumentError(f"cannot read {path}: {exc}")


def check_file(
    path: Path,
    document_format: DocumentFormat | None = None,
    regions: frozenset[str] | None = None,
    reader: VersionReader | None = None,
) -> CheckResult:
    """Check a configuration file.

    :param path: file to check.
    :param document_format: format of the file; None to determine it from the content.
    :param regions: regions of the deployment's zones; None if they are not known.
    :param reader: reads the version in force; None for no comparison.
    :raises DocumentError: the file is not valid; the message lists the location of each error.
    """
    text = read_file(path)
    document_format = document_format or detect_format(text)
    try:
        description = document_format.describe(text)
    except DocumentError as exc:
        message = "; ".join(str(fault) for fault in exc.faults) or exc.message
        raise DocumentError(f"{path}: {message}", exc.faults)
    findings = [*find_repeated_names(text), *find_findings(description, regions)]
    comparison = None
    if reader is not None:
        comparison = _compare(description, document_format, reader)
        if comparison.version is not None and comparison.differences:
            findings += find_outdated_version(description, comparison.version)
    return _summarize(description, document_format, findings, comparison)


def _compare(
    description: Description, document_format: DocumentFormat, reader: VersionReader
) -> Comparison:
    try:
        in_force = reader.read(document_format)
    except FoxtailshuntError as exc:
        return Comparison(error=str(exc))
    if in_force is None:
        return Comparison()
    differences = compare_entries(in_force.description.entries, description.entries)
    return Comparison(in_force.version, in_force.source, differences)


def _summarize(
    description: Description,
    document_format: DocumentFormat,
    findings: list[Finding],
    comparison: Comparison | None,
) -> CheckResult:
    services = [service.info for service in description.services]
    return CheckResult(
        interface=document_format.interface,
        fleet=description.entries.get("fleet"),
        zones=len(description.zones) or None,
        upstreams={
            item.name: len(item.upstream_addresses)
            for item in services
            if item.upstream_addresses is not None
        },
        operations={
            item.name: sum(
                any(part.service == item.name for part in route.route.services)
                for route in description.routes
            )
            for item in services
        },
        findings=tuple(
            CheckFinding(item.kind.category, item.kind, item.location, item.message)
            for item in findings
        ),
        comparison=comparison,
        exit_code=_exit_code(findings, comparison),
    )


def _exit_code(findings: list[Finding], comparison: Comparison | None) -> ExitCode:
    # The findings are printed in any case; a comparison that was asked for and failed must not pass
    # for one without differences.
    if comparison is not None and comparison.error is not None:
        return ExitCode.FAILED
    return ExitCode.FINDINGS if findings else ExitCode.OK
