package cases;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** Servers on loopback, and helpers for their handlers. */
final class Http {
  private static final long SILENCE_MILLISECONDS = 30_000;

  private Http() {}

  /** Starts a server on a free port of the loopback address. */
  static HttpServer serve(HttpHandler handler) throws IOException {
    return serve(handler, 0);
  }

  /** Starts a server on a port of the loopback address; 0 takes a free one. */
  static HttpServer serve(HttpHandler handler, int port) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
    server.setExecutor(Executors.newThreadPerTaskExecutor(Thread.ofVirtual().factory()));
    server.createContext(
        "/",
        exchange -> {
          try {
            handler.handle(exchange);
          } catch (RuntimeException e) {
            e.printStackTrace();
            exchange.close();
          }
        });
    server.start();
    return server;
  }

  static String addressOf(HttpServer server) {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    String query = exchange.getRequestURI().getQuery();
    if (query != null) {
      for (String part : query.split("&")) {
        int equals = part.indexOf('=');
        values.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return values;
  }

  static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }

  static void answer(HttpExchange exchange, int status, String body) throws IOException {
    answer(exchange, status, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Never answers; the connection returns nothing further. */
  static void staySilent(HttpExchange exchange) {
    sleep(SILENCE_MILLISECONDS);
    exchange.close();
  }

  static void sleep(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
