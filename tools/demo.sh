#!/usr/bin/env bash
# Starts every program and stand-in on loopback, applies a sample configuration, sends one request
# of each kind, and shows answers and what is in force. Runs until Ctrl-C, or once with ONCE=1.
set -euo pipefail
bin=${BIN:-build/bin}
base=${BASE_PORT:-18000}
dir=$(mktemp -d)
pids=()

cleanup() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 0' INT TERM

port() { echo $((base + $1)); }
store=127.0.0.1:$(port 1) engine_a=127.0.0.1:$(port 2) engine_b=127.0.0.1:$(port 3)
orders=127.0.0.1:$(port 4) api=127.0.0.1:$(port 5) router=127.0.0.1:$(port 6)
agent_a=127.0.0.1:$(port 7) agent_b=127.0.0.1:$(port 8) agent_o=127.0.0.1:$(port 9)

start() { # NAME COMMAND...: its log goes to a file that is shown when something fails
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

common() { # HOST: the settings that every daemon has
  printf '[process]\nhost = %s\ndata_centre = ub-1\ndeployment_token = demo-deployment\n' "$1"
  printf '[store]\naddress = %s\n' "$store"
}

{ common entry-1; printf '[api]\nlisten = %s\noperator_token = demo-operator\nreader_token = demo-reader\n' "$api"; } >"$dir/api.ini"
{ common entry-1; printf '[router]\nlisten = %s\n' "$router"; } >"$dir/router.ini"
{ common runner-a; printf '[agent]\nlisten = %s\ntarget = engine-a\ntarget_address = %s\n' "$agent_a" "$engine_a"; } >"$dir/agent_a.ini"
{ common runner-b; printf '[agent]\nlisten = %s\ntarget = engine-b\ntarget_address = %s\n' "$agent_b" "$engine_b"; } >"$dir/agent_b.ini"
{ common runner-o; printf '[agent]\nlisten = %s\ntarget = orders-a\ntarget_address = %s\n' "$agent_o" "$orders"; } >"$dir/agent_o.ini"

start store "$bin/stand_in_store" --listen="$store"
start engine_a "$bin/stand_in_engine" --listen="$engine_a"
start engine_b "$bin/stand_in_engine" --listen="$engine_b"
start orders "$bin/stand_in_order_service" --listen="$orders"
start api "$bin/kqg-api" --config="$dir/api.ini"
start router "$bin/kqg-router" --config="$dir/router.ini"
start agent_a "$bin/kqg-agent" --config="$dir/agent_a.ini"
start agent_b "$bin/kqg-agent" --config="$dir/agent_b.ini"
start agent_o "$bin/kqg-agent" --config="$dir/agent_o.ini"

token_hash=$(printf 'demo-team' | sha256sum | cut -d' ' -f1)
cat >"$dir/sample.json" <<JSON
[
 {"kind": "team", "name": "shop-1", "spec": {"member": "tsagaan-tuuz", "token_sha256": "$token_hash"}},
 {"kind": "service", "name": "assistant", "spec": {"type": "model", "model": "assistant", "echoes_request_id": true, "deadline_ms": 30000}},
 {"kind": "service", "name": "orders", "spec": {"type": "plain", "path": "/orders", "deadline_ms": 10000,
   "once_only": [{"method": "POST", "path": "/orders"}]}},
 {"kind": "share", "name": "shop-1-assistant", "spec": {"team": "shop-1", "service": "assistant", "percent": 60}},
 {"kind": "priority", "name": "shop-1-morning", "spec": {"team": "shop-1", "service": "assistant", "level": 1, "from": "09:00", "to": "11:00"}},
 {"kind": "target", "name": "engine-a", "spec": {"service": "assistant", "host": "runner-a", "data_centre": "ub-1", "agent": "$agent_a", "slots": 8}},
 {"kind": "target", "name": "engine-b", "spec": {"service": "assistant", "host": "runner-b", "data_centre": "ub-1", "agent": "$agent_b", "slots": 8}},
 {"kind": "target", "name": "orders-a", "spec": {"service": "orders", "host": "runner-o", "data_centre": "ub-1", "agent": "$agent_o", "slots": 16}}
]
JSON

wait_for() { # URL
  for _ in $(seq 100); do
    curl -fsS -o "$dir/ready" "http://$1" 2>"$dir/curl_error" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -n 20 "$dir"/*.log >&2
  exit 1
}

failed=0
show() { # TITLE EXPECTED CURL_ARGUMENTS...
  local title=$1 expected=$2 out
  shift 2
  out=$(curl -sS --max-time 20 "$@" 2>&1) || failed=1
  printf '\n--- %s\n%s\n' "$title" "${out:0:600}"
  if [[ $out != *"$expected"* ]]; then
    echo "    expected to contain: $expected" >&2
    failed=1
  fi
}

wait_for "$api/livez"
export KQG_API=$api KQG_TOKEN=demo-operator
"$bin/kqgctl" apply --f="$dir/sample.json"
for it in "$router" "$agent_a" "$agent_b" "$agent_o"; do wait_for "$it/readyz"; done
# The revision at which the last resource was accepted is in force when the router knows it.
last=$("$bin/kqgctl" get target orders-a --o=json | sed 's/.*"resourceVersion":"\([0-9]*\)".*/\1/')
for it in "$router" "$agent_a" "$agent_b" "$agent_o"; do
  until [ "$(curl -sS "http://$it/metrics" | sed -n 's/^kqg_config_revision //p')" -ge "$last" ]; do sleep 0.05; done
done

auth=(-H 'Authorization: Bearer demo-team')
prompt='{"model":"assistant","messages":[{"role":"user","content":"A quote for 12 coils of strapping"}],"max_tokens":8'
show 'whole answer' '"finish_reason":"stop"' "${auth[@]}" -d "$prompt}" "http://$router/v1/chat/completions"
show 'streamed answer' 'data: [DONE]' -N "${auth[@]}" -d "$prompt,\"stream\":true}" "http://$router/v1/chat/completions"
order='{"order_id":"r-100","coils":2}'
show 'an order' '"execution":1' "${auth[@]}" -H 'Idempotency-Key: r-100' -d "$order" "http://$router/orders"
show 'the same order again' '"execution":1' "${auth[@]}" -H 'Idempotency-Key: r-100' -d "$order" "http://$router/orders"
show 'a look at the stock' '"in_stock":42' "${auth[@]}" "http://$router/orders/stock/coils"
show 'an order without a key' '"code":1009' "${auth[@]}" -d "$order" "http://$router/orders"
show 'an unknown team' '"code":1004' -d "$prompt}" "http://$router/v1/chat/completions"

# The users' platform: a stand-in of its store and targets, two gateways before them.
platform_store=127.0.0.1:$(port 10)
gateway_a=127.0.0.1:$(port 11) gateway_b=127.0.0.1:$(port 12)
for i in 0 1; do
  { common "gateway-$i" | sed "s/^address = .*/address = $platform_store/"
    printf '[control]\nlisten = 127.0.0.1:%s\n' "$(port $((15 + i)))"
    printf '[gateway]\nlisten = 127.0.0.1:%s\nready_listen = 127.0.0.1:%s\n' "$(port $((11 + i)))" "$(port $((13 + i)))"
    printf '[retries]\nratio = 0.2\nextra = 20\n'; } >"$dir/gateway_$i.ini"
done
start platform "$bin/stand_in_platform" --store="$platform_store" \
  --drafts="127.0.0.1:$(port 17),127.0.0.1:$(port 18)" --orders="127.0.0.1:$(port 19)"
for i in 0 1; do start "gateway_$i" "$bin/kqg-gateway" --config="$dir/gateway_$i.ini"; done
for i in 0 1; do wait_for "127.0.0.1:$(port $((13 + i)))/readyz"; done
shop=(-H 'Host: shop.example' "${auth[@]}")
show 'platform: a streamed draft' 'data: piece 12' -N "${shop[@]}" -H 'X-Request-Id: demo-1' -d '{}' "http://$gateway_a/drafts/wall"
show 'platform: an order' '"done_by"' "${shop[@]}" -H 'X-Request-Id: demo-2' -d "$order" "http://$gateway_b/orders/r-100"
show 'platform: a key of nobody' '"code":1004' -H 'Host: shop.example' -H 'X-Request-Id: demo-3' "http://$gateway_a/stock/coils"
sleep 0.2 # The log lines are written by a thread of their own.
printf '\n--- platform: the draft by its log lines\n'
"$bin/kqgctl" explain demo-1 --logs="$dir/gateway_0.log,$dir/gateway_1.log" || failed=1

printf '\n--- resources in force\n'
for kind in team service target share priority; do "$bin/kqgctl" get "$kind"; done
printf '\n'
"$bin/kqgctl" status || failed=1

if [ "$failed" != 0 ]; then
  echo "some requests failed" >&2
  [ -z "${SHOW_LOGS:-}" ] || tail -n 30 "$dir"/*.log >&2
  exit 1
fi
if [ -n "${ONCE:-}" ]; then
  echo "all requests were answered as they should be"
  exit 0
fi
printf '\nrouter: http://%s   api: http://%s   gateways: http://%s http://%s   (Ctrl-C ends all)\n' \
  "$router" "$api" "$gateway_a" "$gateway_b"
wait
