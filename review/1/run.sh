#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.  TROUBLE=0 leaves out the disruption.
# What was sent, answered and run is in record.txt beside this file.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x .venv/bin/python ] || { echo "could not run: no .venv; see 'build' of deploy/balancer.toml"; exit 2; }
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 .venv/bin/python "$folder/check.py" &
check=$!
trap 'kill $check; wait $check; exit 2' INT TERM
wait $check
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
