#!/usr/bin/env bash
# Makes keys for a cluster that is tried out: an authority for its daemons
# (ca.pem) and one for clients (clients-ca.pem), certificates, the shared
# cluster key and an operator's token. Not for production: the authorities'
# own keys are left in the folder.
#
#   scripts/make_keys.sh FOLDER CLUSTER [control:NAME[@IP] | entry:NAME[@IP] |
#                                        client:NAME]...
#
# NAME is a daemon's name; a client is an operator, organisation or vendor. IP
# is by which callers and operators reach the daemon (default 127.0.0.1). A
# second run keeps the authority and the keys that are there.
set -euo pipefail

readonly days=30

if [ $# -lt 2 ]; then
  sed -n '2,12s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
readonly folder=$1 cluster=$2
shift 2
umask 077
mkdir -p "$folder"

# make_authority FILE
make_authority() {
  [ -e "$folder/$1.pem" ] && return
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes \
    -days $days -subj "/CN=$cluster $1" \
    -addext basicConstraints=critical,CA:TRUE \
    -addext keyUsage=critical,keyCertSign,cRLSign \
    -keyout "$folder/$1.key" -out "$folder/$1.pem" 2>/dev/null
}

# sign AUTHORITY FILE COMMON_NAME [SUBJECT_ALT_NAMES]
sign() {
  local authority=$1
  shift
  [ -e "$folder/$1.pem" ] && return
  local extensions="basicConstraints=CA:FALSE"
  [ -n "${3:-}" ] && extensions+=$'\n'"subjectAltName=$3"
  openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes \
    -subj "/CN=$2" -keyout "$folder/$1.key" -out "$folder/$1.csr" 2>/dev/null
  openssl x509 -req -in "$folder/$1.csr" -CA "$folder/$authority.pem" \
    -CAkey "$folder/$authority.key" -CAcreateserial -days $days \
    -extfile <(printf '%s\n' "$extensions") -out "$folder/$1.pem" 2>/dev/null
  rm "$folder/$1.csr"
}

# A control host's name carries its role; no other name may look like one.
sign_for() {
  local role=${1%%:*} name=${1#*:} ip=127.0.0.1
  case $name in *@*) ip=${name#*@} name=${name%%@*} ;; esac
  case $role:$name in
    *:*.control | *:*[!A-Za-z0-9._-]* | *:)
      echo "make_keys.sh: $1: not a name" >&2; exit 2 ;;
    control:*) sign ca "$name" "$name.control" "DNS:control.$cluster,IP:$ip" ;;
    entry:*) sign ca "$name" "$name" "IP:$ip" ;;
    client:*) sign clients-ca "$name" "$name" ;;
    *) echo "make_keys.sh: $1: expected control:, entry: or client:" >&2; exit 2 ;;
  esac
}

make_authority ca
make_authority clients-ca
for wanted in "$@"; do
  sign_for "$wanted"
done
[ -e "$folder/cluster.key" ] || openssl rand -hex 32 > "$folder/cluster.key"
if [ ! -e "$folder/operator.token" ]; then
  openssl rand -hex 24 > "$folder/operator.token"
  hash=$(tr -d '\n' < "$folder/operator.token" | openssl dgst -sha256 -r)
  echo "first-operator ${hash%% *} operator" > "$folder/operators.tokens"
fi
echo "Keys for cluster $cluster are in $folder."
