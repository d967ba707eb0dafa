#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same steps at the same times, and leaves out only the disruption.
TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
export TROUBLE
PYTHONPATH="$here/../../target/deps" exec python3 "$here/case.py"
