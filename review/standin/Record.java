import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with seconds since its start. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startedAt = System.currentTimeMillis();

  Record(Path file) throws IOException {
    out = new PrintWriter(file.toFile(), "UTF-8");
  }

  synchronized void line(String text) {
    out.printf("%8.3f %s%n", (System.currentTimeMillis() - startedAt) / 1000.0, text);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
