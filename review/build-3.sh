#!/bin/sh
# Prepares the stand-ins of the third review. All of them are Python programs of
# the standard library, so there is nothing to compile; this checks that they
# load and that the build of the deploy file is in place.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=review/common3 python3 -B -c 'import deployment, ordinary_client'
for it in review/1[1-5]/*.py; do
  [ ! -e "$it" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
done
[ -x target/bronzedeal-gateway ] || echo "target/bronzedeal-gateway isn't built yet"
