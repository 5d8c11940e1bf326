# Runs a case of the stand-ins: run-case.sh NAME FOLDER. Called by the run.sh of each case.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
. bin/java-home.sh
[ -f target/review/Case.class ] || { echo "error: run review/build.sh first" >&2; exit 2; }
[ -x target/runtime/bin/java ] || { echo "error: run bin/build-deploy first" >&2; exit 2; }
timeout --kill-after=5 110 "$JAVA_HOME/bin/java" -Xmx512m -cp target/review Case "$1" "$2/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
