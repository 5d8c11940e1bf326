import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers and booleans. */
final class Json {
  private final String text;
  private int position;

  private Json(String text) {
    this.text = text;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> parseObject(byte[] bytes) {
    return (Map<String, Object>) new Json(new String(bytes, StandardCharsets.UTF_8)).value();
  }

  private char next() {
    while (Character.isWhitespace(text.charAt(position))) {
      position++;
    }
    return text.charAt(position);
  }

  private Object value() {
    switch (next()) {
      case '{' -> {
        Map<String, Object> map = new LinkedHashMap<>();
        position++;
        while (next() != '}') {
          String key = string();
          next();
          position++; // the colon
          map.put(key, value());
          if (next() == ',') {
            position++;
          }
        }
        position++;
        return map;
      }
      case '[' -> {
        List<Object> list = new ArrayList<>();
        position++;
        while (next() != ']') {
          list.add(value());
          if (next() == ',') {
            position++;
          }
        }
        position++;
        return list;
      }
      case '"' -> {
        return string();
      }
      default -> {
        int start = position;
        while (position < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(position)) >= 0) {
          position++;
        }
        String word = text.substring(start, position);
        return switch (word) {
          case "true" -> true;
          case "false" -> false;
          case "null" -> null;
          default -> Double.valueOf(word);
        };
      }
    }
  }

  private String string() {
    next();
    position++;
    StringBuilder out = new StringBuilder();
    while (text.charAt(position) != '"') {
      char c = text.charAt(position++);
      if (c == '\\') {
        c = text.charAt(position++);
        switch (c) {
          case 'n' -> out.append('\n');
          case 't' -> out.append('\t');
          case 'r' -> out.append('\r');
          case 'u' -> {
            out.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
            position += 4;
          }
          default -> out.append(c);
        }
      } else {
        out.append(c);
      }
    }
    position++;
    return out.toString();
  }

  static String write(Object value) {
    if (value instanceof Map<?, ?> map) {
      StringBuilder out = new StringBuilder("{");
      map.forEach((k, v) -> out.append(out.length() > 1 ? "," : "").append(write(k)).append(':').append(write(v)));
      return out.append('}').toString();
    }
    if (value instanceof List<?> list) {
      StringBuilder out = new StringBuilder("[");
      list.forEach(v -> out.append(out.length() > 1 ? "," : "").append(write(v)));
      return out.append(']').toString();
    }
    if (value instanceof String s) {
      return quote(s);
    }
    return String.valueOf(value);
  }

  private static String quote(String s) {
    StringBuilder out = new StringBuilder("\"");
    for (char c : s.toCharArray()) {
      if (c < ' ') {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c == '"' || c == '\\' ? "\\" : "").append(c);
      }
    }
    return out.append('"').toString();
  }

  /** Builds an object from keys and values in turn. */
  static Map<String, Object> of(Object... keysAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < keysAndValues.length; i += 2) {
      map.put((String) keysAndValues[i], keysAndValues[i + 1]);
    }
    return map;
  }

  static long number(Map<String, Object> object, String key) {
    return object.get(key) instanceof Number n ? n.longValue() : 0;
  }

  static String text(Map<String, Object> object, String key) {
    return object.get(key) instanceof String s ? s : "";
  }
}
