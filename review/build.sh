#!/bin/sh
# The stand-ins are Python and need only the packages of the deploy file: check that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review python3 -c "import harness"
