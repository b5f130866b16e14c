"""Slots in feature files: ``a:0-3 7 b:4-6``."""

from foxtailshunt.ownership import slots_to_ranges


def parse_counts(text: str) -> dict[str, float]:
    """Return numbers by name from text such as ``a=1 b=2``."""
    pairs = (part.split("=") for part in text.split())
    return {name: int(number) for name, number in pairs}


def parse_numbers(text: str) -> frozenset[int]:
    """Return slots from text such as ``0-3 7``."""
    slots: set[int] = set()
    for part in text.split():
        first, _, last = part.partition("-")
        slots |= set(range(int(first), int(last or first) + 1))
    return frozenset(slots)


def parse_slots(text: str) -> dict[str, frozenset[int]]:
    """Return slots by name from text such as ``a:0-3 7 b:``."""
    result: dict[str, frozenset[int]] = {}
    name = ""
    for part in text.split():
        if ":" in part:
            name, _, part = part.partition(":")
            result[name] = frozenset()
        result[name] |= parse_numbers(part)
    return result


def format_slots(slots: dict[str, frozenset[int]]) -> str:
    """Return slots by name as text, without names that have none."""
    parts = [f"{name}:{_format(owned)}" for name, owned in sorted(slots.items()) if owned]
    return " ".join(parts)


def _format(slots: frozenset[int]) -> str:
    ranges = slots_to_ranges(slots)
    return " ".join(
        str(first) if end == first + 1 else f"{first}-{end - 1}" for first, end in ranges
    )
