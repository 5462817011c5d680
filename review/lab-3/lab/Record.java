package lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: one line for each thing sent, answered or run, with the time since start. */
final class Record {

  private final long start = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  long millis() {
    return (System.nanoTime() - start) / 1_000_000;
  }

  synchronized void add(String what, Object... fields) {
    StringBuilder line = new StringBuilder(String.format("%7.3f %s", millis() / 1000.0, what));
    for (int i = 0; i + 1 < fields.length; i += 2) {
      line.append(' ').append(fields[i]).append('=').append(fields[i + 1]);
    }
    out.println(line);
  }
}
