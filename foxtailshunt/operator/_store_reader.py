"""Reads configuration and tables from the platform's store."""

from foxtailshunt.assigner import table_key
from foxtailshunt.config import CONFIG_KEY, config_record_from_json
from foxtailshunt.kvstore import Platform
from foxtailshunt.membership import View
from foxtailshunt.telemetry import Metrics


def read_store(platform: Platform) -> View:
    """Return the configuration and the tables that stand in the store.

    :param platform: the platform's store.
    :raises StoreUnavailableError: it did not answer.
    :raises DocumentError: the record of the configuration is malformed.
    """
    view = View(Metrics())
    stored = platform.read(CONFIG_KEY)
    if stored is None:
        return view
    record = config_record_from_json(stored.value)
    view.accept_config(record.version, record.document)
    for zone in view.cfg.zones if view.cfg else ():
        table = platform.read(table_key(zone))
        if table is not None:
            view.accept_table(table.value)
    return view
