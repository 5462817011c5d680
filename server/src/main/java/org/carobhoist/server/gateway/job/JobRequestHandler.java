package org.carobhoist.server.gateway.job;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.carobhoist.core.account.ClientIdentity;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobContent;
import org.carobhoist.core.job.JobHead;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.job.JobListener;
import org.carobhoist.core.job.JobRecordCodec;
import org.carobhoist.core.job.JobView;
import org.carobhoist.core.manifest.Route;
import org.carobhoist.core.store.AppendOutcome;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.ShardTailer;
import org.carobhoist.core.store.StoreException;
import org.carobhoist.platform.CallHeaders;
import org.carobhoist.platform.JobJson;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Handles the job requests of clients. Submits and ends jobs through the store, and answers reads
 * from the local view of it. A job is acknowledged once the store has it. The response is 404 only
 * after everything that the store holds has been read; if that isn't possible it is 503.
 */
public final class JobRequestHandler implements JobListener {

  /** Maximum size of the results in one page. */
  private static final int PAGE_BYTES = 1_000_000;

  /**
   * Timeout for looking up an unknown job in the store. Clients wait 1.5 s longer than the time
   * limit in their requests; a client that gets a 503 before that can retry at a process that has
   * read the shard.
   */
  private static final Duration FIND_TIMEOUT = Duration.ofSeconds(1);

  /** Delay between attempts to store a record. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(60);

  /** Time before the client's deadline at which attempts to store a record end. */
  private static final Duration DEADLINE_MARGIN = Duration.ofMillis(400);

  /** Retry delay that is sent with a 503 response; outages of the store last seconds. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  /**
   * Divisor of the visibility delay that gives the maximum age of the view; the rest of the delay
   * is left for the delivery of the response.
   */
  private static final int VISIBILITY_DELAY_DIVISOR = 2;

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int CONTENT_TOO_LARGE = 413;
  private static final int UNAVAILABLE = 503;
  private static final int TIMEOUT = 504;

  private final RecordStore store;
  private final JobView view;
  private final List<ShardTailer> tails;
  private final JobRecordCodec codec;
  private final ResultPublisher publisher;
  private final DecisionLoop loop;
  private final Clock clock;
  private final Duration maxViewAge;
  private final int maxJobBytes;
  private final BiConsumer<JobHead, byte[]> runEarly;
  private final Map<JobId, List<CompletableFuture<Void>>> readers = new HashMap<>();

  /**
   * Creates a handler.
   *
   * @param visibilityDelay time after which a result that any process has returned must be visible
   * @param maxJobBytes most bytes of a job's records; the store accepts them in one call only
   * @param runEarly starts a job that the store hasn't accepted at the first attempt
   */
  public JobRequestHandler(
      RecordStore store,
      JobView view,
      List<ShardTailer> tails,
      JobRecordCodec codec,
      ResultPublisher publisher,
      DecisionLoop loop,
      Clock clock,
      Duration visibilityDelay,
      int maxJobBytes,
      BiConsumer<JobHead, byte[]> runEarly) {
    this.store = store;
    this.view = view;
    this.tails = tails;
    this.codec = codec;
    this.publisher = publisher;
    this.loop = loop;
    this.clock = clock;
    this.maxViewAge = visibilityDelay.dividedBy(VISIBILITY_DELAY_DIVISOR);
    this.maxJobBytes = maxJobBytes;
    this.runEarly = runEarly;
  }

  /** Returns the size above which no body of a job can be stored. */
  public int maxJobBytes() {
    return maxJobBytes;
  }

