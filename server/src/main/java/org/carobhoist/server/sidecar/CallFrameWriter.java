package org.carobhoist.server.sidecar;

import com.google.protobuf.ByteString;
import com.linecorp.armeria.common.ResponseHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.server.link.CallMapper;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.proto.CallData;
import org.carobhoist.server.link.proto.CallEnd;
import org.carobhoist.server.link.proto.CallHead;
import org.carobhoist.server.link.proto.Header;
import org.carobhoist.server.link.proto.LinkFrame;

/** Sends one call's response to the entry as frames and numbers the data frames. */
final class CallFrameWriter {

  private final Link link;
  private final long callId;
  private int dataFrames;

  CallFrameWriter(Link link, long callId) {
    this.link = link;
    this.callId = callId;
  }

  static List<Header> toMessages(ResponseHeaders headers) {
    List<Header> out = new ArrayList<>();
    headers.forEach(
        (name, value) -> {
          if (name.charAt(0) != ':') {
            out.add(Header.newBuilder().setName(name.toString()).setValue(value).build());
          }
        });
    return out;
  }

  void sendHead(int status, List<Header> headers) {
    CallHead head =
        CallHead.newBuilder().setCall(callId).setStatus(status).addAllHeaders(headers).build();
    link.send(LinkFrame.newBuilder().setCallHead(head).build());
  }

  /** Sends a chunk; the future completes when it has been written or can't be written. */
  CompletableFuture<Void> sendData(ByteString content) {
    CallData data =
        CallData.newBuilder().setCall(callId).setSequence(dataFrames++).setContent(content).build();
    return link.send(LinkFrame.newBuilder().setCallData(data).build());
  }

  /**
   * Ends the response. The frame carries the endpoint's load, so that entries see a change before
   * the next announcement.
   */
  void sendEnd(int inFlight) {
    CallEnd end =
        CallEnd.newBuilder().setCall(callId).setFrames(dataFrames).setInFlight(inFlight).build();
    link.send(LinkFrame.newBuilder().setCallEnd(end).build());
  }

  void sendFailure(Refusal refusal) {
    link.send(LinkFrame.newBuilder().setCallFailed(CallMapper.toMessage(callId, refusal)).build());
  }
}
