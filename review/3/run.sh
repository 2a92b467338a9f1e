#!/bin/sh
# Plays the case once and writes record.txt here. 0: the rule held, 1: it was broken, 2: the case could not run.
# TROUBLE=0 plays it without its disruption. Before it: the build line of the deploy file, and review/build.sh.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../bin/case3 ] || [ ! -x ../../bin/cobaltflow ]; then
	echo "the case could not run: not built"
	exit 2
fi
exec ../bin/case3 "$(cd ../.. && pwd)" "$(pwd)"