  /**
   * Submits a job; responds with 202 once it is stored, 413 if the store can't hold it, or 504 if
   * that isn't confirmed in time.
   */
  public CompletableFuture<AggregatedHttpResponse> submit(
      Route route, String id, ClientIdentity client, byte[] body, Duration timeLimit) {
    JobHead head;
    try {
      JobContent content = JobJson.decode(body);
      head =
          new JobHead(
              jobId(new JobId(id), client),
              route.splits().get(0).service(),
              route.host(),
              route.name(),
              clock.now(),
              route.jobRules().orElseThrow(),
              route.retry().maxAttempts(),
              content.items().size(),
              client.account());
    } catch (IllegalArgumentException e) {
      EventLog.info(LogEvent.JOB_REFUSED, "job", id, "status", BAD_REQUEST, "why", e.getMessage());
      return completed(emptyResponse(BAD_REQUEST, id));
    }
    List<KeyedRecord> records = codec.acceptedRecords(head, body);
    long bytes = records.stream().mapToLong(KeyedRecord::storedSize).sum();
    if (bytes > maxJobBytes) {
      String why = bytes + " bytes of records, the store accepts " + maxJobBytes;
      EventLog.info(LogEvent.JOB_REFUSED, "job", id, "status", CONTENT_TOO_LARGE, "why", why);
      return completed(emptyResponse(CONTENT_TOO_LARGE, id));
    }
    Supplier<Boolean> known = () -> view.job(head.id()).isPresent();
    Runnable early = () -> runEarly.accept(head, body);
    return persist(head.id(), records, known, timeLimit, early)
        .thenApply(verdict -> answerSubmit(head, id, verdict));
  }

  /** Returns a page of results, and waits for the next result if there is none yet. */
  public CompletableFuture<AggregatedHttpResponse> results(
      JobId id, ClientIdentity client, int from, Duration timeLimit) {
    Duration startedAt = clock.elapsed();
    return find(id, client)
        .thenCompose(
            found ->
                found.isEmpty()
                    ? completed(notFound(client))
                    : awaitResults(found.get(), from, timeLimit))
        .exceptionally(failure -> unavailable("results", id, startedAt, failure));
  }

  /** Returns the body of an item of a job that hasn't ended. */
  public CompletableFuture<AggregatedHttpResponse> item(
      JobId id, ClientIdentity client, ItemId item) {
    Duration startedAt = clock.elapsed();
    return find(id, client)
        .thenApply(
            found -> {
              Optional<JobItem> known = found.filter(j -> !j.isEnded()).flatMap(j -> j.item(item));
              return known.isEmpty()
                  ? found.isEmpty() ? notFound(client) : emptyResponse(NOT_FOUND, "")
                  : AggregatedHttpResponse.of(
                      CallHeaders.localResponse(OK, "", Optional.empty()),
                      HttpData.wrap(known.get().body()));
            })
        .exceptionally(failure -> unavailable("item", id, startedAt, failure));
  }

  /**
   * Ends a job; responds with 200 once the end is stored, or 504 if that isn't confirmed in time.
   */
  public CompletableFuture<AggregatedHttpResponse> end(
      JobId id, ClientIdentity client, Duration timeLimit) {
    Duration startedAt = clock.elapsed();
    return find(id, client)
        .thenCompose(
            found ->
                found.isEmpty() ? completed(notFound(client)) : endInStore(found.get(), timeLimit))
        .exceptionally(failure -> unavailable("end", id, startedAt, failure));
  }

  /** Returns whether a client waits for results of a job in a shard. */
  public boolean hasReader(int shard) {
    return readers.keySet().stream().anyMatch(id -> view.shardOf(id) == shard);
  }

  @Override
  public void onAccepted(Job job) {
    wakeReaders(job);
  }

  @Override
  public void onResultPublished(Job job, ItemResult result) {
    wakeReaders(job);
  }

  @Override
  public void onEnded(Job job) {
    wakeReaders(job);
  }

  private AggregatedHttpResponse answerSubmit(JobHead head, String id, Verdict verdict) {
    int status = verdict == Verdict.COMPLETED ? ACCEPTED : TIMEOUT;
    EventLog.info(
        status == ACCEPTED ? LogEvent.JOB_ACCEPTED : LogEvent.JOB_REFUSED,
        "job",
        head.id(),
        "items",
        head.itemCount(),
        "status",
        status,
        "ms",
        Duration.between(head.acceptedAt(), clock.now()).toMillis());
    return emptyResponse(status, id);
  }

