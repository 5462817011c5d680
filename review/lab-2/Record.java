import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/** Writes to {@code record.txt} what was sent, answered and run, each line with its time. */
final class Record {

  private static final long START = System.nanoTime();
  private static PrintStream out;

  private Record() {}

  static void open(Path folder) throws IOException {
    out = new PrintStream(folder.resolve("record.txt").toFile(), "UTF-8");
  }

  /** Returns the milliseconds since the start. */
  static long millis() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static synchronized void line(String text) {
    out.printf("%8.3f %s%n", millis() / 1000.0, text);
    out.flush();
  }
}
