"""The node program, which runs on each instance of a platform with its own discovery."""

from foxtailshunt.node._program import NodeProgram
from foxtailshunt.node._settings import NodeSettings, load_node_settings

__all__ = ["NodeProgram", "NodeSettings", "load_node_settings"]
