package org.carobhoist.server.logservice;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.profile.ConfigSyncCoordinator;
import org.carobhoist.core.profile.ConfigSyncPolicy;
import org.carobhoist.core.profile.ConfigSyncPort;
import org.carobhoist.core.profile.FoldOutcome;
import org.carobhoist.core.profile.LogItem;
import org.carobhoist.core.profile.OpaqueRecord;
import org.carobhoist.core.profile.PeerUpdate;
import org.carobhoist.core.profile.ProfileChange;
import org.carobhoist.core.profile.ProfileFold;
import org.carobhoist.core.profile.ProfileSnapshot;
import org.carobhoist.core.profile.ReplicaListener;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.runtime.SystemClock;
import org.carobhoist.server.state.StateSource;

/**
 * Keeps the configuration of a process up to date. A {@link ConfigSyncCoordinator} makes the
 * decisions; this class carries them out with the platform's log and the links to peers.
 */
public final class ConfigFollower implements StateSource {

  private final PlatformLog log;
  private final DecisionLoop loop;
  private final LogAppender appender;
  private final ConfigSyncCoordinator configSync;
  private final List<RecordListener> recordListeners = new ArrayList<>();
  private final List<LogReadListener> logListeners = new ArrayList<>();
  private final Map<InstanceId, Link> peers = new HashMap<>();
  private boolean logFailureReported;
  private volatile boolean ready;

  /** The state of the configuration, as shown in the state dump. */
  public record State(
      long revision,
      long appliedOffset,
      boolean ready,
      boolean logReachable,
      boolean logGap,
      int peers,
      Map<String, Long> profiles) {}

  private ConfigFollower(
      PlatformLog log, DecisionLoop loop, ConfigSyncPolicy policy, SplittableRandom random) {
    this.log = log;
    this.loop = loop;
    this.appender = LogAppender.create(log, loop, random.split());
    Clock clock = SystemClock.create();
    this.configSync =
        ConfigSyncCoordinator.create(
            new ConfigSyncEffects(), policy, clock, random.split(), new ReplicaEventLogger());
  }

  /** Creates a follower, which must be started. Its fold is accessed on the loop only. */
  public static ConfigFollower create(PlatformLog log, DecisionLoop loop, ConfigSyncPolicy policy) {
    return new ConfigFollower(log, loop, policy, new SplittableRandom());
  }

  /** Starts to follow the log. */
  public void start() {
    loop.execute(configSync::start);
  }

  /** Adds a listener for weight orders and home views. Must be called before {@link #start}. */
  public void addRecordListener(RecordListener listener) {
    recordListeners.add(listener);
  }

  /** Adds a listener for every read of the log. Must be called before {@link #start}. */
  public void addLogReadListener(LogReadListener listener) {
    logListeners.add(listener);
  }

  /** Returns the appender of the process for the log. Must be used on the loop only. */
  public LogAppender appender() {
    return appender;
  }

  /** Returns the configuration. Must be used on the loop only. */
  public ProfileFold fold() {
    return configSync.replica().fold();
  }

  /** Returns whether the process has a configuration to serve with. Any thread may call this. */
  public boolean isReady() {
    return ready;
  }

  /** Called on the loop when a link was established. */
  public void onLinkUp(Link link) {
    peers.put(peerId(link), link);
    configSync.onPeerUp(peerId(link));
  }

  /** Called on the loop when a link was closed. */
  public void onLinkDown(Link link) {
    if (peers.remove(peerId(link), link)) {
      configSync.onPeerDown(peerId(link));
    }
  }

  /**
   * Called on the loop when a frame was received.
   *
   * @return whether the frame concerned the configuration and was handled
   */
  public boolean onFrame(Link link, LinkFrame frame) {
    switch (frame.getBodyCase()) {
      case PEER_DIGEST -> configSync.onDigest(peerId(link), frame.getPeerDigest().getNextOffset());
      case PEER_RECORDS ->
          PeerMapper.fromMessage(frame.getPeerRecords())
              .ifPresentOrElse(
                  update -> configSync.onUpdate(peerId(link), update),
                  () -> EventLog.warn(LogEvent.FRAME_DROPPED, "peer", peerId(link)));
      default -> {
        return false;
      }
    }
    return true;
  }

