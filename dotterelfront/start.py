"""Entry point of a VM's process: ignores SIGHUP until the process can handle it, then runs it.

::

    python -m dotterelfront.start     # the environment names the settings file

The platform may signal a changed settings file at any moment. The signal ends a process that has no
handler for it yet, and loading the modules takes longer than all the rest of a start. A change that
is signalled meanwhile is found by the regular check of the file.
"""

import importlib
import signal


def main() -> None:
    """Runs the VM; see ``node.main``."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("dotterelfront.node").main()


if __name__ == "__main__":
    main()
