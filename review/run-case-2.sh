#!/usr/bin/env bash
# Runs a case. Usage: run-case-2.sh CASE FOLDER. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
folder="$(cd "$2" && pwd)" || exit 2
cd "$(dirname "$0")/.." || exit 2
. bin/java-home.sh
[ -d target/review-2 ] && [ -x target/runtime/bin/java ] && [ -f target/classes.jsa ] || {
  echo "error: run bin/build-deploy and review/build-2.sh first" >&2
  exit 2
}
"$JAVA_HOME/bin/java" -Xmx256m -cp target/review-2 cases.Cases "$1" "$folder" "$PWD" "${TROUBLE:-1}"
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
