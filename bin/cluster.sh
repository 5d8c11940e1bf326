# Functions that start a cluster on loopback for the demonstrations and the serving-path measurement:
# stand-ins for the platform, runners and workers, and entries. Sourced; the caller sets:
#   work            folder for settings, port files, logs and reports
#   fleet           fleet description to apply
#   entry_count     number of entries
#   endpoint_lines  settings of the runners and workers, as lines of the section [endpoints]

readonly START_TENTHS=200
readonly STOP_TENTHS=40

programs="distribution/target/flamingochute/bin"
pids=()
entry_pids=()

command -v curl > /dev/null || { echo "error: curl is required" >&2; exit 2; }

# Stops a process that this script started: with SIGTERM, then with SIGKILL after a timeout.
stop_process() {
  local pid="$1" i
  kill -TERM "$pid" 2> /dev/null || return 0
  for ((i = 0; i < STOP_TENTHS; i++)); do
    kill -0 "$pid" 2> /dev/null || return 0
    sleep 0.1
  done
  kill -KILL "$pid" 2> /dev/null || true
}

stop_each() {
  local pid stoppers=()
  [ $# -gt 0 ] || return 0
  for pid in "$@"; do
    stop_process "$pid" &
    stoppers+=("$!")
  done
  wait "${stoppers[@]}" 2> /dev/null || true
}

# Stops entries before the other processes, since their graceful shutdown needs the platform.
stop_all() {
  local status=$?
  trap - EXIT
  stop_each "${entry_pids[@]}"
  stop_each "${pids[@]}"
  exit "$status"
}

# start NAME PROGRAM ARGUMENTS...: starts a process with its output redirected to a log file.
start() {
  local name="$1" program="$2"
  shift 2
  "$programs/$program" "$@" > "$work/$name.log" 2>&1 &
  last_pid=$!
  pids+=("$last_pid")
}

fail() {
  echo "error: $1" >&2
  if [ -f "$2" ]; then
    tail -n 20 "$2" >&2
  fi
  exit 1
}

# wait_for NAME FILE: waits until the process has written its port file.
wait_for() {
  local i
  for ((i = 0; i < START_TENTHS; i++)); do
    [ -f "$2" ] && return 0
    sleep 0.1
  done
  fail "$1 has not started" "$work/$1.log"
}

address_of() {
  sed -n "s/^$2=//p" "$work/$1.ports"
}

post() {
  curl -sS --fail --max-time 5 -X POST -d "$2" "http://$platform$1" > /dev/null
}

control() {
  FLAMINGOCHUTE_OPERATOR_KEY="$operator_key" \
    "$programs/flamingochute-control" "$@" "${entry_options[@]}" --operator "$operator"
}

wait_until_ready() {
  local i
  for ((i = 0; i < START_TENTHS; i++)); do
    curl -sS --fail --max-time 2 "http://$1/health/ready" > /dev/null 2>&1 && return 0
    sleep 0.1
  done
  fail "entry $1 is not ready" "$work/entry-0.log"
}

build_programs() {
  mvn -q -B -ntp -Dstyle.color=never -Dmaven.test.skip=true -pl distribution -am package
}

# Empties the work folder and registers traps that stop all processes when the script exits.
prepare_cluster() {
  rm -rf "$work"
  mkdir -p "$work"
  trap stop_all EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

# Starts the platform stand-in and sets platform to its address.
start_platform() {
  cat > "$work/platform.ini" <<INI
[platform]
port_file = $work/platform.ports
INI
  start platform flamingochute-standin platform --settings "$work/platform.ini"
  wait_for platform "$work/platform.ports"
  platform="$(address_of platform http)"
}

# Starts the runners and workers and sets endpoints to the address of their report.
start_endpoints() {
  cat > "$work/endpoints.ini" <<INI
[endpoints]
platform_address = $platform
$endpoint_lines
port_file = $work/endpoints.ports
INI
  start endpoints flamingochute-standin endpoints --settings "$work/endpoints.ini"
  wait_for endpoints "$work/endpoints.ports"
  endpoints="$(address_of endpoints http)"
}

start_entry() {
  local index="$1"
  cat > "$work/entry-$index.ini" <<INI
[entry]
instance = entry-$index
data_centre = dc-$((index % 3))
port_file = $work/entry-$index.ports
bootstrap_operator_digest = $bootstrap_digest

[platform]
log_address = $platform
list_address = $platform
pool_address = $platform

[peer]
secret_file = $work/secret
INI
  start "entry-$index" flamingochute-entry --settings "$work/entry-$index.ini"
  entry_pids+=("$last_pid")
}

register_entry() {
  local name="entry-$1" peer
  peer="$(address_of "$name" peer)"
  post /instances/register "{\"instance\":\"$name\",\"kind\":\"INSTANCE_ENTRY\",\"state\":\"INSTANCE_LIVE\",\"dataCentre\":\"dc-$(($1 % 3))\",\"address\":\"$peer\"}"
}

# Starts the entries; sets addresses to theirs, and entry_options for the operators' command line.
start_entries() {
  local i http
  head -c 32 /dev/urandom | base64 > "$work/secret"
  bootstrap_key="demo-bootstrap-key"
  bootstrap_digest="sha256:$(printf '%s' "$bootstrap_key" | sha256sum | cut -d' ' -f1)"
  for ((i = 0; i < entry_count; i++)); do
    start_entry "$i"
  done
  addresses=()
  entry_options=()
  for ((i = 0; i < entry_count; i++)); do
    wait_for "entry-$i" "$work/entry-$i.ports"
    http="$(address_of "entry-$i" http)"
    addresses+=("$http")
    entry_options+=(--entry "$http")
    register_entry "$i"
  done
  for http in "${addresses[@]}"; do
    wait_until_ready "$http"
  done
}

# Applies the first description as the operator bootstrap, then switches to the operator demo.
apply_description() {
  operator=bootstrap
  operator_key="$bootstrap_key"
  control apply "$fleet" --base 0 --reason "first description"
  operator=demo
  operator_key=demo-operator-key
}
