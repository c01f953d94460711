# Sourced by the script of each case, in its folder: runs the program of that name. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
REPOSITORY=$(cd ../.. && pwd)
program=$REPOSITORY/review/stand-ins/target/release/$1
[ -x "$program" ] && [ -x "$REPOSITORY/target/release/leverpoint" ] || { echo "cannot run: build first (deploy file, review/build.sh)"; exit 2; }
FOLDER=$(mktemp -d)
export REPOSITORY FOLDER TMPDIR=$FOLDER
trap 'rm -rf "$FOLDER"' EXIT
timeout -k 5 110 "$program" "$PWD/record.txt"
result=$?
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
