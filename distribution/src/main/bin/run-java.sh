# Runs a main class of the distribution in place of the calling script. Sourced by the programs.

home="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
. "$home/bin/java-home.sh"

# run_java MAIN_CLASS HEAP ARGUMENTS...
# FLAMINGOCHUTE_JAVA_OPTIONS adds options of the virtual machine, for example a larger heap.
run_java() {
  local main_class="$1" heap="$2"
  shift 2
  # shellcheck disable=SC2086
  exec "$JAVA_HOME/bin/java" "-Xmx$heap" \
    -Dslf4j.internal.verbosity=ERROR \
    '-Djava.util.logging.SimpleFormatter.format=%1$tFT%1$tT.%1$tL%1$tz level=%4$s %5$s%6$s%n' \
    ${FLAMINGOCHUTE_JAVA_OPTIONS:-} -cp "$home/lib/*" "$main_class" "$@"
}
