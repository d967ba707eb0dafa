"""Start of a daemon: `python -m wasabiramp.platform`."""

from __future__ import annotations

import gc
import signal


def main() -> None:
    """Import the daemon without garbage collection, as its modules stay, and run it.

    SIGHUP is ignored until the daemon handles it, as it would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    from wasabiramp.platform.entry import run

    gc.freeze()
    gc.enable()
    run()


if __name__ == "__main__":
    main()
