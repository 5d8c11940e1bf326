# Selects a JDK of version 21 or later and exports JAVA_HOME. Sourced by the build scripts.

java_major_version() {
  "$1/bin/javac" -version 2>&1 | sed -n 's/^javac \([0-9]*\).*/\1/p'
}

choose_java_home() {
  local candidate version
  for candidate in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
    [ -x "$candidate/bin/javac" ] || continue
    version=$(java_major_version "$candidate")
    if [ -n "$version" ] && [ "$version" -ge 21 ]; then
      export JAVA_HOME="$candidate"
      return 0
    fi
  done
  echo "error: no JDK of version 21 or later found; set JAVA_HOME to one" >&2
  return 2
}

choose_java_home || exit 2
