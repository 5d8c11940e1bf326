import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A small HTTP/1.1 server on a loopback port, one thread a connection. It can stop listening and
 * reset its connections, as a process that is gone does, and listen at the same port again later.
 */
final class Server {
  record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body, Socket socket) {}

  record Response(int status, String contentType, byte[] body) {
    static Response json(int status, Object body) {
      return new Response(status, "application/json", Json.write(body).getBytes(StandardCharsets.UTF_8));
    }
  }

  /** Returns the response, or null if none is to be sent and the connection is left as it is. */
  interface Handler {
    Response handle(Request request) throws Exception;
  }

  private final Handler handler;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket listener;
  private int port;

  Server(Handler handler) throws IOException {
    this.handler = handler;
    listen();
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  Set<Socket> connections() {
    return connections;
  }

  /** Listens, at the same port as before. */
  synchronized void listen() throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
    port = socket.getLocalPort();
    listener = socket;
    Thread.ofVirtual().start(() -> accept(socket));
  }

  /** Stops listening, so that new connections are refused. */
  synchronized void stopListening() {
    try {
      listener.close();
    } catch (IOException e) {
      // It is closed in any case.
    }
  }

  void resetAll() {
    connections.forEach(Server::reset);
  }

  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  private void accept(ServerSocket socket) {
    try {
      while (true) {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        Thread.ofVirtual().start(() -> serve(connection));
      }
    } catch (IOException e) {
      // No longer listening.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Request request = read(in, socket);
        if (request == null) {
          return;
        }
        Response response = handler.handle(request);
        if (response == null) {
          continue;
        }
        write(socket.getOutputStream(), response);
      }
    } catch (Exception e) {
      // The connection has ended.
    } finally {
      connections.remove(socket);
    }
  }

  private static void write(OutputStream out, Response response) throws IOException {
    String head =
        "HTTP/1.1 " + response.status() + " X\r\nContent-Type: " + response.contentType()
            + "\r\nContent-Length: " + response.body().length + "\r\n\r\n";
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write(head.getBytes(StandardCharsets.US_ASCII));
    all.write(response.body());
    out.write(all.toByteArray());
    out.flush();
  }

  private static Request read(InputStream in, Socket socket) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    String[] words = line.split(" ");
    Map<String, String> headers = new HashMap<>();
    for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon).strip().toLowerCase(), header.substring(colon + 1).strip());
    }
    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    int mark = words[1].indexOf('?');
    Map<String, String> query = new HashMap<>();
    if (mark >= 0) {
      for (String pair : words[1].substring(mark + 1).split("&")) {
        int equals = pair.indexOf('=');
        query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return new Request(words[0], mark < 0 ? words[1] : words[1].substring(0, mark), query, headers, body, socket);
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int c = in.read();
    if (c < 0) {
      return null;
    }
    while (c >= 0 && c != '\n') {
      if (c != '\r') {
        line.append((char) c);
      }
      c = in.read();
    }
    return line.toString();
  }
}
