package org.carobhoist.server.gateway.usage;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.usage.UsageCheckpoint;
import org.carobhoist.core.usage.UsageCodec;
import org.carobhoist.core.usage.UsageSource;
import org.carobhoist.platform.UsageJson;
import org.carobhoist.server.link.proto.AccountCount;
import org.carobhoist.server.link.proto.UsageDecision;
import org.carobhoist.server.link.proto.UsageWindow;

/** Encodes usage as protobuf messages. */
final class ProtobufUsageCodec implements UsageCodec {

  @Override
  public byte[] encodeCheckpoint(UsageCheckpoint checkpoint) {
    var out =
        org.carobhoist.server.link.proto.UsageCheckpoint.newBuilder()
            .setReportedThrough(checkpoint.reportedThrough());
    for (UsageSource s : checkpoint.sources()) {
      out.addSources(
          org.carobhoist.server.link.proto.UsageSource.newBuilder()
              .setInstance(s.instance().value())
              .setIncarnation(s.incarnation().value())
              .addAllWindows(windowMessages(s.windows())));
    }
    return out.build().toByteArray();
  }

  @Override
  public UsageCheckpoint decodeCheckpoint(byte[] bytes) {
    try {
      var message = org.carobhoist.server.link.proto.UsageCheckpoint.parseFrom(bytes);
      List<UsageSource> sources = new ArrayList<>();
      for (var s : message.getSourcesList()) {
        sources.add(
            new UsageSource(
                new InstanceId(s.getInstance()),
                new Incarnation(s.getIncarnation()),
                windows(s.getWindowsList())));
      }
      return new UsageCheckpoint(sources, message.getReportedThrough());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(e);
    }
  }

  @Override
  public byte[] encodeDecision(long window, byte[] body) {
    return UsageDecision.newBuilder()
        .setWindow(window)
        .setBody(ByteString.copyFrom(body))
        .build()
        .toByteArray();
  }

  @Override
  public byte[] decodeDecision(byte[] bytes) {
    try {
      return UsageDecision.parseFrom(bytes).getBody().toByteArray();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(e);
    }
  }

  @Override
  public byte[] reportBody(long window, Map<AccountName, Long> counts) {
    return UsageJson.body(window, counts);
  }

  /** Returns the messages for counts by window and account. */
  static List<UsageWindow> windowMessages(Map<Long, Map<AccountName, Long>> windows) {
    List<UsageWindow> out = new ArrayList<>();
    windows.forEach(
        (window, counts) -> {
          UsageWindow.Builder message = UsageWindow.newBuilder().setWindow(window);
          counts.forEach(
              (account, count) ->
                  message.addCounts(
                      AccountCount.newBuilder().setAccount(account.value()).setCount(count)));
          out.add(message.build());
        });
    return out;
  }

  /** Returns the counts of messages by window and account. */
  static Map<Long, Map<AccountName, Long>> windows(List<UsageWindow> messages) {
    Map<Long, Map<AccountName, Long>> out = new TreeMap<>();
    for (UsageWindow w : messages) {
      Map<AccountName, Long> counts = new TreeMap<>();
      w.getCountsList().forEach(c -> counts.put(new AccountName(c.getAccount()), c.getCount()));
      out.put(w.getWindow(), counts);
    }
    return out;
  }
}
