package org.carobhoist.server.runtime;

import io.netty.util.internal.PlatformDependent;

/** The memory of a process that may be used for requests and responses in transit. */
public final class RequestMemory {

  private static final int EIGHTHS = 8;

  /** The rest of the heap is for the state of the process and for garbage. */
  private static final int HEAP_EIGHTHS = 3;

  private static final int DIRECT_EIGHTHS = 7;

  private RequestMemory() {}

  /** Returns the budget in bytes, computed from the maximum heap and direct memory. */
  public static long budgetBytes() {
    return Math.min(
        Runtime.getRuntime().maxMemory() / EIGHTHS * HEAP_EIGHTHS,
        PlatformDependent.maxDirectMemory() / EIGHTHS * DIRECT_EIGHTHS);
  }
}
