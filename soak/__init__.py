"""Fault soak: real VM processes on loopback, faults from outside, safety checked from outside."""
