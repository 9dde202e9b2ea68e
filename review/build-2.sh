#!/bin/sh
# Checks the stand-ins of cases 6 to 10. They need nothing but Python's own library.
cd "$(dirname "$0")" || exit 1
for file in fleet2.py replica2.py store2.py wire2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
