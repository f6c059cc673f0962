#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/sorrelladder.cjs ] && [ -f ../../dist/platform/test/standin/store-server.js ] ||
  sh ../build.sh || exit 2
timeout -k 5 110 node case.mjs &
running=$!
trap 'kill "$running"' TERM INT HUP
wait "$running"
case $? in
  0) exit 0 ;;
  10) exit 1 ;; # a code of its own: an error of the script is no broken rule
  *) exit 2 ;;
esac
