"""Adapter for the hosting platform: translates its names, formats and calls into package types.

The adapter makes no decisions, and no other module uses names from the platform's documentation.
"""
