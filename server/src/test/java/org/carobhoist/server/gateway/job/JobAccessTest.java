package org.carobhoist.server.gateway.job;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.account.ClientIdentity;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobView;
import org.carobhoist.core.manifest.JobRules;
import org.carobhoist.core.manifest.Route;
import org.carobhoist.core.manifest.RouteKind;
import org.carobhoist.core.manifest.Split;
import org.carobhoist.core.request.RetryPolicy;
import org.carobhoist.core.store.AppendOutcome;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.NewestPage;
import org.carobhoist.core.store.ReadOutcome;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.ShardTailer;
import org.carobhoist.core.store.StoreException;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.platform.JobJson;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.runtime.SystemClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a client that reads, ends or learns of a job of another account. */
final class JobAccessTest {

  private static final ClientIdentity ONE = ClientIdentity.of(new AccountName("hule930"));
  private static final ClientIdentity TWO = ClientIdentity.of(new AccountName("fida11"));
  private static final ClientIdentity NOBODY = ClientIdentity.ANONYMOUS;
  private static final ClientIdentity DISABLED = ClientIdentity.ACCOUNTS_DISABLED;

  private static final JobId JOB = new JobId("j1");
  private static final ItemId ITEM = new ItemId("i1");
  private static final Duration TIME_LIMIT = Duration.ofSeconds(5);

  /** Long enough for a busy machine; fails the test if there is no response. */
  private static final long TIMEOUT_SECONDS = 30;

  private static final Route ROUTE =
      new Route(
          "jobs",
          "jobs.example",
          "/",
          RouteKind.JOBS,
          TIME_LIMIT,
          List.of(new Split(new ServiceName("lm"), 1)),
          new RetryPolicy(1),
          false,
          Optional.of(new JobRules(TIME_LIMIT, Duration.ofSeconds(40), false)),
          false,
          OptionalInt.empty(),
          Optional.empty());

  private final MemoryStore store = new MemoryStore();
  private final List<DecisionLoop> loops = new ArrayList<>();
  private final Gateway first = new Gateway();

  /** The part of a gateway that serves calls to jobs. */
  private final class Gateway {

    private final DecisionLoop loop = DecisionLoop.create("job-access-test");
    private final Clock clock = SystemClock.create();
    private final ProtobufJobRecordCodec codec = new ProtobufJobRecordCodec();
    private final JobView view = JobView.create(codec, JobJson::decode, 2);
    private final List<ShardTailer> tails = List.of(tail(0), tail(1));
    private final JobRequestHandler handler =
        new JobRequestHandler(
            store,
            view,
            tails,
            codec,
            null,
            loop,
            clock,
            Duration.ofSeconds(1),
            1 << 20,
            (head, submitted) -> {});

    private Gateway() {
      loops.add(loop);
      loop.execute(() -> tails.forEach(ShardTailer::start));
    }

    private ShardTailer tail(int part) {
      return ShardTailer.create(
          store,
          new Shard("jobs", part),
          view.shardListener(part),
          clock,
          loop,
          Duration.ofSeconds(1));
    }

    private AggregatedHttpResponse call(Supplier<CompletableFuture<AggregatedHttpResponse>> call) {
      return loop.call(call)
          .thenCompose(response -> response)
          .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
          .join();
    }

    private AggregatedHttpResponse submit(ClientIdentity client, String id, String body) {
      String job = "{\"items\":[{\"id\":\"i1\",\"path\":\"/run\",\"body\":\"" + body + "\"}]}";
      byte[] bytes = job.getBytes(StandardCharsets.UTF_8);
      return call(() -> handler.submit(ROUTE, id, client, bytes, TIME_LIMIT));
    }

    /** Returns the body of the item in a client's job; the status if there is no such job. */
    private String item(ClientIdentity client) {
      AggregatedHttpResponse response = call(() -> handler.item(JOB, client, ITEM));
      return response.status().code() == 200
          ? response.contentUtf8()
          : response.status().codeAsText();
    }

    private int end(ClientIdentity client) {
      return call(() -> handler.end(JOB, client, TIME_LIMIT)).status().code();
    }
  }

  /** A store in memory, which can be made unreadable. */
  private static final class MemoryStore implements RecordStore {

    private final Map<Shard, List<StoredRecord>> shards = new HashMap<>();
    private boolean unreadable;

    private synchronized List<StoredRecord> records(Shard shard) {
      if (unreadable) {
        throw StoreException.notRun("unreadable");
      }
      return shards.computeIfAbsent(shard, s -> new ArrayList<>());
    }

