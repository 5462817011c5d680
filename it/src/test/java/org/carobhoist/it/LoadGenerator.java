package org.carobhoist.it;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Load generator whose threads send one request after the other. Each request goes to an entry that
 * is ready, as the load balancer of the platform would route it. Requests without a complete
 * response are recorded as failures.
 */
final class LoadGenerator {

  private final List<URI> entries = new ArrayList<>();
  private final List<WebClient> clients = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final Queue<String> failures = new ConcurrentLinkedQueue<>();
  private final AtomicInteger responses = new AtomicInteger();
  private volatile boolean running = true;

  private LoadGenerator(TestCluster cluster, String... names) {
    for (String name : names) {
      entries.add(cluster.http(name));
      clients.add(WebClient.of(cluster.http(name)));
    }
  }

  static LoadGenerator start(TestCluster cluster, int threads, String... entries) {
    LoadGenerator load = new LoadGenerator(cluster, entries);
    for (int i = 0; i < threads; i++) {
      int number = i;
      Thread t = new Thread(() -> load.run(number), "caller-" + i);
      t.setDaemon(true);
      load.threads.add(t);
      t.start();
    }
    return load;
  }

  /** Waits until the given number of further requests has completed, or any has failed. */
  void awaitResponses(int more) {
    int goal = responses.get() + more;
    TestCluster.await(goal + " responses", () -> responses.get() >= goal || !failures.isEmpty());
  }

  /** Stops the threads and returns the failures. */
  List<String> stop() throws InterruptedException {
    running = false;
    for (Thread t : threads) {
      t.join();
    }
    return List.copyOf(failures);
  }

  private void run(int number) {
    for (int i = 0; running; i++) {
      int entry = pickReady(number + i);
      call(clients.get(entry), "guest-" + number + "-" + i);
    }
  }

  /**
   * Returns the index of the next ready entry, as a load balancer would choose it. A stopped entry
   * counts as not ready; if none is ready, any entry is returned.
   */
  private int pickReady(int firstIndex) {
    for (int i = 0; i < entries.size(); i++) {
      int entry = (firstIndex + i) % entries.size();
      if (TestCluster.isReady(entries.get(entry))) {
        return entry;
      }
    }
    return firstIndex % entries.size();
  }

  private void call(WebClient client, String body) {
    RequestHeaders headers =
        RequestHeaders.builder(HttpMethod.POST, "/v1/services/reservas/bookings")
            .add(HttpHeaderNames.CONTENT_TYPE, "text/plain")
            .build();
    try {
      AggregatedHttpResponse response =
          client.execute(HttpRequest.of(headers, HttpData.ofUtf8(body))).aggregate().join();
      boolean complete =
          response.status().equals(HttpStatus.OK) && response.contentUtf8().equals("done " + body);
      if (!complete) {
        failures.add(body + ": " + response.status() + " " + response.contentUtf8());
      }
    } catch (CompletionException e) {
      failures.add(body + ": " + e.getCause());
    }
    responses.incrementAndGet();
  }
}
