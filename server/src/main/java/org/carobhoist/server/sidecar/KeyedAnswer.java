package org.carobhoist.server.sidecar;

import com.google.protobuf.ByteString;
import java.util.List;
import org.carobhoist.server.link.proto.Header;

/**
 * A whole answer of the endpoint, kept for resends.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param content the body
 */
record KeyedAnswer(int status, List<Header> headers, ByteString content) {

  private static final long OVERHEAD_BYTES = 512;

  /** Returns about how many bytes of memory it takes. */
  long bytes() {
    long sum = OVERHEAD_BYTES + content.size();
    for (Header h : headers) {
      sum += h.getSerializedSize();
    }
    return sum;
  }
}
