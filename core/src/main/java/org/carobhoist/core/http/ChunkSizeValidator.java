package org.carobhoist.core.http;

/** Checks the line with the size of a chunk in hexadecimal digits and, after a semicolon, more. */
final class ChunkSizeValidator {

  private static final int HEX = 16;

  private boolean digitSeen;
  private boolean blankSeen;
  private boolean inExtension;
  private long size;

  /** Checks the next byte of the line. */
  void onByte(byte b) throws MalformedResponseException {
    if (inExtension) {
      ByteClasses.check(ByteClasses.isText(b), "a control byte in the extension of a chunk", b);
      return;
    }
    int digit = Character.digit(b, HEX);
    if (digit >= 0 && !blankSeen) {
      digitSeen = true;
      size = HEX * size + digit;
      ByteClasses.check(size <= Integer.MAX_VALUE, "a chunk above 2 GiB", b);
    } else if (b == ';') {
      inExtension = true;
    } else {
      ByteClasses.check(ByteClasses.isBlank(b), "the size of a chunk is not hexadecimal", b);
      blankSeen = true;
    }
  }

  /** Checks the whole line at its end, and returns the size in bytes, up to 2 GiB. */
  int onEnd() throws MalformedResponseException {
    if (!digitSeen || blankSeen && !inExtension) {
      throw new MalformedResponseException("the line of a chunk's size is incomplete");
    }
    digitSeen = false;
    blankSeen = false;
    inExtension = false;
    final int result = (int) size;
    size = 0;
    return result;
  }
}
