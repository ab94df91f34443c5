"""Runs the command line with ``python -m dotterelfront``."""

from dotterelfront import cli

cli.main()
