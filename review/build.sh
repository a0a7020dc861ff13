#!/usr/bin/env bash
# The stand-ins of the scripts are Python modules of the standard library only;
# this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for it in common/world.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
done
test -x ../target/bronzedeal-gateway || {
  echo "target/bronzedeal-gateway is missing: run the build of deploy/system.toml"
  exit 1
}
