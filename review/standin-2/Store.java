package cases;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: topics of one partition, whose appends take four milliseconds. */
final class Store {
  private static final long APPEND_MILLISECONDS = 4;
  private static final int RECORDS_PER_PAGE = 500;
  private static final int RETAINED_ANSWERS = 5;

  /** What happens to one append call of a node. */
  sealed interface Fate {
    record Normal() implements Fate {}

    /** The call gets no answer, and is executed after a delay if its condition still holds. */
    record LostAndLate(long milliseconds) implements Fate {}
  }

  /** Decides the fate of append calls. */
  interface Fault {
    Fate of(String topic, List<Entry> entries);
  }

  /** A record: its key and its value, which is empty if the key is dropped. */
  record Entry(String key, byte[] value, byte[] raw) {}

  private record Newest(Entry entry, long offset) {}

  private record Answer(int status, String body) {}

  private static final class Producer {
    private long epoch;
    private long lastSequence = -1;
    private final TreeMap<Long, Answer> answers = new TreeMap<>();
  }

  private static final class Topic {
    private final List<Entry> entries = new ArrayList<>();
    private final TreeMap<String, Newest> newest = new TreeMap<>();
    private final Map<String, Producer> producers = new HashMap<>();
  }

  private final Map<String, Topic> topics = new HashMap<>();
  private volatile Fault fault = (topic, entries) -> new Fate.Normal();
  private int nodeAppends;
  private int lostAppends;

  void setFault(Fault newFault) {
    fault = newFault;
  }

  /** Starts to count the append calls of nodes anew. */
  synchronized void resetCounts() {
    nodeAppends = 0;
    lostAppends = 0;
  }

  synchronized String counts() {
    return "append_calls=%d lost=%d".formatted(nodeAppends, lostAppends);
  }

