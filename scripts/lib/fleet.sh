# A small fleet of real processes on loopback, for measurements. Sourced after
# common.sh. One data centre with three controls, some entries and one stand-in
# process that speaks for many backend servers.
#
# Sets FLEET_FOLDER; uses FLEET_PORT (default 18000).

FLEET_PORT="${FLEET_PORT:-18000}"
FLEET_PROGRAMS="$PWD/build"
FLEET_PIDS=()
FLEET_CONTROLS=(1 2 3)

fleet_entry_port() { echo $((FLEET_PORT + 100 + $1)); }
fleet_link_port() { echo $((FLEET_PORT + 10 * $1)); }
fleet_http_port() { echo $((FLEET_PORT + 10 * $1 + 1)); }

fleet_start() {
  local Name="$1" Program="$2"
  shift 2
  setsid "$FLEET_PROGRAMS/$Program" "$@" >"$FLEET_FOLDER/$Name.log" 2>&1 \
    </dev/null &
  echo $! >"$FLEET_FOLDER/$Name.pid"
  FLEET_PIDS+=("$!")
}

fleet_pid() { cat "$FLEET_FOLDER/$1.pid"; }

fleet_members() {
  local Number List=()
  for Number in "${FLEET_CONTROLS[@]}"; do
    List+=("c$Number=127.0.0.1:$(fleet_link_port "$Number")")
  done
  (IFS=, && echo "${List[*]}")
}

# fleet_up ENTRIES SERVERS [CONTROL_FLAG...]: starts everything and accepts a
# bundle; returns 1 if that did not come about in 30 s.
fleet_up() {
  local Entries="$1" Servers="$2" Number List=()
  shift 2
  FLEET_FOLDER="$(mktemp -d "$PWD/run/fleet-XXXXXX")"
  FLEET_PIDS=()
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$FLEET_FOLDER/secret"
  for Number in "${FLEET_CONTROLS[@]}"; do
    mkdir "$FLEET_FOLDER/c$Number"
    fleet_start "c$Number" tulipweir-control --name "c$Number" \
      --data-centre dc1 --listen-links "127.0.0.1:$(fleet_link_port "$Number")" \
      --listen-http "127.0.0.1:$(fleet_http_port "$Number")" \
      --data-folder "$FLEET_FOLDER/c$Number" \
      --secret-file "$FLEET_FOLDER/secret" \
      --data-centre-members "$(fleet_members)" \
      --fleet-members "$(fleet_members)" "$@"
  done
  for Number in $(seq "$Entries"); do
    fleet_start "e$Number" tulipweir-entry --name "e$Number" \
      --data-centre dc1 --listen "127.0.0.1:$(fleet_entry_port "$Number")" \
      --controls "$(fleet_members)" --secret-file "$FLEET_FOLDER/secret"
    List+=("127.0.0.1:$(fleet_entry_port "$Number")")
  done
  FLEET_ENTRIES="$(IFS=, && echo "${List[*]}")"
  # Shellcheck's word splitting is wanted: each entry is offered to all servers.
  fleet_start servers tulipweir-standin --data-centre dc1 \
    --servers "$Servers" --services booking,tariff \
    --entries "$FLEET_ENTRIES" --milli-cpus 64000 --memory-mib 250000 \
    --service-time-us 500 --audit "$FLEET_FOLDER/audit"
  fleet_first_bundle
}

fleet_ctl() {
  "$FLEET_PROGRAMS/tulipweirctl" --entry "$FLEET_ENTRIES" "$@"
}

# fleet_bundle VERSION PARENT DIGEST: a small bundle of that version.
fleet_bundle() {
  cat <<JSON
{
  "version": $1, "parentVersion": $2, "parentDigest": "$3",
  "note": "measurement", "signOffsNeeded": 1,
  "operators": [{"operator": "ana", "publicKey": "$FLEET_KEY"}],
  "services": [
    {"service": "booking", "defaultDeadlineMs": 2000, "maxDeadlineMs": 10000,
     "targetP99Ms": 50,
     "share": {"milliCpus": 4000, "memoryMib": 4096, "accelerators": 0}},
    {"service": "tariff", "defaultDeadlineMs": 2000, "maxDeadlineMs": 10000,
     "targetP99Ms": 50,
     "share": {"milliCpus": 4000, "memoryMib": 4096, "accelerators": 0}}
  ]
}
JSON
}

fleet_propose() {
  fleet_bundle "$1" "$2" "$3" >"$FLEET_FOLDER/bundle.$1"
  fleet_ctl --operator ana --key-file "$FLEET_FOLDER/ana.key" --json \
    bundle propose "$FLEET_FOLDER/bundle.$1" >"$FLEET_FOLDER/propose.$1" 2>&1
}

fleet_digest() {
  sed -n 's/.*"digest" *: *"\([0-9a-f]*\)".*/\1/p' "$FLEET_FOLDER/propose.$1" |
    head -n 1
}

fleet_first_bundle() {
  local End=$((SECONDS + 30))
  fleet_ctl --operator ana --json keygen "$FLEET_FOLDER/ana.key" \
    >"$FLEET_FOLDER/ana.public" 2>&1
  FLEET_KEY="$(sed -n 's/.*"publicKey" *: *"\([0-9a-f]*\)".*/\1/p' \
    "$FLEET_FOLDER/ana.public")"
  until fleet_propose 1 0 ""; do
    [ "$SECONDS" -lt "$End" ] || {
      cat "$FLEET_FOLDER/propose.1"
      return 1
    }
    sleep 0.3
  done
}

# fleet_metric CONTROL_NUMBER NAME: the sum over its labels.
fleet_metric() {
  curl -s -m 5 "127.0.0.1:$(fleet_http_port "$1")/metrics" |
    awk -v Name="$2" '$1 == Name || index($1, Name "{") == 1 { Sum += $2 }
      END { printf "%.0f\n", Sum }'
}

# The number of the control that leads the data centre.
fleet_leader() {
  local Number
  for Number in "${FLEET_CONTROLS[@]}"; do
    if curl -s -m 5 "127.0.0.1:$(fleet_http_port "$Number")/debug/state" |
      grep -q '"leadsDataCentre":true'; then
      echo "$Number"
      return 0
    fi
  done
  return 1
}

# Stops every process as planned, and whatever is left after 3 s at once: the
# stand-in would hold on for its clients, which a measurement has not got.
fleet_down() {
  local Pid End=$((SECONDS + 3))
  for Pid in "${FLEET_PIDS[@]}"; do kill -TERM "$Pid" 2>/dev/null; done
  for Pid in "${FLEET_PIDS[@]}"; do
    while kill -0 "$Pid" 2>/dev/null && [ "$SECONDS" -lt "$End" ]; do
      sleep 0.1
    done
    kill -KILL "$Pid" 2>/dev/null
    wait "$Pid" 2>/dev/null
  done
  FLEET_PIDS=()
}
