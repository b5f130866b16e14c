"""Numbers that contain the era of the store, so that they never repeat after it lost writes.

The store may return from an older copy. It then reuses revisions, and its era increases by one.
With era 0 all numbers are the plain revisions and counters.
"""

#: Bits of a revision of the store below its era; a term or version is sent as a signed 64-bit
#: number.
REVISION_BITS = 46
#: Bits of the counter of a fencing token below its era; a token is sent as a JSON number, which is
#: exact below 2^53.
TOKEN_BITS = 36
#: Highest era that both kinds of number can hold.
MAX_ERA = (1 << 17) - 1


def at_era(era: int, revision: int) -> int:
    """Return a number that identifies a revision in any era and is greater in later eras.

    :param era: the era of the store.
    :param revision: the revision.
    """
    return era << REVISION_BITS | revision


def era_of(revision: int) -> int:
    """Return the era of a number from :func:`at_era`, such as a term.

    :param revision: the number.
    """
    return revision >> REVISION_BITS


def plain_revision(revision: int) -> int:
    """Return the store's own revision of a number from :func:`at_era`.

    :param revision: the number.
    """
    return revision & ((1 << REVISION_BITS) - 1)


def next_token(era: int, highest: int) -> int:
    """Return a fencing token that is greater than all tokens of this and of earlier eras.

    :param era: the era of the store.
    :param highest: the highest token of this era, or any token of an earlier one.
    """
    return max(highest, era << TOKEN_BITS) + 1
