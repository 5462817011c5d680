package org.carobhoist.core.limit;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Limits the memory that a process uses to buffer requests and responses, over all of them. When
 * the limit is exceeded, the largest buffer that may be discarded is: a response that never ends
 * outgrows the others, which continue.
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

  /** Returns the most bytes that all buffers together may hold. */
  public long limitBytes() {
    return limitBytes;
  }

  /** Returns the number of bytes that may be added without discarding a buffer. */
  public long freeBytes() {
    return Math.max(0, limitBytes - heldBytes);
  }

  /** Returns the number of bytes in all buffers. */
  public long heldBytes() {
    return heldBytes;
  }

  private Optional<Buffer> largest() {
    return buffers.stream()
        .filter(b -> !b.kept)
        .max(Comparator.comparingLong((Buffer b) -> b.sizeBytes));
  }

  /** Counts the buffered bytes of one request or response. */
  public final class Buffer {

    private final Runnable onDiscard;
    private long sizeBytes;
    private boolean kept;

    private Buffer(Runnable onDiscard) {
      this.onDiscard = onDiscard;
    }

    /** Counts bytes that are about to be buffered; may discard this buffer or another one. */
    public void add(long bytes) {
      buffers.add(this);
      sizeBytes += bytes;
      heldBytes += bytes;
      while (heldBytes > limitBytes) {
        Optional<Buffer> largest = largest();
        if (largest.isEmpty()) {
          return;
        }
        largest.get().close();
        largest.get().onDiscard.run();
      }
    }

    /** Returns the number of bytes that this buffer counts. */
    public long sizeBytes() {
      return sizeBytes;
    }

    /**
     * Keeps this buffer even if the limit is exceeded, from when its request may be sent to a
     * server: a request that may have run can't be refused as not run.
     */
    public void keep() {
      kept = true;
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
