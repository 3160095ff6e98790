#!/bin/sh
# Builds what the cases review/4 and later start, after the build of the deploy file. Their stand-ins are in
# Python, whose standard library needs no build, so this only checks that all of it is there.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
test -x "$root/target/release/drumwheel-node" || {
    echo "target/release/drumwheel-node is missing: run the deploy file's build first" >&2
    exit 1
}
python3 - "$root/review/standins-2/site_.py" <<'EOF'
import sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
EOF
echo "the stand-ins of the cases are ready"
