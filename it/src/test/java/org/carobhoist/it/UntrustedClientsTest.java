package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.carobhoist.standin.PlatformDocuments;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against clients that end the process or keep it from serving others: by requests that stop
 * short, by heads that cost more memory than they have bytes, and by not reading responses. The
 * heap is the launcher's 36 MB; no time and no share of served requests is checked.
 */
final class UntrustedClientsTest {

  private static final String ENTRY = "entry-1";

  /** As many lines as fit into the head that the stand-in server accepts. */
  private static final int MANY_LINES = 1_500;

  private static final String BOOK = PlatformDocuments.BOOKINGS_HOST;
  private static final String JOBS = PlatformDocuments.JOBS_HOST;

  /** Bodies of 40 clients exceed the heap twice. */
  private static final int CLIENTS = 40;

  /** Parsed lines of 80 heads exceed the heap twice, at 250 bytes for a line of 4 bytes. */
  private static final int HEAD_CLIENTS = 80;

  private static final int BODY_BYTES = PlatformDocuments.MAX_BODY_BYTES;
  private static final int MISSING_BYTES = 10;
  private static final int HEAD_BYTES = 16_000;
  private static final int ENDLESS_BYTES = 2_000_000;

  /** Heap, direct memory, metaspace and code cache of the launcher together have 148 MB. */
  private static final long MAX_RESIDENT_KILOBYTES = 180_000;

  /** The clients' connections, and those of the process at rest with a margin. */
  private static final int MAX_DESCRIPTORS = 3 * HEAD_CLIENTS + 100;

  @TempDir private Path folder;

  private interface Load {
    void open(UntrustedClients clients, int port) throws IOException;
  }

  private static String head(String host, String path, String framing) {
    return "POST "
        + path
        + " HTTP/1.1\r\nhost: "
        + host
        + "\r\ncarobhoist-request-id: ID\r\n"
        + framing
        + "\r\n\r\n";
  }

  private static void declaredBodies(UntrustedClients clients, int port) throws IOException {
    String head = head(BOOK, "/seat", "content-length: " + BODY_BYTES);
    clients.open(CLIENTS, port, head, "x", BODY_BYTES - MISSING_BYTES);
  }

  private static void chunkedBodies(UntrustedClients clients, int port) throws IOException {
    String chunk = "400\r\n" + "x".repeat(1_024) + "\r\n";
    String head = head(BOOK, "/seat", "transfer-encoding: chunked");
    clients.open(CLIENTS, port, head, chunk, BODY_BYTES - chunk.length());
  }

  private static void jobBodies(UntrustedClients clients, int port) throws IOException {
    String head = head(JOBS, "/-/lots", "content-length: " + BODY_BYTES);
    clients.open(CLIENTS, port, head, "[", BODY_BYTES - MISSING_BYTES);
  }

  private static void headsOfShortLines(UntrustedClients clients, int port) throws IOException {
    String start = "GET / HTTP/1.1\r\nhost: " + BOOK + "\r\n";
    clients.open(HEAD_CLIENTS, port, start, "a:\r\n", HEAD_BYTES);
  }

  private static void malformedLines(UntrustedClients clients, int port) throws IOException {
    String start = "GET / HTTP/1.1\r\nhost: " + BOOK + "\r\n";
    clients.open(CLIENTS, port, start, " \t\r\n:\r\n\u0001\r\n", ENDLESS_BYTES);
  }

  private static void endlessHeads(UntrustedClients clients, int port) throws IOException {
    clients.open(CLIENTS, port, "GET / HTTP/1.1\r\na: ", "b", ENDLESS_BYTES);
  }

  private static void emptyLines(UntrustedClients clients, int port) throws IOException {
    clients.open(CLIENTS, port, "", "\r\n", ENDLESS_BYTES);
  }

  @Test
  void bodiesWithDeclaredLengthThatStopShort() throws Exception {
    assertSurvives(UntrustedClientsTest::declaredBodies);
  }

