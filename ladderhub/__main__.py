"""`python -m ladderhub`.

`platform` is answered here, before the command line with its libraries is loaded: a scheduler on the platform
has a memory limit that counts them.
"""

import sys

if sys.argv[1:] == ["platform"]:
    from ladderhub.platform.service import main as run

    run()
else:
    from ladderhub.cli import main

    main()
