"""Command lines of the programs, one module a program."""
