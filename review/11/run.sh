#!/bin/sh
# Plays case 11 and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/clementinerock ] && [ -x target/kit3 ] || exit 2
exec target/kit3 timeout "$here/record.txt"
