#!/bin/bash
# Builds what the scripts of the second review start besides the build of the deploy file. Their
# stand-ins are Python without further packages: nothing is compiled, the sources are checked.
cd "$(dirname "$0")" || exit 2
for file in lib-2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" ||
        exit 1
done
test -x ../target/build/fleet/foxtailturnd || {
    echo "target/build/fleet/foxtailturnd is missing: run the build of deploy/system.toml first" >&2
    exit 1
}
