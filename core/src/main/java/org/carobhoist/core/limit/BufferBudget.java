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

  private final long limitBytes;
  private final Set<Buffer> buffers = new HashSet<>();
  private long heldBytes;

  private BufferBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Returns a budget without buffers.
   *
   * @param limitBytes most bytes that all buffers together may hold, above 0
   */
  public static BufferBudget create(long limitBytes) {
    return new BufferBudget(limitBytes);
  }

  /**
   * Returns an empty buffer.
   *
   * @param onDiscard discards the data; called when the limit is exceeded and this buffer is the
   *     largest
   */
  public Buffer open(Runnable onDiscard) {
    return new Buffer(onDiscard);
  }

  /** Returns the number of bytes in all buffers. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Counts the buffered bytes of one response. */
  public final class Buffer {

    private final Runnable onDiscard;
    private long sizeBytes;

    private Buffer(Runnable onDiscard) {
      this.onDiscard = onDiscard;
    }

    /** Counts bytes that are about to be buffered; may discard this buffer or another one. */
    public void add(long bytes) {
      buffers.add(this);
      sizeBytes += bytes;
      heldBytes += bytes;
      while (heldBytes > limitBytes) {
        Buffer largest =
            buffers.stream().max(Comparator.comparingLong(b -> b.sizeBytes)).orElseThrow();
        largest.close();
        largest.onDiscard.run();
      }
    }

    /** Removes the bytes of this buffer from the budget; may be called more than once. */
    public void close() {
      if (buffers.remove(this)) {
        heldBytes -= sizeBytes;
        sizeBytes = 0;
      }
    }
  }
}
