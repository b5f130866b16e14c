"""The dispatcher program: its parts joined together."""

from foxtailshunt.dispatcher._program import DispatcherProgram

__all__ = ["DispatcherProgram"]
