#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.  TROUBLE=0: without the disruption.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
../../.venv/bin/python -B test.py &
test=$!
trap 'kill "$test" 2>/dev/null' INT TERM
status=
while kill -0 "$test" 2>/dev/null; do wait "$test"; status=$?; done
[ -n "$status" ] || { wait "$test"; status=$?; }
case $status in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
