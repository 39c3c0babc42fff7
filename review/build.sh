#!/usr/bin/env bash
# Builds what the scripts start. The stand-ins are Python 3.11 without packages, so that nothing is
# built for them; the project's program is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 is needed"; exit 2; }
python3 -c 'import ast, pathlib; [ast.parse(p.read_text()) for p in pathlib.Path(".").rglob("*.py")]'
