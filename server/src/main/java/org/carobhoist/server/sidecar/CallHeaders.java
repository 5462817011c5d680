package org.carobhoist.server.sidecar;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import org.carobhoist.server.link.proto.CallStart;

/** Builds the headers of the request to the endpoint. */
final class CallHeaders {

  private CallHeaders() {}

  static RequestHeaders of(CallStart start) {
    RequestHeadersBuilder b =
        RequestHeaders.builder(HttpMethod.valueOf(start.getMethod()), start.getPath());
    start.getHeadersList().forEach(h -> b.add(h.getName(), h.getValue()));
    return b.build();
  }
}