  @Override
  public String name() {
    return "configuration";
  }

  @Override
  public Object state() {
    Map<String, Long> profiles = new HashMap<>();
    fold().entries().forEach((name, e) -> profiles.put(name.value(), e.revision().offset()));
    return new State(
        fold().revision().offset(),
        fold().appliedOffset(),
        ready,
        configSync.isLogReachable(),
        configSync.replica().hasGap(),
        peers.size(),
        profiles);
  }

  private static InstanceId peerId(Link link) {
    return new InstanceId(link.peer().getInstance());
  }

  private final class ConfigSyncEffects implements ConfigSyncPort {

    @Override
    public void readLog(long from, Duration wait) {
      logListeners.forEach(LogReadListener::onReadSent);
      log.read(from, wait)
          .whenCompleteAsync(
              Callbacks.reported((batch, failure) -> onRead(from, batch, failure)), loop);
    }

    @Override
    public void sendDigest(InstanceId peer, long nextOffset) {
      send(peer, PeerMapper.digest(nextOffset, fold().revision().offset()));
    }

    @Override
    public void sendUpdate(InstanceId peer, PeerUpdate update) {
      send(peer, PeerMapper.update(update));
    }

    @Override
    public void appendSnapshot(ProfileSnapshot snapshot) {
      EventLog.info(LogEvent.SNAPSHOT_APPENDED, "through", snapshot.through());
      appender.append(LogRecords.encode(snapshot));
    }

    @Override
    public void after(Duration delay, Runnable task) {
      loop.after(delay, task);
    }

    @Override
    public void onServing(Source source) {
      ready = true;
      EventLog.info(LogEvent.CONFIG_READY, "source", source, "revision", fold().revision());
    }

    @Override
    public void onDivergence(InstanceId peer) {
      EventLog.warn(LogEvent.PEER_DISAGREES, "peer", peer, "applied", fold().appliedOffset());
    }

    private void onRead(long from, LogBatch batch, Throwable failure) {
      if (failure != null) {
        warnOnce(failure);
        configSync.onLogFailed();
        return;
      }
      if (logFailureReported) {
        EventLog.info(LogEvent.LOG_REACHABLE, "next", batch.next());
      }
      logFailureReported = false;
      logListeners.forEach(l -> l.onBatch(from, batch));
      configSync.onLogRead(batch.toRead(from));
    }

    private void warnOnce(Throwable failure) {
      if (!logFailureReported) {
        EventLog.warn(LogEvent.LOG_UNREACHABLE, "cause", failure.getMessage());
      }
      logFailureReported = true;
    }

    private void send(InstanceId peer, LinkFrame frame) {
      Link link = peers.get(peer);
      if (link != null) {
        link.send(frame);
      }
    }
  }

  private final class ReplicaEventLogger implements ReplicaListener {

    @Override
    public void onChange(long offset, ProfileChange change, FoldOutcome outcome) {
      LogEvent event =
          outcome.status() == FoldOutcome.Status.ACCEPTED
              ? LogEvent.PROFILE_IN_FORCE
              : LogEvent.PROFILE_VOID;
      EventLog.info(
          event,
          "offset",
          offset,
          "profile",
          change.profile(),
          "revision",
          outcome.current(),
          "change",
          change.changeId(),
          "detail",
          outcome.detail());
    }

    @Override
    public void onOpaqueRecord(LogItem item, OpaqueRecord record) {
      LogRecords.message(record)
          .ifPresent(
              m -> recordListeners.forEach(l -> l.onRecord(item.offset(), item.timeMillis(), m)));
    }

    @Override
    public void onSkipped(long offset, String reason) {
      EventLog.info(LogEvent.RECORD_SKIPPED, "offset", offset, "reason", reason);
    }

    @Override
    public void onInstalled(ProfileSnapshot snapshot) {
      EventLog.info(LogEvent.SNAPSHOT_INSTALLED, "through", snapshot.through());
    }
  }
}
