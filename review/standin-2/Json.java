package cases;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader of JSON, and the quoting of texts. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) new Json(text).value();
  }

  static long number(Map<String, Object> object, String name) {
    return object.get(name) instanceof Double value ? value.longValue() : 0;
  }

  static String text(Map<String, Object> object, String name) {
    return object.get(name) instanceof String value ? value : "";
  }

  static String quote(String value) {
    return "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
  }

  private char next() {
    while (Character.isWhitespace(text.charAt(at))) {
      at++;
    }
    return text.charAt(at);
  }

  private Object value() {
    char first = next();
    if (first == '{') {
      Map<String, Object> members = new LinkedHashMap<>();
      at++;
      while (next() != '}') {
        String name = string();
        next();
        at++;
        members.put(name, value());
        if (next() == ',') {
          at++;
          next();
        }
      }
      at++;
      return members;
    }
    if (first == '[') {
      List<Object> elements = new ArrayList<>();
      at++;
      while (next() != ']') {
        elements.add(value());
        if (next() == ',') {
          at++;
        }
      }
      at++;
      return elements;
    }
    if (first == '"') {
      return string();
    }
    int begin = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(begin, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> Double.valueOf(word);
    };
  }

  private String string() {
    next();
    StringBuilder result = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char character = text.charAt(at++);
      if (character != '\\') {
        result.append(character);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> result.append('\n');
        case 't' -> result.append('\t');
        case 'r' -> result.append('\r');
        case 'u' -> {
          result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> result.append(escaped);
      }
    }
    at++;
    return result.toString();
  }
}
