"""Measurements of the whole system; run by ``scripts/measure``."""
