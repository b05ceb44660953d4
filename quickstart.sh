#!/bin/sh
# Starts stand-ins of the platform, engines and services, and six entry
# instances in three availability zones; then runs examples/tour.py on them.
# Stops all these processes at the end, unless KEEP=1. SPEED is the factor by
# which the engines run faster than real time (default 4).
set -eu
cd "$(dirname "$0")"

VENV="${VENV:-.venv}"
if [ ! -x "$VENV/bin/catkintrail" ]; then
    echo "== installing into $VENV"
    python3 -m venv "$VENV"
    "$VENV/bin/pip" install --quiet --disable-pip-version-check -e .
fi
LOGS=$(mktemp -d)
PIDS=""

stop_all() {
    code=$?
    trap - EXIT INT TERM
    if [ "${KEEP:-0}" = 1 ]; then
        echo "== processes left running; stop with: kill$PIDS (logs in $LOGS)"
        exit "$code"
    fi
    for pid in $PIDS; do kill "$pid" 2>/dev/null || true; done
    for pid in $PIDS; do wait "$pid" 2>/dev/null || true; done
    if [ "$code" != 0 ]; then
        echo "== failed; logs are in $LOGS"
    else
        rm -r "$LOGS"
    fi
    exit "$code"
}
trap stop_all EXIT
trap 'exit 1' INT TERM

# Usage: start NAME ARGUMENT...
# Runs catkintrail in the background with the arguments; logs to NAME.log.
start() {
    name=$1
    shift
    "$VENV/bin/catkintrail" "$@" >"$LOGS/$name.log" 2>&1 &
    PIDS="$PIDS $!"
}

EXAMPLE=examples/brunnsrotan
echo "== starting the platform, 12 engines, 3 services, 6 entry instances"
start platform standin platform --port 7000 --targets "$EXAMPLE/targets.json"
port=7101
for zone in falun mora rattvik; do
    for number in 1 2 3 4; do
        start "engine-$port" standin engine --name "$zone-engine-$number" \
            --port "$port" --speed "${SPEED:-4}"
        port=$((port + 1))
    done
    # The targets file lists eight engines per zone; four are enough here.
    port=$((port + 4))
done
for port in 7201 7202 7203; do
    start "service-$port" standin service --name "rotatjanst-$port" \
        --port "$port"
done
for settings in "$EXAMPLE"/entry-*.json; do
    start "$(basename "$settings" .json)" entry --settings "$settings"
done

run_python() { "$VENV/bin/python" "$@"; }
run_python examples/tour.py "$EXAMPLE"
