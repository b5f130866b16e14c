"""Command-line interfaces, one module per program."""
