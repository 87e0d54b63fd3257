#!/bin/sh
# The stand-ins are plain Python on the standard library; `build` of deploy/balancer.toml leaves the interpreter.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins
