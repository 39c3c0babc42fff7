#!/usr/bin/env bash
# Tests two builds in one deployment: the programs of this tree ("built") and those of another build ("other").
#
#   programs/tests/mixed.sh [--order built|other] FOLDER [TEST...]
#
# FOLDER holds hemlockwind, hemlockwindd and hemlockwind-gateway of the other build, which this script does not build. The
# process tests run twice. In the first run, successive starts of a program are of the builds built, other, other, built, and
# so on; in the second run other, built, built, other. --order selects one of the two runs. TEST limits a run to the tests
# whose names contain it; such a run is partial. The script is run by hand, not by CI. It needs curl, python3 and cargo nextest.
#
# The script checks that the command lines of both builds print the same, that each build accepts the configuration that the
# other put in force, also after a restart, and that the process tests pass with both builds in one deployment: requests to
# each build, kills, pauses, planned stops. Then it searches the logs for error codes. The exit status is 1 if a test failed,
# the output of a command differed or the logs contain a fault:
#   5001  A peer did not prove that it knows the shared key: counted as a fault. An instance also logs it if the peer was
#         killed, paused or slow for a second while the two connected, so look at the line and the test before judging.
#   5002  A peer speaks another version of the protocol: always a fault.
#   5003  A message can't be read or is not accepted: always a fault.
#   5004  A peer can't be reached: normal if the peer is dead, paused or cut off, so these lines are only counted.
# Stored objects that can't be read, programs that did not start (7001) and panics are faults too. Lines that report dropped
# log lines are only counted. The absence of lines with these codes does not prove that no message was refused: the receiver
# of an unreadable message answers it with a refusal and logs nothing, and most senders log nothing either (a dispatch is the
# exception). The tests place instances into two data centres alternately: from the third start on, one data centre has both
# builds, and from the fourth start on, each has.
set -uo pipefail
cd "$(dirname "$0")/../.."

orders=(built other)
if [ "${1:-}" = --order ]; then
    orders=("$2")
    shift 2
fi
if [ $# -lt 1 ] || [[ ! ${orders[0]} =~ ^(built|other)$ ]]; then
    sed -n '2,/^set/{/^set/d;s/^# \{0,1\}//;p}' "$0"
    exit 2
fi
other=$(cd "$1" && pwd) || exit 2
shift
for program in hemlockwind hemlockwindd hemlockwind-gateway; do
    [ -x "$other/$program" ] || { echo "no $program in $other"; exit 2; }
done
cargo build -p hemlockwind-programs --bins --locked || exit 2
target=$(cargo metadata --no-deps --format-version 1 | python3 -c 'import json, sys; print(json.load(sys.stdin)["target_directory"])')
built=$target/debug
kept=$target/tmp/mixed
out=$target/mixed/$(date +%Y%m%d-%H%M%S)
mkdir -p "$out" "$target/tmp"
faults=0
fault() {
    echo "FAULT: $*"
    faults=$((faults + 1))
}

# Processes that this script started; they are killed when it exits.
started=()
trap 'for id in "${started[@]}"; do kill -KILL "$id" 2>/dev/null; done' EXIT
# Starts the instance NAME with the program in FOLDER and appends its process id to `started`: daemon FOLDER NAME LOG
daemon() {
    "$1/hemlockwindd" --settings "$dir/settings.json" --instance "$2" 2>"$3" &
    started+=($!)
}
# Repeats a command for about 30 seconds until it succeeds: eventually COMMAND...
eventually() {
    for _ in $(seq 150); do
        "$@" >/dev/null 2>&1 && return
        sleep 0.2
    done
    fault "not within 30 s: $*"
}
# Checks that the command lines of both builds succeed and print the same: same NAME ARGS...
same() {
    local name=$1
    shift
    "$built/hemlockwind" "$@" >"$dir/$name-built" 2>&1; echo "exit $?" >>"$dir/$name-built"
    "$other/hemlockwind" "$@" >"$dir/$name-other" 2>&1; echo "exit $?" >>"$dir/$name-other"
    tail -1 "$dir/$name-built" | grep -q 'exit 0' || fault "$name: $(tail -2 "$dir/$name-built")"
    diff "$dir/$name-built" "$dir/$name-other" && echo "same: $name" || fault "$name: the outputs differ"
}

# Runs two instances in one data centre, one of each build, on one platform; then stops both and swaps their builds:
# commands FIRST-FOLDER SECOND-FOLDER ORDER
commands() {
    local first=$1 second=$2
    dir=$out/commands-$3
    mkdir -p "$dir"
    for file in examples/*.jsonc; do same "check-$(basename "$file")" check "$file"; done
    # Ports that are free at this moment.
    read -r -a ports < <(python3 -c 'import socket
held = [socket.create_server(("127.0.0.1", 0)) for _ in range(6)]
print(*[s.getsockname()[1] for s in held])')
    "$built/hemlockwind-standin" platform >"$dir/platform" 2>&1 &
    started+=($!)
    local platform_process=$!
    eventually grep -q listening "$dir/platform"
    python3 - "$dir" "${ports[@]}" <<'PYTHON'
import json, sys
folder, ports = sys.argv[1], ["127.0.0.1:" + p for p in sys.argv[2:]]
platform = json.loads(open(folder + "/platform").readline())["listening"]
instances = [
    {"name": n, "data_centre": "dar-kariakoo", "callers": ports[i], "peers": ports[i + 1], "admin": ports[i + 2]}
    for n, i in (("one", 0), ("two", 3))
]
settings = {"platform": platform, "peer_key": "a-peer-key-of-this-check", "admin_token": "an-admin-token-of-this-check", "instances": instances}
open(folder + "/settings.json", "w").write(json.dumps(settings))
entries = [{"name": i["name"], "data_centre": i["data_centre"], "addr": i["peers"], "kind": "instance", "state": "live"} for i in instances]
open(folder + "/list.json", "w").write(json.dumps({"instances": entries}))
open(folder + "/addr", "w").write(platform)
PYTHON
    curl -sf -X PUT -H 'content-type: application/json' --data-binary "@$dir/list.json" "http://$(cat "$dir/addr")/_standin/instances" || fault "the platform did not accept the list of instances"
    printf '%s\r\n' 'day;kind;name;share;rank;home' "$(date -u +%F);organisation;kariakoo-agents;2;agent;dar-kariakoo" ';end;1;;;' >"$dir/sheet.csv"
    local s=(--settings "$dir/settings.json")
    for turn in before after; do
        daemon "$first" one "$dir/one-$turn.log"
        local one=$!
        daemon "$second" two "$dir/two-$turn.log"
        local two=$!
        if [ $turn = before ]; then
            eventually "$first/hemlockwind" apply "${s[@]}" examples/mwangaza-configuration.jsonc
        fi
        # Each instance logs on its own that the configuration is in force.
        for log in one two; do eventually grep -q 'a configuration is in force' "$dir/$log-$turn.log"; done
        if [ $turn = before ]; then
            same sheet-shown sheet "${s[@]}" --dry-run "$dir/sheet.csv"
            "$second/hemlockwind" sheet "${s[@]}" "$dir/sheet.csv" >"$dir/sheet" 2>&1 || fault "sheet: $(cat "$dir/sheet")"
        fi
        sleep 2
        same "get-$turn" get "${s[@]}"
        same "status-$turn" status "${s[@]}"
        kill -TERM $one $two
        wait $one || fault "one: exit $? after a planned stop"
        wait $two || fault "two: exit $? after a planned stop"
        local swap=$first
        first=$second
        second=$swap
    done
    diff "$dir/get-before-built" "$dir/get-after-built" >/dev/null || fault "the restart changed the stored configuration"
    kill -KILL $platform_process
    wait $platform_process 2>/dev/null
    search "$dir" '*.log'
}

# Searches the logs for faults and prints counts: search FOLDER PATTERN
search() {
    python3 - "$1" "$2" <<'PYTHON' || fault "the logs of $1 contain faults"
import collections, json, pathlib, re, sys
WORDS = {
    "5001 not proved": (5001, "did not prove that it knows the shared key"),
    "5002 version": (5002, "(speaks|uses) another version of the protocol"),
    "5003 message": (5003, "peer's message can't be read"),
    "5004 not reached": (5004, "peer can't be reached"),
    "stored object can't be read": (None, "routes can't be read|accepted configuration can't be read"),
    "not started": (7001, '"not started"|settings have faults'),
    "panic": (None, "panicked at"),
    "log lines dropped": (None, "logger dropped|slog-async.*overflow"),
}
NORMAL = {"5004 not reached", "log lines dropped"}
counts, shown, starts, tests = collections.Counter(), [], collections.Counter(), set()
for path in sorted(pathlib.Path(sys.argv[1]).rglob(sys.argv[2])):
    if path.is_dir():
        continue
    test = path.parent.name
    tests.add(test)
    for build in ("built", "other"):
        if re.match(rf"\d+-{build}-", path.name) and path.suffix == ".log":
            starts[build] += 1
    for line in path.read_text(errors="replace").splitlines():
        for kind, (code, words) in WORDS.items():
            if re.search(words, line) or code and re.search(rf'"code":{code}\b', line):
                is_normal = kind in NORMAL
                counts[kind, "normal" if is_normal else "FAULT"] += 1
                if not is_normal and len(shown) < 20:
                    shown.append(f"{test}/{path.name}: {line[:300]}")
print(f"logs of {len(tests)} folders; starts: {dict(starts)}")
for kind in WORDS:
    print(f"  {kind}: {counts[kind, 'normal']} normal, {counts[kind, 'FAULT']} faults")
print(*shown, sep="\n")
sys.exit(any(of == "FAULT" for _, of in counts))
PYTHON
}

for order in "${orders[@]}"; do
    echo "== commands, $order first"
    if [ "$order" = built ]; then commands "$built" "$other" "$order"; else commands "$other" "$built" "$order"; fi
    echo "== process tests, $order first${*:+ (partial: $*)}"
    rm -rf "$kept"
    is_other_first=0
    [ "$order" = other ] && is_other_first=1
    HEMLOCKWIND_OTHER_PROGRAMS=$other HEMLOCKWIND_OTHER_FIRST=$is_other_first \
        cargo nextest run -p hemlockwind-programs --test process --locked --no-fail-fast --success-output final "$@" \
        >"$out/tests-$order" 2>&1 || fault "a test failed, $order first"
    grep -E '^ *(FAIL|SIGNAL|TIMEOUT|FLAKY|TRY|Summary)' "$out/tests-$order" | sort -u
    mkdir -p "$kept"
    mv "$kept" "$out/logs-$order"
    search "$out/logs-$order" '*'
done
echo "output and logs: ${out#"$PWD"/}; faults: $faults"
[ $faults = 0 ]
