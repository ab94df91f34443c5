"""Demonstration: a small fleet with its stand-ins on loopback."""
