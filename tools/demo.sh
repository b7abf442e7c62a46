#!/usr/bin/env bash
# Installs what is needed, builds, starts three daemons in three availability
# zones with the fakes on loopback, asks them one survey, one lookup and one
# command, and stops everything. Exit code 0 only if all three answers were
# whole and every daemon ended cleanly.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly example=examples/escaparates
readonly build=build/release
readonly platform=127.0.0.1:20300
readonly backend_admin=127.0.0.1:20301
readonly platform_admin=127.0.0.1:20302
readonly start_seconds=30
readonly stop_seconds=40

pids=()
folder=$(mktemp -d)

# Ends what this script started, by process id.
cleanup() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "gave up waiting: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

start() {
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  pids+=($!)
  echo "started $name, process $!"
}

say "Installing and building"
tools/install-deps.sh
cmake --preset release >"$folder/cmake.log" || { cat "$folder/cmake.log"; exit 1; }
cmake --build --preset release -j "${JOBS:-6}" \
  --target quetzalleadd quetzallead fake-backend fake-platform

say "Starting the fakes and three daemons"
start fake-platform "$build/tools/fake-platform" --listen "$platform" --admin "$platform_admin"
start fake-backend "$build/tools/fake-backend" --sheet "$example/sheet.json" \
  --admin "$backend_admin" --service-time-ms 2 --version 42
wait_for "$start_seconds" grep -q ready "$folder/fake-platform.log"
wait_for "$start_seconds" grep -q ready "$folder/fake-backend.log"

# Secrets must not be readable by others, which a checkout does not ensure.
install -m 600 "$example/secrets.json" "$folder/secrets.json"
daemons=()
admins=()
callers=()
for zone in a b c; do
  settings=$folder/instance-$zone.json
  sed "s|\"secrets_file\": \"[^\"]*\"|\"secrets_file\": \"$folder/secrets.json\"|" \
    "$example/instance-$zone.json" >"$settings"
  start "quetzalleadd-$zone" "$build/quetzalleadd" --settings "$settings"
  daemons+=("${pids[-1]}")
  admins+=("$(sed -n 's|.*"admin_listen": "\([^"]*\)".*|\1|p' "$settings")")
  callers+=("$(sed -n 's|.*"caller_listen": "\([^"]*\)".*|\1|p' "$settings")")
done
for admin in "${admins[@]}"; do
  wait_for "$start_seconds" curl -sf "http://$admin/healthz"
done

say "Submitting the sheet"
sed -n 's|.*"operator_token": "\([^"]*\)".*|\1|p' "$example/secrets.json" >"$folder/token"
chmod 600 "$folder/token"
cli=("$build/quetzallead" --admin "${admins[0]}" --token-file "$folder/token")
"${cli[@]}" sheet submit "$example/sheet.json" --author demo --reason "first sheet"
for admin in "${admins[@]}"; do
  wait_for "$start_seconds" curl -sf "http://$admin/readyz"
done
# Instances tell each other which revision they have in force.
zones_in_force() { [ "$("${cli[@]}" sheet status | grep -c '^[abc] ')" -eq 3 ]; }
wait_for "$start_seconds" zones_in_force
"${cli[@]}" sheet status

whole=0
# ask CALLER WORDS...: asks through the command-line tool, prints the answer as
# the tool prints it and counts it if nothing is missing.
ask() {
  local caller=$1
  shift
  say "$1 at $caller"
  if "$build/quetzallead" --caller "$caller" ask "$@" | tee "$folder/answer" &&
    sed 's/[\\ ]//g' "$folder/answer" | grep -q '"complete":true'; then
    whole=$((whole + 1))
  fi
}

ask "${callers[0]}" survey register-search --merge ordered --order-by key
ask "${callers[1]}" lookup record-viewer shop-4711
ask "${callers[2]}" command enquiry-relay shop-4711 '{"enquiry": "Is the shop to let?"}'

say "Stopping"
clean=0
for pid in "${daemons[@]}"; do
  kill -TERM "$pid"
done
for pid in "${daemons[@]}"; do
  wait_for "$stop_seconds" bash -c "! kill -0 $pid" || true
  if wait "$pid"; then
    clean=$((clean + 1))
  fi
done
for zone in a b c; do
  tail -n 1 "$folder/quetzalleadd-$zone.log"
done

say "$whole of 3 answers were whole, $clean of 3 daemons ended cleanly"
[ "$whole" -eq 3 ] && [ "$clean" -eq 3 ]
