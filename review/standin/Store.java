import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/** The platform's store, with one partition a topic. Appends take append_ms, one at a time. */
final class Store {
  private static final long APPEND_MILLISECONDS = 4;

  private static final class Producer {
    long epoch;
    long sequence;
    final LinkedHashMap<Long, Server.Response> answers = new LinkedHashMap<>();
  }

  private static final class Topic {
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Integer> newest = new TreeMap<>();
    final Map<String, Producer> producers = new HashMap<>();
  }

  private final Map<String, Topic> topics = new HashMap<>();
  final Server server;

  /**
   * Called with topic and keys after an append of a node is durable. If it returns true, the append
   * gets no answer.
   */
  volatile BiPredicate<String, List<String>> afterAppend = (topic, keys) -> false;

  Store() throws IOException {
    server = new Server(this::handle);
  }

  private synchronized Topic topic(String name) {
    return topics.computeIfAbsent(name, n -> new Topic());
  }

  /** Writes a record as an operator or a runner does. */
  void put(String name, String key, String value) {
    Topic topic = topic(name);
    synchronized (topic) {
      add(topic, frame(key, value.getBytes(StandardCharsets.UTF_8)));
      topic.notifyAll();
    }
  }

  /** Returns the newest value of a key, or null. */
  String get(String name, String key) {
    Topic topic = topic(name);
    synchronized (topic) {
      Integer offset = topic.newest.get(key);
      return offset == null ? null : new String(valueOf(topic.records.get(offset)), StandardCharsets.UTF_8);
    }
  }

  private static byte[] frame(String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    ByteBuffer buffer = ByteBuffer.allocate(1 + name.length + value.length);
    return buffer.put((byte) name.length).put(name).put(value).array();
  }

  private static String keyOf(byte[] record) {
    return new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
  }

  private static byte[] valueOf(byte[] record) {
    int start = 1 + (record[0] & 0xff);
    return java.util.Arrays.copyOfRange(record, start, record.length);
  }

  private static void add(Topic topic, byte[] record) {
    if (record.length == 1 + (record[0] & 0xff)) {
      topic.newest.remove(keyOf(record));
    } else {
      topic.newest.put(keyOf(record), topic.records.size());
    }
    topic.records.add(record);
  }

  private Server.Response handle(Server.Request request) throws Exception {
    String name = request.query().getOrDefault("topic", "");
    return switch (request.path()) {
      case "/log-append" -> append(name, request);
      case "/log-read" -> read(name, request);
      case "/log-newest" -> newest(name, request);
      case "/log-trim" -> Server.Response.json(200, Json.of());
      default -> Server.Response.json(404, Json.of());
    };
  }

  private Server.Response append(String name, Server.Request request) throws Exception {
    if (name.equals("keyed.op") || name.equals("keyed.servers")) {
      return Server.Response.json(403, Json.of());
    }
    List<byte[]> records = new ArrayList<>();
    List<String> keys = new ArrayList<>();
    ByteBuffer body = ByteBuffer.wrap(request.body());
    while (body.remaining() >= 4) {
      byte[] record = new byte[body.getInt()];
      body.get(record);
      records.add(record);
      keys.add(keyOf(record));
    }
    Topic topic = topic(name);
    Server.Response response;
    boolean unanswered;
    synchronized (topic) {
      Thread.sleep(APPEND_MILLISECONDS);
      response = append(topic, records, request.query());
      topic.notifyAll();
      unanswered = response.status() == 200 && afterAppend.test(name, keys);
    }
    return unanswered ? null : response;
  }

  private static Server.Response append(Topic topic, List<byte[]> records, Map<String, String> query) {
    Producer producer = null;
    long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
    long sequence = Long.parseLong(query.getOrDefault("seq_no", "0"));
    if (query.containsKey("producer_id")) {
      producer = topic.producers.computeIfAbsent(query.get("producer_id"), id -> new Producer());
      if (epoch < producer.epoch) {
        return Server.Response.json(409, Json.of("reason", "fenced"));
      }
      if (epoch == producer.epoch) {
        if (producer.answers.containsKey(sequence)) {
          return producer.answers.get(sequence);
        }
        if (sequence != producer.sequence + 1) {
          return Server.Response.json(409, Json.of("reason", "seq", "seq_no", producer.sequence + 1));
        }
      }
    }
    int end = topic.records.size();
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
      return Server.Response.json(412, Json.of("end_offset", end));
    }
    records.forEach(record -> add(topic, record));
    Server.Response response = Server.Response.json(200, Json.of("offset", end, "end_offset", topic.records.size()));
    if (producer != null) {
      if (epoch > producer.epoch) {
        producer.answers.clear();
      }
      producer.epoch = epoch;
      producer.sequence = sequence;
      producer.answers.put(sequence, response);
      if (producer.answers.size() > 5) {
        producer.answers.remove(producer.answers.keySet().iterator().next());
      }
    }
    return response;
  }

  private Server.Response read(String name, Server.Request request) throws Exception {
    int from = Integer.parseInt(request.query().getOrDefault("from", "0"));
    int limit = Integer.parseInt(request.query().getOrDefault("fetch_limit", "1024"));
    long until = System.currentTimeMillis() + Long.parseLong(request.query().getOrDefault("wait_ms", "0"));
    Topic topic = topic(name);
    synchronized (topic) {
      for (long left = 1; topic.records.size() <= from && left > 0; ) {
        left = until - System.currentTimeMillis();
        if (left > 0) {
          topic.wait(left);
        }
      }
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      DataOutputStream out = new DataOutputStream(bytes);
      out.writeLong(topic.records.size());
      out.writeLong(0);
      for (int i = from; i < Math.min(topic.records.size(), from + limit); i++) {
        out.writeInt(topic.records.get(i).length);
        out.write(topic.records.get(i));
      }
      return new Server.Response(200, "application/octet-stream", bytes.toByteArray());
    }
  }

  private Server.Response newest(String name, Server.Request request) {
    Topic topic = topic(name);
    synchronized (topic) {
      List<Object> items = new ArrayList<>();
      boolean more = false;
      for (Map.Entry<String, Integer> entry :
          topic.newest.tailMap(request.query().getOrDefault("depends_on", ""), false).entrySet()) {
        if (items.size() == 500) {
          more = true;
          break;
        }
        byte[] value = valueOf(topic.records.get(entry.getValue()));
        items.add(Json.of("key", entry.getKey(), "value", Base64.getEncoder().encodeToString(value), "offset", entry.getValue()));
      }
      return Server.Response.json(200, Json.of("items", items, "has_more", more, "end_offset", topic.records.size()));
    }
  }
}
