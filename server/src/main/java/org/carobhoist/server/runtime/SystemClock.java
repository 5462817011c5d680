package org.carobhoist.server.runtime;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import org.carobhoist.core.common.Clock;

/**
 * A clock whose elapsed time includes the time for which the machine was suspended. The JVM's
 * monotonic clock continues while the process is stopped, but not while the whole machine is
 * suspended. The kernel's uptime includes that time, so each reading of the elapsed time compares
 * the two and adds the time that the JVM's clock has missed. A suspension isn't detected if the
 * uptime can't be read, or if a virtual machine was paused without notifying its kernel.
 */
public final class SystemClock implements Clock {

  private static final String UPTIME = "/proc/uptime";
  private static final int MAX_BYTES = 64;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Smaller differences are caused by the uptime's resolution of 10 ms and by drift. */
  private static final long TOLERANCE_NANOS = 100_000_000L;

  private final byte[] buffer = new byte[MAX_BYTES];
  private RandomAccessFile uptime;
  private long baseNanos;
  private long missedNanos;

  private SystemClock() {
    try {
      uptime = new RandomAccessFile(UPTIME, "r");
      baseNanos = uptimeNanos() - System.nanoTime();
    } catch (IOException e) {
      uptime = null;
    }
  }

  /** Creates a clock. */
  public static SystemClock create() {
    return new SystemClock();
  }

  @Override
  public Instant now() {
    return Instant.now();
  }

  @Override
  public synchronized Duration elapsed() {
    if (uptime != null) {
      updateMissedTime();
    }
    return Duration.ofNanos(System.nanoTime() + missedNanos);
  }

  private void updateMissedTime() {
    try {
      long missed = uptimeNanos() - System.nanoTime() - baseNanos;
      if (missed - missedNanos > TOLERANCE_NANOS) {
        missedNanos = missed;
      }
    } catch (IOException e) {
      uptime = null;
    }
  }

  private long uptimeNanos() throws IOException {
    uptime.seek(0);
    int length = uptime.read(buffer);
    if (length <= 0) {
      throw new IOException(UPTIME + " is empty");
    }
    String text = new String(buffer, 0, length, StandardCharsets.US_ASCII);
    int end = text.indexOf(' ');
    if (end < 0) {
      throw new IOException(UPTIME + " has an unknown format");
    }
    return (long) (Double.parseDouble(text.substring(0, end)) * NANOS_PER_SECOND);
  }
}
