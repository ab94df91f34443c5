"""Adapter to the users' platform: names, formats and calls, translated into the package's types.

Nothing here decides, and no other module knows a name of the platform's pages.
"""
