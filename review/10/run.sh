#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/stage2/bin/case-10 ] || review/build-2.sh || exit 2
exec review/stage2/bin/case-10 review/10/record.txt
