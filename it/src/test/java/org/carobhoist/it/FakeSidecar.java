package org.carobhoist.it;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.LinkListener;
import org.carobhoist.server.link.LinkNetwork;
import org.carobhoist.server.link.proto.Announcement;
import org.carobhoist.server.link.proto.CallData;
import org.carobhoist.server.link.proto.CallEnd;
import org.carobhoist.server.link.proto.CallHead;
import org.carobhoist.server.link.proto.CallStart;
import org.carobhoist.server.link.proto.EndpointKind;
import org.carobhoist.server.link.proto.EndpointPhase;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.Ping;
import org.carobhoist.server.link.proto.Pong;

/** Simulated sidecar on links to a real entry; a handler answers each call with any frames. */
final class FakeSidecar implements LinkListener {

  private final String service;
  private final LinkNetwork network;
  private final Map<Link, Boolean> links = new ConcurrentHashMap<>();
  private final BiConsumer<Link, CallStart> callHandler;

  FakeSidecar(String name, String service, int port, BiConsumer<Link, CallStart> callHandler) {
    this.service = service;
    this.callHandler = callHandler;
    Hello hello =
        Hello.newBuilder()
            .setInstance(name)
            .setZone("centro-a")
            .setRole("sidecar")
            .setIncarnation(name + "-run")
            .build();
    this.network = LinkNetwork.create(SocketAddressText.parse("127.0.0.1:" + port), hello, this);
  }

  void start() {
    network.start().join();
  }

  void stop() {
    network.stop().join();
  }

  /** Sends a frame over every link. */
  void broadcast(LinkFrame frame) {
    links.keySet().forEach(link -> link.send(frame));
  }

  static LinkFrame head(long call) {
    return LinkFrame.newBuilder()
        .setCallHead(CallHead.newBuilder().setCall(call).setStatus(200))
        .build();
  }

  static LinkFrame data(long call, int sequence, String text) {
    CallData data =
        CallData.newBuilder()
            .setCall(call)
            .setSequence(sequence)
            .setContent(ByteString.copyFromUtf8(text))
            .build();
    return LinkFrame.newBuilder().setCallData(data).build();
  }

  static LinkFrame end(long call, int frames) {
    return LinkFrame.newBuilder()
        .setCallEnd(CallEnd.newBuilder().setCall(call).setFrames(frames))
        .build();
  }

  @Override
  public void onUp(Link link) {
    links.put(link, true);
    Announcement announcement =
        Announcement.newBuilder()
            .setService(service)
            .setKind(EndpointKind.ENDPOINT_KIND_PLAIN)
            .setPhase(EndpointPhase.ENDPOINT_PHASE_SERVING)
            .setLimit(8)
            .setSequence(1)
            .build();
    link.send(LinkFrame.newBuilder().setAnnouncement(announcement).build());
  }

  @Override
  public void onFrame(Link link, LinkFrame frame) {
    if (frame.hasPing()) {
      Ping ping = frame.getPing();
      Pong pong = Pong.newBuilder().setNonce(ping.getNonce()).build();
      link.send(LinkFrame.newBuilder().setPong(pong).build());
    } else if (frame.hasCallStart()) {
      callHandler.accept(link, frame.getCallStart());
    }
  }

  @Override
  public void onDown(Link link) {
    links.remove(link);
  }
}