    private synchronized void setUnreadable() {
      unreadable = true;
    }

    @Override
    public synchronized CompletableFuture<AppendOutcome> append(
        Shard shard, List<KeyedRecord> added, OptionalLong at) {
      List<StoredRecord> records = records(shard);
      long from = records.size();
      for (KeyedRecord r : added) {
        records.add(new StoredRecord(records.size(), r.key(), r.value()));
      }
      return CompletableFuture.completedFuture(new AppendOutcome.Appended(from));
    }

    @Override
    public synchronized CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait) {
      if (!wait.isZero()) {
        // A long poll that never ends; the tests read through barriers.
        return new CompletableFuture<>();
      }
      return CompletableFuture.supplyAsync(() -> batch(shard, from), Runnable::run);
    }

    private synchronized ReadOutcome batch(Shard shard, long from) {
      List<StoredRecord> records = records(shard);
      return new ReadOutcome.Batch(
          records.size(), List.copyOf(records.subList((int) from, records.size())));
    }

    @Override
    public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
      return new CompletableFuture<>();
    }

    @Override
    public synchronized CompletableFuture<NewestPage> newest(Shard shard, String after) {
      List<StoredRecord> records = List.copyOf(records(shard));
      return CompletableFuture.completedFuture(new NewestPage(records, false, records.size()));
    }
  }

  @AfterEach
  void stop() {
    loops.forEach(l -> l.stop().join());
  }

  @Test
  void accountsUseTheSameIdForDifferentJobs() {
    AggregatedHttpResponse accepted = first.submit(ONE, "j1", "AAAA");
    assertThat(accepted.status().code()).isEqualTo(202);
    assertThat(accepted.headers().get("carobhoist-request-id")).isEqualTo("j1");
    assertThat(first.item(TWO)).isEqualTo("404");
    assertThat(first.end(TWO)).isEqualTo(404);
    assertThat(first.submit(TWO, "j1", "AQEB").status().code()).isEqualTo(202);
    Gateway other = new Gateway();
    assertThat(other.item(ONE)).isEqualTo("\0\0\0");
    assertThat(other.item(TWO)).isEqualTo("\1\1\1");
    assertThat(other.end(TWO)).isEqualTo(200);
    assertThat(first.item(TWO)).isEqualTo("404");
    assertThat(first.item(ONE)).isEqualTo("\0\0\0");
  }

  @Test
  void onlyJobsWithoutAccountAreVisibleWithoutKey() {
    first.submit(ONE, "j1", "AAAA");
    assertThat(first.item(NOBODY)).isEqualTo("401");
    assertThat(first.end(NOBODY)).isEqualTo(401);
    first.submit(NOBODY, "j1", "AQEB");
    assertThat(first.item(NOBODY)).isEqualTo("\1\1\1");
    assertThat(first.item(ONE)).isEqualTo("\0\0\0");
    assertThat(first.item(TWO)).isEqualTo("\1\1\1");
    assertThat(first.item(DISABLED)).isEqualTo("\1\1\1");
  }

  @Test
  void jobsAreAsBeforeWithoutAccounts() {
    assertThat(first.item(DISABLED)).isEqualTo("404");
    assertThat(first.submit(DISABLED, "j1", "AAAA").status().code()).isEqualTo(202);
    assertThat(first.item(DISABLED)).isEqualTo("\0\0\0");
    assertThat(first.end(DISABLED)).isEqualTo(200);
  }

  @Test
  void clientCannotNameTheInternalIdOfAnotherAccountsJob() {
    String internal = JOB.scopedTo(ONE.account().orElseThrow()).value();
    assertThat(first.submit(NOBODY, internal, "AAAA").status().code()).isEqualTo(400);
    assertThat(first.submit(TWO, internal, "AAAA").status().code()).isEqualTo(400);
    assertThat(first.submit(DISABLED, internal, "AAAA").status().code()).isEqualTo(400);
  }

  @Test
  void jobWithoutAccountDoesNotHideThatTheAccountsOwnIsUnknown() {
    first.submit(NOBODY, "j1", "AQEB");
    assertThat(first.item(ONE)).isEqualTo("\1\1\1");
    store.setUnreadable();
    assertThat(first.item(ONE)).isEqualTo("503");
    assertThat(first.item(NOBODY)).isEqualTo("\1\1\1");
  }
}