  synchronized double lostShare() {
    return nodeAppends == 0 ? 0 : (double) lostAppends / nodeAppends;
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, created -> new Topic());
  }

  /** Writes on behalf of the operator or a runner. */
  synchronized void put(String topic, String key, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    ByteBuffer raw = ByteBuffer.allocate(1 + keyBytes.length + bytes.length);
    raw.put((byte) keyBytes.length).put(keyBytes).put(bytes);
    add(topic(topic), List.of(new Entry(key, bytes, raw.array())));
  }

  private void add(Topic topic, List<Entry> entries) {
    for (Entry entry : entries) {
      if (entry.value().length == 0) {
        topic.newest.remove(entry.key());
      } else {
        topic.newest.put(entry.key(), new Newest(entry, topic.entries.size()));
      }
      topic.entries.add(entry);
    }
    notifyAll();
  }

  void handle(HttpExchange exchange) throws IOException {
    switch (exchange.getRequestURI().getPath()) {
      case "/log-append" -> append(exchange);
      case "/log-read" -> read(exchange);
      case "/log-newest" -> newest(exchange);
      default -> Http.answer(exchange, 404, "");
    }
  }

  private void append(HttpExchange exchange) throws IOException {
    Map<String, String> query = Http.query(exchange);
    String topic = query.get("topic");
    List<Entry> entries = parse(exchange.getRequestBody().readAllBytes());
    Fate fate = fault.of(topic, entries);
    synchronized (this) {
      nodeAppends++;
      lostAppends += fate instanceof Fate.Normal ? 0 : 1;
    }
    if (fate instanceof Fate.LostAndLate late) {
      Http.sleep(late.milliseconds());
      execute(topic, query, entries);
      Http.staySilent(exchange);
      return;
    }
    Http.sleep(APPEND_MILLISECONDS);
    Answer answer = execute(topic, query, entries);
    Http.answer(exchange, answer.status(), answer.body());
  }

  private static List<Entry> parse(byte[] body) {
    List<Entry> entries = new ArrayList<>();
    ByteBuffer buffer = ByteBuffer.wrap(body);
    while (buffer.remaining() > 0) {
      byte[] raw = new byte[buffer.getInt()];
      buffer.get(raw);
      int keyLength = Byte.toUnsignedInt(raw[0]);
      byte[] value = new byte[raw.length - 1 - keyLength];
      System.arraycopy(raw, 1 + keyLength, value, 0, value.length);
      entries.add(new Entry(new String(raw, 1, keyLength, StandardCharsets.UTF_8), value, raw));
    }
    return entries;
  }

  private synchronized Answer execute(
      String name, Map<String, String> query, List<Entry> entries) {
    Topic topic = topic(name);
    Producer producer = null;
    long epoch = 0;
    long sequence = 0;
    if (query.containsKey("producer_id")) {
      producer = topic.producers.computeIfAbsent(query.get("producer_id"), id -> new Producer());
      epoch = Long.parseLong(query.get("epoch"));
      sequence = Long.parseLong(query.getOrDefault("seq_no", "0"));
      if (epoch < producer.epoch) {
        return new Answer(409, "{\"reason\":\"fenced\"}");
      }
      boolean isFirst = epoch > producer.epoch || producer.lastSequence < 0;
      if (!isFirst && producer.answers.containsKey(sequence)) {
        return producer.answers.get(sequence);
      }
      if (!isFirst && sequence != producer.lastSequence + 1) {
        return new Answer(
            409, "{\"reason\":\"seq\",\"seq_no\":%d}".formatted(producer.lastSequence + 1));
      }
    }
    long end = topic.entries.size();
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
      return new Answer(412, "{\"end_offset\":%d}".formatted(end));
    }
    add(topic, entries);
    Answer answer =
        new Answer(
            200, "{\"offset\":%d,\"end_offset\":%d}".formatted(end, topic.entries.size()));
    if (producer != null) {
      if (epoch > producer.epoch) {
        producer.answers.clear();
      }
      producer.epoch = epoch;
      producer.lastSequence = sequence;
      producer.answers.put(sequence, answer);
      while (producer.answers.size() > RETAINED_ANSWERS) {
        producer.answers.pollFirstEntry();
      }
    }
    return answer;
  }

  private void read(HttpExchange exchange) throws IOException {
    Map<String, String> query = Http.query(exchange);
    long from = Long.parseLong(query.get("from"));
    int limit = Integer.parseInt(query.getOrDefault("fetch_limit", "1024"));
    long waitUntil =
        System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    List<Entry> found;
    long end;
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      long left = waitUntil - System.currentTimeMillis();
      while (from >= topic.entries.size() && left > 0) {
        try {
          wait(left);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
        left = waitUntil - System.currentTimeMillis();
      }
      end = topic.entries.size();
      int begin = (int) Math.min(end, from);
      found =
          new ArrayList<>(topic.entries.subList(begin, (int) Math.min(end, begin + (long) limit)));
    }
    int bytes = 2 * Long.BYTES;
    for (Entry entry : found) {
      bytes += Integer.BYTES + entry.raw().length;
    }
    ByteBuffer body = ByteBuffer.allocate(bytes);
    body.putLong(end).putLong(0);
    for (Entry entry : found) {
      body.putInt(entry.raw().length).put(entry.raw());
    }
    Http.answer(exchange, 200, body.array());
  }

  private void newest(HttpExchange exchange) throws IOException {
    Map<String, String> query = Http.query(exchange);
    StringBuilder items = new StringBuilder();
    long end;
    boolean hasMore = false;
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      end = topic.entries.size();
      int count = 0;
      for (Newest newest :
          topic.newest.tailMap(query.getOrDefault("depends_on", ""), false).values()) {
        if (count == RECORDS_PER_PAGE) {
          hasMore = true;
          break;
        }
        count++;
        items
            .append(items.isEmpty() ? "" : ",")
            .append("{\"key\":")
            .append(Json.quote(newest.entry().key()))
            .append(",\"value\":\"")
            .append(Base64.getEncoder().encodeToString(newest.entry().value()))
            .append("\",\"offset\":")
            .append(newest.offset())
            .append('}');
      }
    }
    Http.answer(
        exchange,
        200,
        "{\"items\":[%s],\"has_more\":%s,\"end_offset\":%d}".formatted(items, hasMore, end));
  }
}
