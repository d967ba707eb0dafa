#!/bin/sh
# The stand-ins of the second review are Python files that use the packages of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 exec python3 -c "
import sys
sys.path.insert(0, 'review')
import stand_in_2
"