  private CompletableFuture<AggregatedHttpResponse> endInStore(Job job, Duration timeLimit) {
    List<KeyedRecord> end = List.of(codec.endRecord(job.id()));
    Duration startedAt = clock.elapsed();
    return persist(job.id(), end, job::isEnded, timeLimit, () -> {})
        .thenApply(verdict -> answerEnd(job, verdict, clock.elapsed().minus(startedAt)));
  }

  private static AggregatedHttpResponse answerEnd(Job job, Verdict verdict, Duration took) {
    int status = verdict == Verdict.COMPLETED ? OK : TIMEOUT;
    EventLog.info(LogEvent.END_ANSWERED, "job", job.id(), "status", status, "ms", took.toMillis());
    return emptyResponse(status, "");
  }

  private CompletableFuture<AggregatedHttpResponse> awaitResults(
      Job job, int from, Duration timeLimit) {
    boolean waits = from >= job.resultCount() && job.isOpen() && !timeLimit.isZero();
    if (!waits) {
      return freshPage(job, from);
    }
    CompletableFuture<Void> woken = new CompletableFuture<>();
    readers.computeIfAbsent(job.id(), k -> new ArrayList<>()).add(woken);
    tails.get(view.shardOf(job.id())).endPause();
    Runnable cancel = loop.after(timeLimit, () -> woken.complete(null));
    return woken.thenCompose(
        ok -> {
          cancel.run();
          removeReader(job.id(), woken);
          return freshPage(job, from);
        });
  }

  /**
   * Returns a page, which is empty for an open job only after the view is known to be recent
   * enough; otherwise a result that another process has already returned could be missing.
   */
  private CompletableFuture<AggregatedHttpResponse> freshPage(Job job, int from) {
    if (from < job.resultCount() || !job.isOpen()) {
      return page(job, from);
    }
    return tails
        .get(view.shardOf(job.id()))
        .awaitFreshness(maxViewAge)
        .thenCompose(ok -> page(job, from));
  }

  private CompletableFuture<AggregatedHttpResponse> page(Job job, int from) {
    return publisher
        .load(firstResults(job.resultsFrom(from)))
        .thenApply(results -> answerPage(job.head().itemCount(), from, results));
  }

  /** Returns the first results that fit into a page, at least one if there are any. */
  private static List<ItemResult> firstResults(List<ItemResult> results) {
    int count = 0;
    long bytes = 0;
    while (count < results.size() && (count == 0 || bytes <= PAGE_BYTES)) {
      bytes += results.get(count++).length();
    }
    return List.copyOf(results.subList(0, count));
  }

  private static AggregatedHttpResponse answerPage(int total, int from, List<ItemResult> results) {
    byte[] body = JobJson.page(total, from, results, PAGE_BYTES);
    ResponseHeaders headers =
        CallHeaders.localResponse(OK, "", Optional.empty()).toBuilder()
            .contentType(MediaType.JSON)
            .build();
    return AggregatedHttpResponse.of(headers, HttpData.wrap(body));
  }

  /** Returns the internal id of a job that a client names by {@code id}. */
  private static JobId jobId(JobId id, ClientIdentity client) {
    return client.account().map(id::scopedTo).orElse(id);
  }

  /** Returns the response for a job that doesn't exist or that the client has no access to. */
  private static AggregatedHttpResponse notFound(ClientIdentity client) {
    boolean needsKey = client.accountsEnabled() && client.account().isEmpty();
    return emptyResponse(needsKey ? UNAUTHORIZED : NOT_FOUND, "");
  }

  /**
   * Finds a job that a client has access to: one of its account, or else one without an account.
   * The result is empty only if the store has neither.
   */
  private CompletableFuture<Optional<Job>> find(JobId id, ClientIdentity client) {
    JobId own = jobId(id, client);
    if (own.equals(id) || view.job(own).isPresent()) {
      return find(own);
    }
    // Both searches run at the same time, so that together they take no longer than one.
    CompletableFuture<Optional<Job>> withoutAccount = find(id);
    return find(own)
        .thenCompose(
            found -> found.isPresent() ? CompletableFuture.completedFuture(found) : withoutAccount);
  }

