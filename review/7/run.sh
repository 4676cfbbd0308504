#!/bin/sh
# Brings the store back from a copy while an entry VM is added. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/waxwing-vm ] && [ -x target/review-2/drill ] || exit 2
exec target/review-2/drill restored-store target/release/waxwing-vm review/7/record.txt
