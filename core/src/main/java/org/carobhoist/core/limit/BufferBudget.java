package org.carobhoist.core.limit;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * Limits the memory that a process uses to buffer incomplete responses, over all of them. When the
 * limit is exceeded, the largest buffer is discarded: a response that never ends outgrows the
 * others, which continue.
 */
public final class BufferBudget {

  private final long limit;
  private final Set<Buffer> buffers = new HashSet<>();
  private long held;

  private BufferBudget(long limit) {
    this.limit = limit;
  }

  /**
   * Returns a budget without buffers.
   *
   * @param limit most bytes that all buffers together may hold, above 0
   */
  public static BufferBudget create(long limit) {
    return new BufferBudget(limit);
  }

  /**
   * Returns an empty buffer.
   *
   * @param cut called when this buffer is the largest and the limit is exceeded; discards the data
   */
  public Buffer open(Runnable cut) {
    return new Buffer(cut);
  }

  /** Returns the number of bytes in all buffers. */
  public long held() {
    return held;
  }

  /** Counts the buffered bytes of one response. */
  public final class Buffer {

    private final Runnable cut;
    private long size;

    private Buffer(Runnable cut) {
      this.cut = cut;
    }

    /** Counts bytes that are about to be buffered; may discard this buffer or another one. */
    public void add(long bytes) {
      buffers.add(this);
      size += bytes;
      held += bytes;
      while (held > limit) {
        Buffer largest = buffers.stream().max(Comparator.comparingLong(b -> b.size)).orElseThrow();
        largest.close();
        largest.cut.run();
      }
    }

    /** Removes the bytes of this buffer from the budget; may be called more than once. */
    public void close() {
      if (buffers.remove(this)) {
        held -= size;
        size = 0;
      }
    }
  }
}