  /** Finds a job; the result is empty only if the store has no job with that id. */
  private CompletableFuture<Optional<Job>> find(JobId id) {
    Optional<Job> known = view.job(id);
    if (known.isPresent()) {
      return CompletableFuture.completedFuture(known);
    }
    CompletableFuture<Void> read = tails.get(view.shardOf(id)).barrier().copy();
    Runnable cancel = loop.after(FIND_TIMEOUT, () -> read.completeExceptionally(readTimeout(id)));
    return read.whenComplete((ok, failure) -> cancel.run()).thenApply(ok -> view.job(id));
  }

  private StoreException readTimeout(JobId id) {
    Shard shard = tails.get(view.shardOf(id)).shard();
    return StoreException.notRun(
        shard + " could not be read to its end in " + FIND_TIMEOUT.toMillis() + " ms");
  }

  /** Retries an append until the store is known to have the records, or the time limit is over. */
  private CompletableFuture<Verdict> persist(
      JobId id,
      List<KeyedRecord> records,
      Supplier<Boolean> known,
      Duration timeLimit,
      Runnable onFailure) {
    CompletableFuture<Verdict> done = new CompletableFuture<>();
    Duration latest = timeLimit.minus(DEADLINE_MARGIN);
    Duration deadline = clock.elapsed().plus(latest.isNegative() ? timeLimit : latest);
    tryToPersist(id, records, known, deadline, onFailure, done);
    return done;
  }

  private void tryToPersist(
      JobId id,
      List<KeyedRecord> records,
      Supplier<Boolean> known,
      Duration deadline,
      Runnable onFailure,
      CompletableFuture<Verdict> done) {
    if (known.get()) {
      done.complete(Verdict.COMPLETED);
      return;
    }
    if (clock.elapsed().compareTo(deadline) >= 0) {
      // Items may already be running and an append may still succeed, so the outcome is unknown.
      done.complete(Verdict.MAY_HAVE_RUN);
      return;
    }
    Callbacks.start(
            () -> store.append(tails.get(view.shardOf(id)).shard(), records, OptionalLong.empty()))
        .whenComplete(
            Callbacks.reported(
                (outcome, failure) -> {
                  if (failure == null && outcome instanceof AppendOutcome.Appended) {
                    done.complete(Verdict.COMPLETED);
                    return;
                  }
                  EventLog.info(LogEvent.STORE_TRIED_AGAIN, "job", id, "why", failure);
                  loop.after(
                      RETRY_DELAY,
                      () -> tryToPersist(id, records, known, deadline, onFailure, done));
                  onFailure.run();
                }));
  }

  private void wakeReaders(Job job) {
    List<CompletableFuture<Void>> waiting = readers.remove(job.id());
    if (waiting != null) {
      waiting.forEach(w -> w.complete(null));
    }
  }

  private void removeReader(JobId id, CompletableFuture<Void> reader) {
    readers.computeIfPresent(
        id,
        (k, waiting) -> {
          waiting.remove(reader);
          return waiting.isEmpty() ? null : waiting;
        });
  }

  private AggregatedHttpResponse unavailable(
      String what, JobId id, Duration startedAt, Throwable failure) {
    long millis = clock.elapsed().minus(startedAt).toMillis();
    EventLog.info(LogEvent.READ_UNSURE, "job", id, "what", what, "ms", millis, "why", failure);
    return emptyResponse(UNAVAILABLE, "");
  }

  private static AggregatedHttpResponse emptyResponse(int status, String requestId) {
    Optional<Duration> after = status == UNAVAILABLE ? Optional.of(RETRY_AFTER) : Optional.empty();
    return AggregatedHttpResponse.of(CallHeaders.localResponse(status, requestId, after));
  }

  private static CompletableFuture<AggregatedHttpResponse> completed(
      AggregatedHttpResponse response) {
    return CompletableFuture.completedFuture(response);
  }
}
