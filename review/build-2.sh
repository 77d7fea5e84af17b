#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They are Python programs of the
# standard library, so that building them means compiling them once.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-2/*.py [6-9]/*.py <<'P'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
P
