package org.carobhoist.core.http;

import java.nio.ByteBuffer;

/**
 * Checks the responses on one connection against RFC 9110 and RFC 9112, on the bytes as the server
 * sent them: status lines and fields of informational and final responses, the lines around chunks,
 * and trailers. Content isn't examined; it is skipped at once, and its end is found as a recipient
 * has to find it, so that the next line is known. Lines may end with CRLF or LF.
 *
 * <p>No line is kept, so the length of a line needs no limit here.
 */
public final class ResponseValidator {

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int MIN_FINAL_STATUS = 200;

  /** Content that ends with the connection. */
  private static final long UNTIL_CLOSE = Long.MAX_VALUE;

  /** Number of bytes that are taken from the buffer at a time. */
  private static final int PIECE_BYTES = 64;

  private enum Part {
    STATUS_LINE,
    FIELDS,
    CONTENT,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS
  }

  private final StatusLineValidator statusLine = new StatusLineValidator();
  private final FieldSectionValidator fields = new FieldSectionValidator();
  private final ChunkSizeValidator chunkSize = new ChunkSizeValidator();
  private final byte[] piece = new byte[PIECE_BYTES];
  private Part part = Part.STATUS_LINE;
  private long contentLeft;
  private boolean afterCarriageReturn;
  private boolean responseEnded;
  private boolean headRequested;

  private ResponseValidator() {}

  /** Returns a validator for a new connection. */
  public static ResponseValidator create() {
    return new ResponseValidator();
  }

  /**
   * Tells which request the next response is to.
   *
   * @param isHead whether its method is HEAD, to which the response has no content
   */
  public void onRequest(boolean isHead) {
    headRequested = isHead;
  }

  /**
   * Checks bytes up to the end of a final response, or all of them if none ends there. The position
   * of the buffer moves behind what was checked.
   *
   * @return whether a final response ends at the position
   * @throws MalformedResponseException if the bytes don't conform; no more may be checked then
   */
  public boolean check(ByteBuffer bytes) throws MalformedResponseException {
    responseEnded = false;
    while (bytes.hasRemaining() && !responseEnded) {
      if (contentLeft > 0) {
        skipContent(bytes);
      } else {
        checkLines(bytes);
      }
    }
    return responseEnded;
  }

  /** Checks bytes of lines, up to the content if it begins there. */
  private void checkLines(ByteBuffer bytes) throws MalformedResponseException {
    int length = Math.min(bytes.remaining(), piece.length);
    bytes.get(bytes.position(), piece, 0, length);
    int at = 0;
    while (at < length && contentLeft == 0 && !responseEnded) {
      if (part == Part.FIELDS && !afterCarriageReturn) {
        at = fields.skipText(piece, at, length);
      }
      if (at < length) {
        onByte(piece[at]);
        at++;
      }
    }
    bytes.position(bytes.position() + at);
  }

  private void skipContent(ByteBuffer bytes) {
    int skipped = (int) Math.min(contentLeft, bytes.remaining());
    bytes.position(bytes.position() + skipped);
    if (contentLeft == UNTIL_CLOSE) {
      return;
    }
    contentLeft -= skipped;
    if (contentLeft > 0) {
      return;
    }
    if (part == Part.CHUNK) {
      part = Part.CHUNK_END;
    } else {
      endResponse();
    }
  }

  private void onByte(byte b) throws MalformedResponseException {
    if (afterCarriageReturn && b != '\n') {
      throw new MalformedResponseException("a carriage return without a line feed");
    }
    afterCarriageReturn = b == '\r';
    if (b == '\n') {
      onLineEnd();
    } else if (!afterCarriageReturn) {
      onLineByte(b);
    }
  }

  private void onLineByte(byte b) throws MalformedResponseException {
    switch (part) {
      case STATUS_LINE -> statusLine.onByte(b);
      case FIELDS, TRAILERS -> fields.onByte(b);
      case CHUNK_SIZE -> chunkSize.onByte(b);
      default -> throw new MalformedResponseException("a chunk is longer than its size says");
    }
  }

  private void onLineEnd() throws MalformedResponseException {
    switch (part) {
      case STATUS_LINE -> {
        statusLine.onEnd();
        part = Part.FIELDS;
      }
      case FIELDS -> {
        if (fields.onLineEnd()) {
          beginContent();
        }
      }
      case CHUNK_SIZE -> beginChunk(chunkSize.onEnd());
      case CHUNK_END -> part = Part.CHUNK_SIZE;
      default -> onTrailerEnd();
    }
  }

  private void onTrailerEnd() throws MalformedResponseException {
    boolean ended = fields.onLineEnd();
    if (fields.hasFraming()) {
      throw new MalformedResponseException("a content length or transfer coding in the trailers");
    }
    if (ended) {
      endResponse();
    }
  }

  /** Finds where the content ends, by the rules of RFC 9112, section 6.3. */
  private void beginContent() throws MalformedResponseException {
    int status = statusLine.status();
    boolean informational = status < MIN_FINAL_STATUS;
    if (fields.isChunked() && statusLine.isHttp10()) {
      throw new MalformedResponseException("a transfer coding in a response of HTTP/1.0");
    }
    if (informational || status == NO_CONTENT) {
      checkNoContent(status);
    }
    if (informational) {
      beginStatusLine();
    } else if (status == NO_CONTENT || status == NOT_MODIFIED || headRequested) {
      endResponse();
    } else if (fields.isChunked()) {
      part = Part.CHUNK_SIZE;
    } else {
      part = Part.CONTENT;
      contentLeft = fields.contentLength().orElse(UNTIL_CLOSE);
      if (contentLeft == 0) {
        endResponse();
      }
    }
    fields.reset();
  }

  private void checkNoContent(int status) throws MalformedResponseException {
    if (fields.isChunked() || fields.contentLength().orElse(0) > 0) {
      throw new MalformedResponseException("content in a response with status " + status);
    }
  }

  private void beginChunk(int size) {
    contentLeft = size;
    part = size == 0 ? Part.TRAILERS : Part.CHUNK;
  }

  private void endResponse() {
    responseEnded = true;
    beginStatusLine();
  }

  private void beginStatusLine() {
    statusLine.reset();
    part = Part.STATUS_LINE;
  }
}
