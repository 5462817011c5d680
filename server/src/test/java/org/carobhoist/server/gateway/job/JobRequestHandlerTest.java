package org.carobhoist.server.gateway.job;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
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
import org.carobhoist.platform.JobJson;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.runtime.SystemClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests job requests to a process that has not finished reading the store. */
final class JobRequestHandlerTest {

  private static final JobId JOB = new JobId("j1");
  private static final ClientIdentity CLIENT = ClientIdentity.ACCOUNTS_DISABLED;
  private static final Duration TIME_LIMIT = Duration.ofSeconds(5);

  /** Long enough for a busy machine; fails the test if there is no response. */
  private static final long TIMEOUT_SECONDS = 30;

  private final DecisionLoop loop = DecisionLoop.create("job-request-handler-test");
  private final Clock clock = SystemClock.create();
  private final ProtobufJobRecordCodec codec = new ProtobufJobRecordCodec();
  private final RecordStore store = new SilentStore();
  private final JobView view = JobView.create(codec, JobJson::decode, 1);
  private final ShardTailer tail =
      ShardTailer.create(
          store, new Shard("jobs", 0), view.shardListener(0), clock, loop, Duration.ofSeconds(1));
  private final JobRequestHandler handler =
      new JobRequestHandler(
          store,
          view,
          List.of(tail),
          codec,
          null,
          loop,
          clock,
          Duration.ofSeconds(1),
          1 << 20,
          (head, submitted) -> {});

  /** A store that never answers, as if it were overloaded. */
  private static final class SilentStore implements RecordStore {

    @Override
    public CompletableFuture<AppendOutcome> append(
        Shard shard, List<KeyedRecord> records, OptionalLong at) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<NewestPage> newest(Shard shard, String after) {
      return new CompletableFuture<>();
    }
  }

  private int status(Supplier<CompletableFuture<AggregatedHttpResponse>> call) {
    return loop.call(call)
        .thenCompose(response -> response)
        .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .join()
        .status()
        .code();
  }

  @AfterEach
  void stop() {
    loop.stop().join();
  }

  @Test
  void bodiesThatCannotBeReadAreAnsweredWith400() {
    JobRules rules = new JobRules(Duration.ofSeconds(10), Duration.ofSeconds(40), false);
    Route route =
        new Route(
            "r",
            "h",
            "/p/",
            RouteKind.JOBS,
            Duration.ofSeconds(1),
            List.of(new Split(new ServiceName("lm"), 1)),
            new RetryPolicy(3),
            false,
            Optional.of(rules),
            false,
            OptionalInt.empty(),
            Optional.empty());
    for (byte[] body :
        new byte[][] {{}, {'{'}, {0, 0, 0, 4, 'a', 'b', 'c', 'd'}, {(byte) 0xfe, (byte) 0xff}}) {
      assertThat(status(() -> handler.submit(route, "j1", CLIENT, body, TIME_LIMIT)))
          .isEqualTo(400);
    }
  }

  @Test
  void unknownJobsAreNotReportedMissingBeforeTheShardHasBeenRead() {
    loop.execute(tail::start);
    assertThat(status(() -> handler.results(JOB, CLIENT, 0, Duration.ZERO))).isEqualTo(503);
    assertThat(status(() -> handler.item(JOB, CLIENT, new ItemId("i1")))).isEqualTo(503);
    assertThat(status(() -> handler.end(JOB, CLIENT, TIME_LIMIT))).isEqualTo(503);
  }
}
