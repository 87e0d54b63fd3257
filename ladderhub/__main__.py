"""`python -m ladderhub`.

`platform` is answered here, before the command line with its libraries is loaded: a scheduler on the platform
has a memory limit that counts them.
"""

import signal
import sys

if sys.argv[1:] == ["platform"]:
    # Kept until there are handlers: a signal would end the process while its modules are loaded.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGINT, signal.SIGTERM})
    from ladderhub.platform.service import main as run

    run()
else:
    from ladderhub.cli import main

    main()
