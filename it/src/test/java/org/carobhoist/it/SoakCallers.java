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
final class SoakCallers {

  private static final String JOBS = PlatformDocuments.JOBS_HOST;
  private static final String BOOK = PlatformDocuments.BOOK_HOST;
  private static final int ACCEPTED = 202;
  private static final int OK = 200;
  private static final Executor LATER =
      CompletableFuture.delayedExecutor(30, TimeUnit.MILLISECONDS);

  private final GatewayCluster cluster;
  private final List<String> entries;
  private final Set<String> promisedNotRun = ConcurrentHashMap.newKeySet();
  private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
  private final Set<String> accepted = ConcurrentHashMap.newKeySet();
  private final Map<String, String> pages = new ConcurrentHashMap<>();
  private volatile boolean over;
  private volatile int served;

  SoakCallers(GatewayCluster cluster, List<String> entries) {
    this.cluster = cluster;
    this.entries = entries;
  }

  /** Starts the clients and the trainer; the future completes when all have stopped. */
  CompletableFuture<Void> start(int callersPerEntry) {
    List<CompletableFuture<Void>> all = new ArrayList<>();
    for (String entry : entries) {
      for (int i = 0; i < callersPerEntry; i++) {
        all.add(call(entry, entry + "-caller-" + i, 0));
      }
    }
    all.add(train(0, 0));
    return CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0]));
  }

  void stop() {
    over = true;
  }

  /** Returns the ids of requests whose response promised that they don't run. */
  Set<String> promisedNotRun() {
    return promisedNotRun;
  }

  /** Returns descriptions of responses that were wrong on their own. */
  List<String> broken() {
    return List.copyOf(broken);
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

  private CompletableFuture<Void> call(String entry, String caller, int number) {
    if (over) {
      return CompletableFuture.completedFuture(null);
    }
    String id = caller + "-" + number;
    return cluster
        .sendAsync(entry, HttpMethod.POST, BOOK, "/seat", "body of " + id, id)
        .handle((answer, failure) -> failure == null && take(id, answer))
        .thenComposeAsync(ok -> call(entry, caller, number + 1), LATER);
  }

  private boolean take(String id, AggregatedHttpResponse answer) {
    int status = answer.status().code();
    if (status == OK) {
      served++;
      boolean own = answer.contentUtf8().equals("body of " + id);
      if (!own || !id.equals(answer.headers().get("carobhoist-request-id"))) {
        broken.add(id + " got the response to another request: " + answer.contentUtf8());
      }
    } else if (status == 429 || status == 503) {
      promisedNotRun.add(id);
    }
    return true;
  }

  /** Submits one job after the other, and reads each several times before the next. */
  private CompletableFuture<Void> train(int number, int tries) {
    if (over) {
      return CompletableFuture.completedFuture(null);
    }
    String job = "job-" + number;
    String content = PlatformDocuments.scoredJob(1, "score-", items(job));
    return cluster
        .sendAsync(entryOf(number + tries), HttpMethod.POST, JOBS, "/j", content, job)
        .handle((answer, failure) -> failure == null && answer.status().code() == ACCEPTED)
        .thenComposeAsync(
            ok -> {
              if (!ok) {
                return train(number, tries + 1);
              }
              accepted.add(job);
              return read(job, 0).thenCompose(done -> train(number + 1, 0));
            },
            LATER);
  }

  /** Reads all results of a job at alternating entries; later reads must contain earlier ones. */
  private CompletableFuture<Void> read(String job, int times) {
    if (over || times == 12) {
      return CompletableFuture.completedFuture(null);
    }
    return cluster
        .sendAsync(
            entryOf(times), HttpMethod.GET, JOBS, "/-/lots/" + job + "?after=0", "", "r-" + times)
        .handle((answer, failure) -> failure == null && takePage(job, answer))
        .thenComposeAsync(ok -> read(job, times + 1), LATER);
  }

  private boolean takePage(String job, AggregatedHttpResponse answer) {
    if (answer.status().code() != OK) {
      if (answer.status().code() == 404) {
        broken.add(job + " is not found although it was accepted");
      }
      return false;
    }
    String page = answer.contentUtf8();
    String list = page.substring(page.indexOf('['), page.lastIndexOf(']'));
    String before = pages.getOrDefault(job, "");
    String shorter = before.length() < list.length() ? before : list;
    if (!list.startsWith(shorter) || !before.startsWith(shorter)) {
      broken.add(job + " changed: " + before + " then " + list);
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
