"""Features that a deployment on the platform asks for."""

from collections.abc import Iterable
from enum import Enum


class Feature(Enum):
    """Behaviour that is in force only in deployments that ask for it."""

    #: Requests that exceed the capacity are admitted, delayed and refused by their cost to callers.
    ADMISSION_BY_COST = "admission by cost"


#: The names in the list of the platform's settings.
_FEATURES = {"pressure": Feature.ADMISSION_BY_COST}


def features_of(contracts: Iterable[object]) -> frozenset[Feature]:
    """Return the features that the list in the platform's settings asks for.

    :param contracts: the entries of the list; unknown ones have no effect.
    """
    names = {entry for entry in contracts if isinstance(entry, str)}
    return frozenset(feature for name, feature in _FEATURES.items() if name in names)
