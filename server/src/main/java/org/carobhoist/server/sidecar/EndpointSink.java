package org.carobhoist.server.sidecar;

import com.linecorp.armeria.common.ResponseHeaders;
import org.carobhoist.core.common.Refusal;

/** Takes an endpoint's answer as it arrives; exactly one of end and failure comes last. */
interface EndpointSink {

  /** The head of the answer. */
  void onHead(ResponseHeaders headers);

  /** A part of the body. */
  void onData(byte[] content);

  /** The endpoint has ended the answer in an orderly way. */
  void onEnd();

  /** There is no whole answer; the refusal says whether the request may have run. */
  void onFailed(Refusal refusal);
}
