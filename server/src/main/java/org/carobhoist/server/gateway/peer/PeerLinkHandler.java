package org.carobhoist.server.gateway.peer;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.job.JobHead;
import org.carobhoist.core.placement.RunReport;
import org.carobhoist.platform.StoreCall;
import org.carobhoist.platform.StoreReply;
import org.carobhoist.server.gateway.capacity.CapacityExchange;
import org.carobhoist.server.gateway.job.ItemRunner;
import org.carobhoist.server.gateway.job.ProtobufJobRecordCodec;
import org.carobhoist.server.gateway.job.RunMapper;
import org.carobhoist.server.gateway.store.FailoverStoreTransport;
import org.carobhoist.server.gateway.usage.UsageService;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.LinkListener;
import org.carobhoist.server.link.proto.JobNotice;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.Pong;
import org.carobhoist.server.link.proto.RunnerState;
import org.carobhoist.server.link.proto.StoreRelay;
import org.carobhoist.server.link.proto.StoreRelayReply;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Dispatches the events of links. Events of links that this process opened go to the mesh. On links
 * that peers opened it answers their pings, relays their store calls, and passes the orders of the
 * coordinator to the runner.
 */
public final class PeerLinkHandler implements LinkListener {

  private final DecisionLoop loop;
  private final PeerMesh mesh;
  private final ItemRunner runner;
  private final FailoverStoreTransport storeTransport;
  private final CapacityExchange capacities;
  private final Optional<UsageService> usage;

  /** Creates a handler for the links of this process. */
  public PeerLinkHandler(
      DecisionLoop loop,
      PeerMesh mesh,
      ItemRunner runner,
      FailoverStoreTransport storeTransport,
      CapacityExchange capacities,
      Optional<UsageService> usage) {
    this.loop = loop;
    this.mesh = mesh;
    this.runner = runner;
    this.storeTransport = storeTransport;
    this.capacities = capacities;
    this.usage = usage;
  }

  @Override
  public void onUp(Link link) {
    if (link.isOutgoing()) {
      loop.execute(() -> mesh.onUp(link));
    }
  }

  @Override
  public void onDown(Link link) {
    if (link.isOutgoing()) {
      loop.execute(() -> mesh.onDown(link));
    }
  }

  @Override
  public void onFrame(Link link, LinkFrame frame) {
    loop.execute(
        () -> {
          if (link.isOutgoing()) {
            mesh.onFrame(link, frame);
          } else {
            onPeerFrame(link, frame);
          }
        });
  }

  private void onPeerFrame(Link link, LinkFrame frame) {
    switch (frame.getBodyCase()) {
      case PING -> link.send(pong());
      case STORE_RELAY -> relay(link, frame.getStoreRelay());
      case RUNNER_ATTACH -> {
        runner.onAttach(frame.getRunnerAttach().getTerm(), new RemoteCoordinator(link));
        capacities.onAttach(frame.getRunnerAttach().getTerm(), link::send);
        usage.ifPresent(u -> u.onAttach(frame.getRunnerAttach().getTerm(), link::send));
      }
      case USAGE_ACK -> usage.ifPresent(u -> u.onAck(frame.getUsageAck()));
      case CAPACITY_UPDATE -> capacities.onUpdate(frame.getCapacityUpdate());
      case RUN_START ->
          runner.onStart(frame.getRunStart().getTerm(), RunMapper.order(frame.getRunStart()));
      case RUN_CANCEL ->
          runner.onCancel(frame.getRunCancel().getTerm(), frame.getRunCancel().getRun());
      default ->
          EventLog.info(
              LogEvent.FRAME_DROPPED,
              "peer",
              link.peer().getInstance(),
              "kind",
              frame.getBodyCase());
    }
  }

  private LinkFrame pong() {
    return LinkFrame.newBuilder()
        .setPong(Pong.newBuilder().setStoreReachable(storeTransport.isDirectPathUp()))
        .build();
  }

  private void relay(Link link, StoreRelay call) {
    StoreCall toStore =
        new StoreCall(
            call.getMethod(),
            call.getTarget(),
            call.getContent().toByteArray(),
            Duration.ofMillis(call.getTimeoutMillis()));
    storeTransport
        .callForPeer(toStore)
        .whenComplete(
            Callbacks.reported((reply, failure) -> link.send(relayReply(call.getCall(), reply))));
  }

  /** Encodes the reply to a relayed call; status 0 means that the store didn't answer. */
  private static LinkFrame relayReply(long call, StoreReply reply) {
    StoreRelayReply.Builder out = StoreRelayReply.newBuilder().setCall(call);
    if (reply != null) {
      out.setStatus(reply.status()).setContent(ByteString.copyFrom(reply.content()));
    }
    return LinkFrame.newBuilder().setStoreRelayReply(out).build();
  }

  /** Sends messages to a coordinator in another process. */
  private record RemoteCoordinator(Link link) implements ItemRunner.CoordinatorLink {

    @Override
    public void sendJobNotice(JobHead head, byte[] submitted) {
      JobNotice message =
          JobNotice.newBuilder()
              .setJob(head.id().value())
              .setRecord(ProtobufJobRecordCodec.noticeMessage(head, submitted))
              .build();
      link.send(LinkFrame.newBuilder().setJobNotice(message).build());
    }

    @Override
    public void sendState(long term, List<RunReport> runs, boolean leaving) {
      RunnerState.Builder out = RunnerState.newBuilder().setTerm(term).setLeaving(leaving);
      runs.forEach(r -> out.addRuns(RunMapper.reportMessage(term, r)));
      link.send(LinkFrame.newBuilder().setRunnerState(out).build());
    }

    @Override
    public void sendReport(long term, RunReport report) {
      link.send(LinkFrame.newBuilder().setRunReport(RunMapper.reportMessage(term, report)).build());
    }
  }
}
