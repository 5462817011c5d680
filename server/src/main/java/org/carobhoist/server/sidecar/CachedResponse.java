package org.carobhoist.server.sidecar;

import com.google.protobuf.ByteString;
import java.util.List;
import org.carobhoist.server.link.proto.Header;

/**
 * A complete response of the endpoint, cached so that a resent request gets the same one.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param content the body
 */
record CachedResponse(int status, List<Header> headers, ByteString content) {

  private static final long OVERHEAD_BYTES = 512;

  /** Returns the approximate memory use in bytes. */
  long bytes() {
    long sum = OVERHEAD_BYTES + content.size();
    for (Header h : headers) {
      sum += h.getSerializedSize();
    }
    return sum;
  }
}
