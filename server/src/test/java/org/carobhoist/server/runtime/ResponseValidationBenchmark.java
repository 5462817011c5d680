package org.carobhoist.server.runtime;

import com.sun.management.ThreadMXBean;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.ReferenceCountUtil;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Measures the time and the allocated bytes of reading a response through the HTTP codec, with and
 * without its validation. This benchmark only prints its results; its class name excludes it from
 * the default test run.
 */
final class ResponseValidationBenchmark {

  private static final int ROUNDS = 9;
  private static final int RESPONSES_PER_ROUND = 100_000;
  private static final int EVENTS = 50;

  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\ncarobhoist-request-id: 0b74a7e2e7b1c42a\r\n"
          + "carobhoist-server-stamp: 5f1d0a77c2b84e21\r\ncarobhoist-server-load: 3/8/0.4\r\n"
          + "content-type: application/json\r\ndate: Mon, 07 Dec 2026 03:45:56 GMT\r\n";

  private static EmbeddedChannel connection(boolean validated) {
    EmbeddedChannel channel = new EmbeddedChannel(new HttpClientCodec());
    if (validated) {
      ResponseValidationHandler.addTo(channel.pipeline());
      channel.pipeline().fireUserEventTriggered("protocol known");
    }
    return channel;
  }

  private static void measure(String name, String response) {
    ByteBuf bytes =
        Unpooled.directBuffer().writeBytes(response.getBytes(StandardCharsets.ISO_8859_1));
    EmbeddedChannel[] channels = {connection(false), connection(true)};
    double[][] nanos = new double[channels.length][ROUNDS];
    long[] allocated = new long[channels.length];
    for (int round = 0; round < ROUNDS; round++) {
      for (int i = 0; i < channels.length; i++) {
        final long allocatedBefore = THREADS.getCurrentThreadAllocatedBytes();
        final long begin = System.nanoTime();
        for (int j = 0; j < RESPONSES_PER_ROUND; j++) {
          channels[i].writeInbound(bytes.retainedDuplicate());
          for (Object read = channels[i].readInbound(); read != null; ) {
            ReferenceCountUtil.release(read);
            read = channels[i].readInbound();
          }
        }
        nanos[i][round] = (System.nanoTime() - begin) / (double) RESPONSES_PER_ROUND;
        long more = THREADS.getCurrentThreadAllocatedBytes() - allocatedBefore;
        allocated[i] = more / RESPONSES_PER_ROUND;
      }
    }
    for (double[] times : nanos) {
      Arrays.sort(times);
    }
    System.out.printf(
        "%s, %d bytes: codec %.0f ns, %d bytes allocated; validated %.0f ns, %d bytes%n",
        name,
        response.length(),
        nanos[0][ROUNDS / 2],
        allocated[0],
        nanos[1][ROUNDS / 2],
        allocated[1]);
  }

  @Test
  void measure() {
    measure("length", HEAD + "content-length: 1024\r\n\r\n" + "x".repeat(1_024));
    measure("large", HEAD + "content-length: 65536\r\n\r\n" + "x".repeat(65_536));
    String event = "24\r\n" + "id: 1\ndata: some-tokens-of-the-text\n" + "\r\n";
    measure(
        "chunks", HEAD + "transfer-encoding: chunked\r\n\r\n" + event.repeat(EVENTS) + "0\r\n\r\n");
  }
}
