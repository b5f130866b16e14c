"""Client of the platform: its key-value service and its list of instances.

This package is the only code that knows the platform's protocol.
"""

from foxtailshunt.platform._interface import InstanceState, InstanceStatus, Platform, StoreRecord

__all__ = ["InstanceState", "InstanceStatus", "Platform", "StoreRecord"]
