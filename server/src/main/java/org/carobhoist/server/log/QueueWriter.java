package org.carobhoist.server.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.AbstractFormatPatternWriter;

/**
 * Writes lines to standard output on a separate thread, so that logging never blocks on the reader
 * of the output. Lines that don't fit into the queue are dropped and counted. The library's own
 * writing thread isn't used because it wakes up a hundred times a second, which costs an idle
 * process more than its actual work.
 */
public final class QueueWriter extends AbstractFormatPatternWriter {

  /** Maximum number of queued lines: several seconds of output of the busiest process. */
  private static final int CAPACITY = 4_096;

  /** Time limit for writing the remaining lines when the log is closed, in milliseconds. */
  private static final long CLOSE_MILLIS = 300;

  private static final AtomicLong DROPPED = new AtomicLong();

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(CAPACITY);
  private final OutputStream out = new FileOutputStream(FileDescriptor.out);
  private final Thread thread = new Thread(this::writeLines, "log");

  /** Creates the writer from the configuration of the logging library. */
  public QueueWriter(Map<String, String> properties) {
    super(properties);
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the number of lines dropped because the queue was full or writing failed. */
  public static long dropped() {
    return DROPPED.get();
  }

  @Override
  public Collection<LogEntryValue> getRequiredLogEntryValues() {
    Collection<LogEntryValue> values = super.getRequiredLogEntryValues();
    return values.isEmpty() ? EnumSet.of(LogEntryValue.LEVEL) : values;
  }

  @Override
  public void write(LogEntry entry) {
    if (!queue.offer(render(entry))) {
      DROPPED.incrementAndGet();
    }
  }

  @Override
  public void flush() {}

  @Override
  public void close() throws Exception {
    thread.interrupt();
    thread.join(CLOSE_MILLIS);
  }

  private void writeLines() {
    List<String> lines = new ArrayList<>();
    try {
      while (true) {
        lines.add(queue.take());
        queue.drainTo(lines);
        writeAll(lines);
      }
    } catch (InterruptedException e) {
      queue.drainTo(lines);
      writeAll(lines);
    }
  }

  private void writeAll(List<String> lines) {
    try {
      out.write(String.join("", lines).getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      // The output can't be written, so the failure can't be logged; only the counter shows it.
      DROPPED.addAndGet(lines.size());
    }
    lines.clear();
  }
}
