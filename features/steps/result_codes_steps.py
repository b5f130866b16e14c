"""Steps for the documented table of result codes."""

from pathlib import Path

from behave import given, then
from behave.runner import Context

from foxtailshunt.callers import status_of
from foxtailshunt.errors import Family, ResultCode, family_of

_PAGE = Path(__file__).resolve().parents[2] / "docs" / "RESULT-CODES.md"


class CodeTable:
    """The rows of the table in a Markdown page."""

    def __init__(self, text: str) -> None:
        lines = [line for line in text.splitlines() if line.startswith("| ") and "---" not in line]
        self.rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines[1:]]


def expected_cells(code: ResultCode) -> list[str]:
    family = family_of(code)
    if family is Family.RAN:
        return [family.value, "the upstream's", "-"]
    if family is Family.INTERNAL:
        return [family.value, "-", "-"]
    status = status_of(code)
    return [family.value, str(status.status), "yes" if status.retry_after else "-"]


@given("the table of docs/RESULT-CODES.md")
def read_page(context: Context) -> None:
    context.code_table = CodeTable(_PAGE.read_text(encoding="utf-8"))


@then("it has one row for each code, in order")
def check_codes(context: Context) -> None:
    listed = [(row[0], row[1]) for row in context.code_table.rows]
    assert listed == [(str(int(code)), code.name) for code in ResultCode]


@then("each row's family, HTTP status and Retry-After match the responses of a node")
def check_statuses(context: Context) -> None:
    for row, code in zip(context.code_table.rows, ResultCode, strict=True):
        assert row[2:5] == expected_cells(code), row


@then("each row has a meaning and a recommended action")
def check_descriptions(context: Context) -> None:
    for row in context.code_table.rows:
        assert len(row) == 7 and row[5].endswith(".") and row[6], row
