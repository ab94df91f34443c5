"""HTTP proxy fleet for backend servers with gray failures.

Start a proxy with ``dotterelfront proxy --settings settings.json``. The README shows how to run a
fleet on one machine.
"""

__version__ = "0.1.0"
