package org.carobhoist.core.limit;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * Bounds what a process holds of answers that aren't whole yet, over all of them. When they come to
 * hold more than allowed, the largest is cut: an answer that never ends grows past the others,
 * which go on.
 */
public final class BufferBudget {

  private final long limit;
  private final Set<Buffer> buffers = new HashSet<>();
  private long held;

  private BufferBudget(long limit) {
    this.limit = limit;
  }

  /**
   * Returns a budget of which nothing is used.
   *
   * @param limit bytes that all buffers may hold together, above 0
   */
  public static BufferBudget create(long limit) {
    return new BufferBudget(limit);
  }

  /**
   * Returns an empty buffer.
   *
   * @param cut drops what the buffer holds and closes it, if it has grown too large
   */
  public Buffer open(Runnable cut) {
    return new Buffer(cut);
  }

  /** Returns the bytes that are held now. */
  public long held() {
    return held;
  }

  /** The bytes held of one answer. */
  public final class Buffer {

    private final Runnable cut;
    private long size;

    private Buffer(Runnable cut) {
      this.cut = cut;
    }

    /** Counts bytes that are about to be held; may cut this buffer or another one. */
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

    /** Counts nothing of this buffer any more; may be called again. */
    public void close() {
      if (buffers.remove(this)) {
        held -= size;
        size = 0;
      }
    }
  }
}
