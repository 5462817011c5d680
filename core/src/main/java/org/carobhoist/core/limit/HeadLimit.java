package org.carobhoist.core.limit;

/**
 * Limits the lines of one request's head, and the blank bytes before it. Each line costs far more
 * memory than the few bytes that it may have, so a limit in bytes isn't sufficient.
 */
public final class HeadLimit {

  /** Memory of a parsed line besides its bytes: an entry with two strings, held twice. */
  private static final int LINE_BYTES = 400;

  private final int maxLines;
  private final int maxBlankBytes;
  private int bytes;
  private int lines;
  private int blankBytes;
  private int lineLength;
  private boolean ended;

  private HeadLimit(int maxLines, int maxBlankBytes) {
    this.maxLines = maxLines;
    this.maxBlankBytes = maxBlankBytes;
  }

  /** Returns the limit of a connection whose next byte begins a head. */
  public static HeadLimit create(int maxLines, int maxBlankBytes) {
    return new HeadLimit(maxLines, maxBlankBytes);
  }

  /**
   * Counts the next byte of the head.
   *
   * @return whether the head goes on within its limits; false at its last byte or above a limit
   */
  public boolean onByte(byte b) {
    if (bytes == 0 && b <= ' ') {
      blankBytes++;
      return !isExceeded();
    }
    bytes++;
    if (b == '\n') {
      ended = lineLength == 0;
      lineLength = 0;
      lines++;
    } else if (b != '\r') {
      lineLength++;
    }
    return !ended && !isExceeded();
  }

  /** Returns whether the head has ended. */
  public boolean isEnded() {
    return ended;
  }

  /** Returns whether the head is above a limit. */
  public boolean isExceeded() {
    return lines > maxLines || blankBytes > maxBlankBytes;
  }

  /** Returns the memory that the head takes when it has been parsed. */
  public long memoryBytes() {
    return bytes + (long) lines * LINE_BYTES;
  }

  /** Begins the next head. */
  public void reset() {
    bytes = 0;
    lines = 0;
    blankBytes = 0;
    lineLength = 0;
    ended = false;
  }
}