  @Test
  void chunkedBodiesThatStopShort() throws Exception {
    assertSurvives(UntrustedClientsTest::chunkedBodies);
  }

  @Test
  void jobSubmissionsThatStopShort() throws Exception {
    assertSurvives(UntrustedClientsTest::jobBodies);
  }

  @Test
  void headsOfVeryManyShortLines() throws Exception {
    assertSurvives(UntrustedClientsTest::headsOfShortLines);
  }

  @Test
  void endlessMalformedLines() throws Exception {
    assertSurvives(UntrustedClientsTest::malformedLines);
  }

  @Test
  void endlessHeadLine() throws Exception {
    assertSurvives(UntrustedClientsTest::endlessHeads);
  }

  @Test
  void endlessEmptyLines() throws Exception {
    assertSurvives(UntrustedClientsTest::emptyLines);
  }

  @Test
  @EnabledIfSystemProperty(
      named = "carobhoist.knownRed",
      matches = "true",
      disabledReason = "ends the process in some runs, see KNOWN-RED.txt")
  void allKindsAtOnce() throws Exception {
    assertSurvives(
        (clients, port) -> {
          declaredBodies(clients, port);
          chunkedBodies(clients, port);
          headsOfShortLines(clients, port);
          emptyLines(clients, port);
        });
  }

  /** Guards against a limit on the number of lines that refuses heads which the manifest allows. */
  @Test
  void singleHeadOfManyShortLinesIsServed() throws Exception {
    try (GatewayCluster cluster = GatewayCluster.start(folder)) {
      cluster.startEntry(ENTRY);
      cluster.addServer("s-1", "app", false);
      cluster.awaitReady(ENTRY);
      String start = head(BOOK, "/seat", "content-length: 1").strip() + "\r\n";
      String request = start + "a:\r\n".repeat(MANY_LINES) + "\r\nx";
      try (Socket client = new Socket("127.0.0.1", cluster.clientPort(ENTRY))) {
        client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        byte[] status = client.getInputStream().readNBytes("HTTP/1.1 200".length());
        assertThat(new String(status, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 200");
      }
    }
  }

  private void assertSurvives(Load load) throws Exception {
    try (GatewayCluster cluster = GatewayCluster.start(folder)) {
      cluster.startEntry(ENTRY);
      cluster.addServer("s-1", "app", false);
      cluster.awaitReady(ENTRY);
      try (UntrustedClients clients = new UntrustedClients()) {
        load.open(clients, cluster.clientPort(ENTRY));
        clients.send();
        assertAlive(cluster);
        awaitServed(cluster, "beside the clients", "x");
      }
      awaitServed(cluster, "after the clients have left", "x".repeat(BODY_BYTES));
      assertAlive(cluster);
    }
  }

  private static void awaitServed(GatewayCluster cluster, String when, String body) {
    cluster.await(
        "a request is served " + when,
        () -> {
          assertWithMessage(lastLines(cluster)).that(cluster.process(ENTRY).isAlive()).isTrue();
          AggregatedHttpResponse response =
              cluster.post(ENTRY, BOOK, "/seat", body, "ordinary-" + System.nanoTime());
          return response.status().code() == 200 && response.contentUtf8().equals(body);
        });
  }

  private static void assertAlive(GatewayCluster cluster) throws IOException {
    RoleProcess process = cluster.process(ENTRY);
    assertWithMessage(lastLines(cluster)).that(process.isAlive()).isTrue();
    assertThat(ProcessFootprint.read(process.pid()).rssKilobytes())
        .isLessThan(MAX_RESIDENT_KILOBYTES);
    try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
      assertThat(open.count()).isLessThan(MAX_DESCRIPTORS);
    }
  }

  private static String lastLines(GatewayCluster cluster) {
    String log = cluster.logUnchecked(ENTRY);
    return log.substring(Math.max(0, log.length() - 1_000));
  }
}
