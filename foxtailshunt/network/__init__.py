"""The network identity of this process."""

from foxtailshunt.network._source import set_source_host, source_address

__all__ = ["set_source_host", "source_address"]
