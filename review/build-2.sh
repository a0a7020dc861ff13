#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They are Python scripts that need only
# the standard library (3.11 or newer), so that there is nothing to compile.
set -eu
cd "$(dirname "$0")"
python3 -B - common2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py <<'CHECK'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
import http.server, json, socketserver, tomllib
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
CHECK
test -x ../target/bronzedeal-gateway || {
  echo "target/bronzedeal-gateway is missing: run the build of deploy/system.toml" >&2
  exit 1
}
