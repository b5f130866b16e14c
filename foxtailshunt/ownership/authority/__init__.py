"""Who may send to an upstream: witnesses, assents and grants.

docs/DESIGN.md has the argument for the rules.
"""

from foxtailshunt.ownership.authority._assent_ledger import ASSENT_IN_FORCE_S, AssentLedger
from foxtailshunt.ownership.authority._assents import AssentAsker, AssentCaller, AssentKeeper
from foxtailshunt.ownership.authority._candidacy import Candidacy
from foxtailshunt.ownership.authority._grant_book import GrantBook
from foxtailshunt.ownership.authority._grant_renewer import GrantRenewer, RenewalResult
from foxtailshunt.ownership.authority._grant_state import GRANT_IN_FORCE_S, GRANT_LAPSE_S
from foxtailshunt.ownership.authority._grants import GrantKeeper
from foxtailshunt.ownership.authority._handover import Handover
from foxtailshunt.ownership.authority._messages import fence_from_message, fence_to_message
from foxtailshunt.ownership.authority._reports import Reporter
from foxtailshunt.ownership.authority._witness import ASSENT_LAPSE_S, AssentHolder, Witness

__all__ = [
    "ASSENT_IN_FORCE_S",
    "ASSENT_LAPSE_S",
    "GRANT_IN_FORCE_S",
    "GRANT_LAPSE_S",
    "AssentAsker",
    "AssentCaller",
    "AssentHolder",
    "AssentKeeper",
    "AssentLedger",
    "Candidacy",
    "GrantBook",
    "GrantKeeper",
    "GrantRenewer",
    "Handover",
    "RenewalResult",
    "Reporter",
    "Witness",
    "fence_from_message",
    "fence_to_message",
]
