"""Checks of decoded configurations, and the differences between two of them; without any I/O."""

from foxtailshunt.checks._description import (
    DescribedRoute,
    DescribedService,
    Description,
    FieldNames,
)
from foxtailshunt.checks._differences import Difference, DifferenceKind, compare_entries
from foxtailshunt.checks._finding import Category, Finding, FindingKind
from foxtailshunt.checks._findings import find_findings, find_outdated_version
from foxtailshunt.checks._repeated_names import find_repeated_names

__all__ = [
    "Category",
    "DescribedRoute",
    "DescribedService",
    "Description",
    "Difference",
    "DifferenceKind",
    "FieldNames",
    "Finding",
    "FindingKind",
    "compare_entries",
    "find_findings",
    "find_outdated_version",
    "find_repeated_names",
]
