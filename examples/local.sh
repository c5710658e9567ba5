#!/usr/bin/env bash
# Runs a complete deployment on loopback: stand-ins for the platform and the endpoints, and three router instances in
# three regions. Sends a chat, a streamed chat, a lookup and a non-idempotent operation and checks each response.
#
#   examples/local.sh [--deployment kovacic|mizukumi] [--keep]
#
# Exits with 0 only if all responses are as expected. With --keep the processes keep running if so, and the last line is
# JSON with the addresses, the account key, the log directory and the command that stops the processes.
set -euo pipefail

usage() { sed -n '2,8p' "$0" | sed 's/^# \{0,1\}//'; }

deployment=kovacic
keep=no
while [ $# -gt 0 ]; do
  case "$1" in
    --deployment) deployment="${2:-}"; shift 2 || { usage >&2; exit 2; } ;;
    --keep) keep=yes; shift ;;
    --help|-h) usage; exit 0 ;;
    *) echo "unknown argument: $1" >&2; usage >&2; exit 2 ;;
  esac
done
case "$deployment" in
  kovacic) model=assistant service=ledger lookup=stock order=place-order account=web-shop ;;
  mizukumi) model=drafting service=permits lookup=status order=issue account=permit-desk ;;
  *) echo "--deployment must be kovacic or mizukumi, was '$deployment'" >&2; exit 2 ;;
esac

cd "$(dirname "$0")/.."
router=router/target/baobabcroft
standins=standins/target/baobabcroft-standins
sample="examples/$deployment"
if [ ! -x "$router" ] || [ ! -x "$standins" ]; then
  echo "building ..."
  mvn --batch-mode --no-transfer-progress --quiet -DskipTests -Dspotless.check.skip -Dcheckstyle.skip package
fi

run=$(mktemp -d)
pids=()
failed=0
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$run"
}
trap 'stop_all' EXIT

wait_for() { # url, what
  for _ in $(seq 1 150); do
    if curl -fs -o "$run/probe" "$1"; then return 0; fi
    sleep 0.2
  done
  echo "$2 did not become ready; last lines of the logs:" >&2
  tail -n 20 "$run"/*.log >&2
  exit 1
}

"$standins" all --rules "$sample/$deployment.rules" >"$run/standins.log" 2>&1 &
pids+=($!)
wait_for http://127.0.0.1:7302/targets "the stand-ins"

for n in 1 2 3; do
  domain=$(sed -n 's/.*"failureDomain": "\([^"]*\)".*/\1/p' "$sample/instance-$n.json")
  entry="name=$deployment-$n&role=instance&state=live&failure_domain=$domain&address=127.0.0.1:702$n"
  curl -fsS -o "$run/probe" -X POST "http://127.0.0.1:7302/control/put?$entry"
done

for n in 1 2 3; do
  "$router" serve --settings "$sample/instance-$n.json" >"$run/instance-$n.log" 2>&1 &
  pids+=($!)
done
for n in 1 2 3; do wait_for "http://127.0.0.1:700$n/healthz" "instance $n"; done

"$router" rules apply "$sample/$deployment.rules" --base 0 --comment "sample rules" \
  --admin http://127.0.0.1:7011 --admin-key-file "$sample/operator-key"
for n in 1 2 3; do wait_for "http://127.0.0.1:700$n/readyz" "instance $n"; done

key="$account-key"
check() { # what, expected text, curl arguments
  local what="$1" expected="$2" answer status ran
  shift 2
  answer=$(curl -s -D "$run/headers" -H "Authorization: Bearer $key" "$@") || answer="curl failed with $?"
  status=$(head -n 1 "$run/headers" | tr -d '\r')
  ran=$(grep -iE '^baobabcroft-(version|endpoint|config-version|recorded)' "$run/headers" | tr -d '\r' | tr '\n' ' ')
  echo "== $what: $status; $ran"
  printf '%.600s\n' "$answer"
  if ! grep -qE ' 200 ' <<<"$status" || ! grep -qF "$expected" <<<"$answer"; then
    echo "!! expected status 200 and '$expected'" >&2
    failed=1
  fi
}

chat='"messages":[{"role":"user","content":"How long do I expose 100 ISO paper at f/180 in shade?"}]'
json='Content-Type: application/json'
order_url="v1/services/$service/$order"
check "chat through instance 1" '"finish_reason"' http://127.0.0.1:7001/v1/chat/completions -H "$json" \
  -H 'Baobabcroft-Session: local-1' -d "{\"model\":\"$model\",$chat}"
check "the same session through instance 2" '"finish_reason"' http://127.0.0.1:7002/v1/chat/completions -H "$json" \
  -H 'Baobabcroft-Session: local-1' -d "{\"model\":\"$model\",$chat}"
check "streamed chat through instance 2" 'data: [DONE]' -N http://127.0.0.1:7002/v1/chat/completions -H "$json" \
  -d "{\"model\":\"$model\",\"stream\":true,$chat}"
check "lookup through instance 3" '{' "http://127.0.0.1:7003/v1/services/$service/$lookup?item=42"
check "non-idempotent operation through instance 1" '{' "http://127.0.0.1:7001/$order_url" -H "$json" \
  -H 'Idempotency-Key: local-order-1' -d '{"item":42}'
first=$(curl -s -H "Authorization: Bearer $key" -H "$json" -H 'Idempotency-Key: local-order-1' -d '{"item":42}' \
  "http://127.0.0.1:7001/$order_url")
check "the same operation retried through instance 2" "$first" "http://127.0.0.1:7002/$order_url" -H "$json" \
  -H 'Idempotency-Key: local-order-1' -d '{"item":42}'

"$router" status --admin http://127.0.0.1:7011 --admin-key-file "$sample/operator-key"

if [ "$keep" = yes ] && [ "$failed" = 0 ]; then
  trap - EXIT
  printf '{"callers":["http://127.0.0.1:7001","http://127.0.0.1:7002","http://127.0.0.1:7003"],'
  printf '"admin":"http://127.0.0.1:7011","adminKeyFile":"%s","accountKey":"%s",' "$sample/operator-key" "$key"
  printf '"logs":"%s","stop":"kill %s"}\n' "$run" "${pids[*]}"
  exit 0
fi
if [ "$failed" = 0 ]; then echo "all responses were as expected"; else echo "some responses were unexpected" >&2; fi
exit "$failed"
