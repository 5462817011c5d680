package org.carobhoist.server.logservice;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.StepId;
import org.carobhoist.core.common.TrainerId;
import org.carobhoist.core.rollout.AttemptKey;
import org.carobhoist.core.rollout.FinishedSample;
import org.carobhoist.core.rollout.SampleKey;
import org.carobhoist.core.rollout.StepKey;
import org.carobhoist.standin.RepeatingServerStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against scores that belong to another sample. */
final class HttpScorerTest {

  private static FinishedSample sample(int index) {
    StepKey step = new StepKey(new ProfileName("p"), new TrainerId("t"), new StepId("s"));
    AttemptKey attempt = new AttemptKey(new SampleKey(step, 0, index), 1);
    return new FinishedSample(attempt, List.of(), List.of(), "text", "stop");
  }

  @Test
  void lateSecondScoreIsNotTheScoreOfTheNextSample() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
      AtomicInteger lastScore = new AtomicInteger();
      Thread acceptor = new Thread(() -> accept(server, lastScore), "scorer");
      acceptor.setDaemon(true);
      acceptor.start();
      HttpScorer scorer =
          HttpScorer.at(URI.create("h1c://127.0.0.1:" + server.getLocalPort() + "/score"));
      for (int i = 1; i <= 3; i++) {
        assertThat(scorer.score("prompt", sample(i)).orTimeout(20, TimeUnit.SECONDS).join())
            .isEqualTo((double) i);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"h1c", "http"})
  void malformedResponseIsNoScore(String scheme) throws IOException {
    AtomicReference<String> status = new AtomicReference<>("200 OK");
    RepeatingServerStandIn server =
        RepeatingServerStandIn.start(
            request -> RepeatingServerStandIn.response(status.get(), "{\"score\":1}"), length -> 0);
    HttpScorer scorer = HttpScorer.at(URI.create(scheme + "://" + server.uri().getAuthority()));
    assertThat(score(scorer)).hasValue(1.0);
    status.set("0200 OK");
    assertThat(score(scorer)).isEmpty();
    server.stop();
  }

  private static Optional<Double> score(HttpScorer scorer) {
    return scorer
        .score("prompt", sample(1))
        .handle((score, failure) -> Optional.ofNullable(score))
        .orTimeout(20, TimeUnit.SECONDS)
        .join();
  }

  private static void accept(ServerSocket server, AtomicInteger lastScore) {
    while (!server.isClosed()) {
      try {
        Socket connection = server.accept();
        Thread thread = new Thread(() -> serve(connection, lastScore), "connection");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  /** Answers each request, after the response to the previous one once more. */
  private static void serve(Socket connection, AtomicInteger lastScore) {
    String previous = "";
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      while (true) {
        readRequest(in);
        String body = "{\"score\":" + lastScore.incrementAndGet() + "}";
        String response = "HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
        connection
            .getOutputStream()
            .write((previous + response).getBytes(StandardCharsets.US_ASCII));
        previous = response;
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  private static void readRequest(InputStream in) throws IOException {
    int length = 0;
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      if (line.startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
      }
    }
    in.readNBytes(length);
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new IOException("the client closed the connection");
      }
      line.append((char) c);
    }
    return line.toString().strip().toLowerCase(Locale.ROOT);
  }
}
