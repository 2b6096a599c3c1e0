#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the crash out.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp review/lib-3/target Builds review/11/record.txt
