package org.carobhoist.core.usage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;

/** Encodes usage as lines of text. */
final class TextUsageCodec implements UsageCodec {

  @Override
  public byte[] encodeCheckpoint(UsageCheckpoint checkpoint) {
    StringBuilder out = new StringBuilder().append(checkpoint.reportedThrough());
    for (UsageSource s : checkpoint.sources()) {
      s.windows()
          .forEach(
              (window, counts) ->
                  counts.forEach(
                      (account, count) ->
                          out.append('\n')
                              .append(s.instance())
                              .append(' ')
                              .append(s.incarnation())
                              .append(' ')
                              .append(window)
                              .append(' ')
                              .append(account)
                              .append(' ')
                              .append(count)));
    }
    return bytes(out.toString());
  }

  @Override
  public UsageCheckpoint decodeCheckpoint(byte[] encoded) {
    List<String> lines = text(encoded).lines().toList();
    List<UsageSource> sources = new ArrayList<>();
    for (String line : lines.subList(1, lines.size())) {
      String[] p = line.split(" ");
      Map<Long, Map<AccountName, Long>> windows = new TreeMap<>();
      windows.put(Long.parseLong(p[2]), Map.of(new AccountName(p[3]), Long.parseLong(p[4])));
      sources.add(new UsageSource(new InstanceId(p[0]), new Incarnation(p[1]), windows));
    }
    return new UsageCheckpoint(sources, Long.parseLong(lines.get(0)));
  }

  @Override
  public byte[] encodeDecision(long window, byte[] body) {
    return body;
  }

  @Override
  public byte[] decodeDecision(byte[] encoded) {
    return encoded;
  }

  @Override
  public byte[] reportBody(long window, Map<AccountName, Long> counts) {
    return bytes(window + " " + counts);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String text(byte[] encoded) {
    return new String(encoded, StandardCharsets.UTF_8);
  }
}
