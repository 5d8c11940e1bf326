package cases;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The gangs that run: they work once all members are present, and end together. */
final class Gangs {
  private static final class Gang {
    private final Map<String, Runner> members = new HashMap<>();
    private int size;
  }

  private final Map<String, Gang> gangs = new HashMap<>();
  private final Set<String> ended = new HashSet<>();

  /** Returns the key of a gang: its step and attempt. */
  private static String keyOf(String task, int attempt) {
    return task.substring(0, task.lastIndexOf('.')) + "#" + attempt;
  }

  synchronized void onStarted(Runner runner, String task, int attempt, int size) {
    String key = keyOf(task, attempt);
    if (ended.contains(key)) {
      World.inBackground(() -> runner.endMember(task, attempt, "broken"));
      return;
    }
    Gang gang = gangs.computeIfAbsent(key, created -> new Gang());
    gang.size = size;
    gang.members.put(task, runner);
  }

  synchronized boolean isComplete(String task, int attempt) {
    Gang gang = gangs.get(keyOf(task, attempt));
    return gang != null && gang.members.size() == gang.size;
  }

  synchronized void onEnded(String task, int attempt, String how) {
    String key = keyOf(task, attempt);
    ended.add(key);
    Gang gang = gangs.remove(key);
    if (gang == null) {
      return;
    }
    String otherEnd = how.equals("done") ? "done" : "broken";
    gang.members.forEach(
        (member, runner) ->
            World.inBackground(() -> runner.endMember(member, attempt, otherEnd)));
  }
}
