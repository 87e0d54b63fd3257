#!/bin/sh
# After the build of deploy/balancer.toml.  The stand-ins of cases 6 to 10 are plain Python on the standard library,
# run by the environment of that build: there is nothing to install.  This checks that they compile.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins-2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
.venv/bin/python -B -c 'import msgspec, ladderhub.platform.service'
echo "stand-ins: ready"
