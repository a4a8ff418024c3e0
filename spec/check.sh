#!/bin/sh
# Checks the Promela models. The search of every scope must be complete and find no
# error. The search of every variant, a model without one rule, must find an error.
# At most four searches run at a time: most need up to 350 MB, "delayed" 520 MB.
set -u
cd "$(dirname "$0")" || exit 2
for tool in spin gcc; do
	command -v "$tool" >/dev/null || { echo "check.sh: $tool is missing" >&2; exit 2; }
done
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
here=$(pwd)

# run NAME scope|variant|deep MODEL FLAGS...: variants are searched breadth-first,
# which gives the shortest trace. "deep" variants are searched depth-first, because a
# breadth-first search of them needs 1 GB.
run() {
	name=$1 want=$2 model=$3
	shift 3
	mkdir "$work/$name" && cd "$work/$name" || exit 2
	search=
	[ "$want" = variant ] && search=-DBFS
	[ "$want" = deep ] && want=variant
	if ! spin -a "$@" "$here/$model.pml" >spin.out 2>&1; then
		echo "FAIL $name: spin: $(cat spin.out)"
	elif ! gcc -O2 -w -DSAFETY -DMEMLIM=600 $search -o pan pan.c 2>gcc.out; then
		echo "FAIL $name: gcc: $(cat gcc.out)"
	else
		timeout 400 ./pan -m200000 >pan.out 2>&1
		found=$(sed -n 's/.*errors: //p' pan.out)
		states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out)
		depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' pan.out)
		if grep -q -e 'Search not completed' -e 'max search depth' -e 'out of memory' pan.out && [ "$want" = scope ]; then
			echo "FAIL $name: the search is not complete"
		elif [ "$want" = scope ] && [ "$found" = 0 ]; then
			echo "ok   $name: no error in $states states, depth $depth"
		elif [ "$want" = variant ] && [ "${found:-0}" -gt 0 ]; then
			echo "ok   $name: error found at depth $depth, as expected"
		else
			echo "FAIL $name ($want): errors: ${found:-search not finished}"
			tail -n 20 pan.out
		fi
	fi
}

jobs=0
start() {
	run "$@" >"$work/$1.result" &
	jobs=$((jobs + 1))
	if [ $((jobs % 4)) = 0 ]; then wait; fi
}

start delayed scope authority -DCATALOGUE -DDELAYED -DAUTH=2 -DFIRST=6
start members-1 scope authority -DFIRST=1
start members-3 scope authority -DFIRST=3
start withdrawal-ends scope authority -DCATALOGUE -DENDS -DFIRST=7
start withdrawal-1 scope authority -DCATALOGUE -DSHORT -DFIRST=1
start withdrawal-3 scope authority -DCATALOGUE -DSHORT -DFIRST=3
start handover scope ownership
start takeover scope ownership -DREPLACE
start no-ttl variant authority -DCATALOGUE -DFIRST=3 -DNO_TTL
start no-majority variant authority -DCATALOGUE -DFIRST=3 -DNO_MAJORITY
start no-joint variant authority -DCATALOGUE -DFIRST=1 -DNO_JOINT
start no-learned variant authority -DFIRST=1 -DNO_LEARNED
start no-wait variant authority -DCATALOGUE -DFIRST=3 -DNO_WAIT
start no-boot variant authority -DCATALOGUE -DFIRST=7 -DNO_BOOT
start no-sent variant authority -DCATALOGUE -DDELAYED -DFIRST=6 -DNO_SENT
start no-monotonic variant authority -DCATALOGUE -DDELAYED -DNO_MONOTONIC
start no-cas variant authority -DNO_CAS
start no-lease variant ownership -DREPLACE -DNO_LEASE
start no-stamp variant ownership -DREPLACE -DNO_STAMP
start no-release variant ownership -DREPLACE -DNO_RELEASE
start no-previous variant ownership -DNO_PREVIOUS
start no-tombstone deep ownership -DNO_TOMBSTONE
start no-authority variant ownership -DREPLACE -DNO_AUTHORITY
start no-fence deep ownership -DREPLACE -DNO_FENCE
start no-in-force variant ownership -DREPLACE -DNO_IN_FORCE
start no-revoke-first variant ownership -DREPLACE -DNO_REVOKE_FIRST
wait
cat "$work"/*.result
if grep -q '^FAIL' "$work"/*.result; then exit 1; fi
