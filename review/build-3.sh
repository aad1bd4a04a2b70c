#!/bin/sh
# Checks that the stand-ins of the cases compile. They are Python and use the
# standard library alone, so nothing else has to be built.
cd "$(dirname "$0")/.." || exit 1
for file in review/world3.py review/[0-9]*/case.py review/further3/*/case.py; do
    PYTHONDONTWRITEBYTECODE=1 python3 -c \
        'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
