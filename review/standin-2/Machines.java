package cases;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** The platform's service for machines: their list and their upkeep. Each machine is one runner's. */
final class Machines {
  private static final long UPKEEP_MILLISECONDS = 2_000;

  /** Decides about the orders that get no answer. */
  interface Fault {
    /** Returns after how many milliseconds the order is carried out, or 0 for an answer at once. */
    long delayOf(String machine);
  }

  private static final class Machine {
    private Runner runner;
    private boolean inUpkeep;
    private long highestToken;
    private final Map<Long, Boolean> upkeeps = new LinkedHashMap<>();

    private Machine(Runner runner) {
      this.runner = runner;
    }
  }

  private final World world;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private volatile Fault fault = machine -> 0;
  private int mostDown;

  Machines(World world) {
    this.world = world;
  }

  synchronized void add(Runner runner) {
    machines.put(runner.machine, new Machine(runner));
  }

  void setFault(Fault newFault) {
    fault = newFault;
  }

  /** Returns the most machines that were in upkeep at once. */
  synchronized int mostDown() {
    return mostDown;
  }

  synchronized int maintained(long wave) {
    return (int) machines.values().stream().filter(m -> m.upkeeps.containsKey(wave)).count();
  }

  void handle(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    if (path.equals("/machines")) {
      Http.answer(exchange, 200, list());
      return;
    }
    Map<String, Object> body =
        Json.object(
            new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
    String name = Json.text(body, "machine");
    String holder = exchange.getRequestHeaders().getFirst("X-Lease-Holder");
    long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token"));
    if (!path.equals("/machine-upkeep") || !machines.containsKey(name)) {
      Http.answer(exchange, 400, "");
      return;
    }
    long wave = Json.number(body, "wave");
    world.record.add("order upkeep machine=%s wave=%d holder=%s token=%d", name, wave, holder, token);
    long delay = fault.delayOf(name);
    if (delay > 0) {
      world.record.add("no answer, to be carried out after %d ms", delay);
      Http.sleep(delay);
      String outcome = upkeep(name, wave, holder, token);
      world.record.add("late order machine=%s holder=%s outcome=%s", name, holder, outcome);
      Http.staySilent(exchange);
      return;
    }
    String refusal = upkeep(name, wave, holder, token);
    world.record.add("answer upkeep machine=%s holder=%s refusal=%s", name, holder, refusal);
    Http.answer(
        exchange,
        refusal.isEmpty() ? 200 : 409,
        refusal.isEmpty() ? "{}" : "{\"reason\":\"%s\"}".formatted(refusal));
  }

  private synchronized String list() {
    StringBuilder rows = new StringBuilder();
    for (Map.Entry<String, Machine> entry : machines.entrySet()) {
      Machine machine = entry.getValue();
      rows.append(rows.isEmpty() ? "" : ",")
          .append(machine.runner.machineEntry(machine.inUpkeep ? "upkeep" : "up"));
    }
    return "{\"machines\":[%s],\"next_token\":\"\"}".formatted(rows);
  }

  /** Carries out an order; returns the reason of a refusal, or an empty text. */
  private synchronized String upkeep(String name, long wave, String holder, long token) {
    Machine machine = machines.get(name);
    if (token < machine.highestToken) {
      return "fence";
    }
    machine.highestToken = token;
    if (machine.upkeeps.containsKey(wave)) {
      return "";
    }
    if (machine.inUpkeep) {
      return "busy";
    }
    machine.upkeeps.put(wave, true);
    machine.inUpkeep = true;
    long down = machines.values().stream().filter(m -> m.inUpkeep).count();
    mostDown = (int) Math.max(mostDown, down);
    world.record.add(
        "upkeep begins machine=%s wave=%d holder=%s down=%d ended_tasks=%s",
        name, wave, holder, down, machine.runner.tasks());
    machine.runner.terminate();
    World.inBackground(
        () -> {
          Http.sleep(UPKEEP_MILLISECONDS);
          synchronized (this) {
            machine.runner = world.replaceRunner(machine.runner);
            machine.inUpkeep = false;
            world.record.add("upkeep ended machine=%s runner=%s", name, machine.runner.id);
          }
        });
    return "";
  }
}
