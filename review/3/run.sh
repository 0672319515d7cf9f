#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out
# the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
folder=$(mktemp -d)
# Ends what a run that was cut short has left running.
cleanup() {
  for pid in $(cat "$folder/pids" 2>/dev/null); do
    [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = foxledged ] && kill -KILL "$pid"
  done
  rm -rf "$folder"
}
trap cleanup EXIT
timeout 115 target/review/case3 "$folder" "$here/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
