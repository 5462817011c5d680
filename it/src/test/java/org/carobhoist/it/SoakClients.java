package org.carobhoist.it;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.carobhoist.standin.PlatformDocuments;

/**
 * Clients that send plain requests, and a trainer; they record the responses. Clients reuse their
 * connections until these are closed; the trainer resends a job to other entries until it is
 * accepted.
 */
final class SoakClients {

  private static final String JOBS = PlatformDocuments.JOBS_HOST;
  private static final String BOOK = PlatformDocuments.BOOKINGS_HOST;
  private static final int ACCEPTED = 202;
  private static final int OK = 200;
  private static final Executor DELAYED_EXECUTOR =
      CompletableFuture.delayedExecutor(30, TimeUnit.MILLISECONDS);

  private final GatewayCluster cluster;
  private final List<String> entries;
  private final Set<String> promisedNotRun = ConcurrentHashMap.newKeySet();
  private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
  private final Set<String> accepted = ConcurrentHashMap.newKeySet();
  private final Map<String, String> pages = new ConcurrentHashMap<>();
  private volatile boolean stopped;
  private volatile int served;

  SoakClients(GatewayCluster cluster, List<String> entries) {
    this.cluster = cluster;
    this.entries = entries;
  }

  /** Starts the clients and the trainer; the future completes when all have stopped. */
  CompletableFuture<Void> start(int clientsPerEntry) {
    List<CompletableFuture<Void>> all = new ArrayList<>();
    for (String entry : entries) {
      for (int i = 0; i < clientsPerEntry; i++) {
        all.add(sendNext(entry, entry + "-caller-" + i, 0));
      }
    }
    all.add(submitNext(0, 0));
    return CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0]));
  }

  void stop() {
    stopped = true;
  }

  /** Returns the ids of requests whose response promised that they don't run. */
  Set<String> promisedNotRun() {
    return promisedNotRun;
  }

  /** Returns descriptions of the wrong responses that the clients themselves detected. */
  List<String> violations() {
    return List.copyOf(violations);
  }

  /** Returns the jobs that were accepted, with the items of each. */
  Map<String, List<String>> accepted() {
    Map<String, List<String>> out = new TreeMap<>();
    accepted.forEach(job -> out.put(job, List.of(items(job))));
    return out;
  }

  int served() {
    return served;
  }

  private CompletableFuture<Void> sendNext(String entry, String client, int number) {
    if (stopped) {
      return CompletableFuture.completedFuture(null);
    }
    String id = client + "-" + number;
    return cluster
        .sendAsync(entry, HttpMethod.POST, BOOK, "/seat", "body of " + id, id)
        .handle((response, failure) -> failure == null && recordResponse(id, response))
        .thenComposeAsync(ok -> sendNext(entry, client, number + 1), DELAYED_EXECUTOR);
  }

  private boolean recordResponse(String id, AggregatedHttpResponse response) {
    int status = response.status().code();
    if (status == OK) {
      served++;
      boolean ownBody = response.contentUtf8().equals("body of " + id);
      if (!ownBody || !id.equals(response.headers().get("carobhoist-request-id"))) {
        violations.add(id + " got the response to another request: " + response.contentUtf8());
      }
    } else if (status == 429 || status == 503) {
      promisedNotRun.add(id);
    }
    return true;
  }

  /** Submits one job after the other, and reads each several times before the next. */
  private CompletableFuture<Void> submitNext(int number, int attempts) {
    if (stopped) {
      return CompletableFuture.completedFuture(null);
    }
    String job = "job-" + number;
    String content = PlatformDocuments.scoredJob(1, "score-", items(job));
    return cluster
        .sendAsync(entryOf(number + attempts), HttpMethod.POST, JOBS, "/j", content, job)
        .handle((response, failure) -> failure == null && response.status().code() == ACCEPTED)
        .thenComposeAsync(
            ok -> {
              if (!ok) {
                return submitNext(number, attempts + 1);
              }
              accepted.add(job);
              return readRepeatedly(job, 0).thenCompose(done -> submitNext(number + 1, 0));
            },
            DELAYED_EXECUTOR);
  }

  /** Reads all results of a job at alternating entries; later reads must contain earlier ones. */
  private CompletableFuture<Void> readRepeatedly(String job, int reads) {
    if (stopped || reads == 12) {
      return CompletableFuture.completedFuture(null);
    }
    return cluster
        .sendAsync(
            entryOf(reads), HttpMethod.GET, JOBS, "/-/lots/" + job + "?after=0", "", "r-" + reads)
        .handle((response, failure) -> failure == null && checkPage(job, response))
        .thenComposeAsync(ok -> readRepeatedly(job, reads + 1), DELAYED_EXECUTOR);
  }

  private boolean checkPage(String job, AggregatedHttpResponse response) {
    if (response.status().code() != OK) {
      if (response.status().code() == 404) {
        violations.add(job + " is not found although it was accepted");
      }
      return false;
    }
    String page = response.contentUtf8();
    String list = page.substring(page.indexOf('['), page.lastIndexOf(']'));
    String before = pages.getOrDefault(job, "");
    String shorter = before.length() < list.length() ? before : list;
    if (!list.startsWith(shorter) || !before.startsWith(shorter)) {
      violations.add(job + " changed: " + before + " then " + list);
    }
    pages.merge(job, list, (a, b) -> a.length() > b.length() ? a : b);
    return true;
  }

  private String entryOf(int number) {
    return entries.get(number % entries.size());
  }

  private static String[] items(String job) {
    return new String[] {job + "-a", job + "-b", job + "-c", job + "-d"};
  }
}
