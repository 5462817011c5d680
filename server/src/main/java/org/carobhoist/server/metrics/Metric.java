package org.carobhoist.server.metrics;

/** The metrics of all roles; documented in {@code docs/METRICS.md}. */
public enum Metric {
  /** Callers' requests that have ended. */
  REQUESTS("carobhoist.requests", "", "callers' requests that have ended"),
  /** Time from a request's arrival to the end of its response. */
  REQUEST_TIME("carobhoist.request", "", "time from a request's arrival to its answer's end"),
  /** Retries: attempts after a request's first one. */
  RETRIES("carobhoist.retries", "", "attempts after the first one of a request"),
  /** Samples delivered to trainers. */
  SAMPLES_DELIVERED("carobhoist.samples.delivered", "", "samples handed over to trainers"),
  /** Links that are up. */
  LINKS("carobhoist.links", "", "links that are up"),
  /** Attempts of calls in flight. */
  CALLS("carobhoist.calls", "", "attempts of calls in flight"),
  /** Steps that this entry coordinates. */
  STEPS("carobhoist.steps", "", "steps that this entry coordinates"),
  /** Attempts at samples in flight. */
  SAMPLES_IN_FLIGHT("carobhoist.samples.in.flight", "", "attempts at samples in flight"),
  /** Requests running at the endpoint. */
  RUNNING("carobhoist.endpoint.running", "", "requests that run at the endpoint"),
  /** Requests queued for the endpoint. */
  QUEUED("carobhoist.endpoint.queued", "", "requests that wait for the endpoint"),
  /** Current concurrency limit of the endpoint. */
  LIMIT("carobhoist.endpoint.limit", "", "concurrency limit of the endpoint"),
  /** Attempts and samples held for trainers. */
  SAMPLES_HELD("carobhoist.samples.held", "", "attempts and samples held for trainers"),
  /** Revision of the configuration in force. */
  REVISION("carobhoist.config.revision", "", "revision of the configuration in force"),
  /** Queueing delay of the last probe on the decision loop. */
  LOOP_LAG("carobhoist.loop.lag", "seconds", "wait of the last probe on the decision loop"),
  /** Whether this process is the active coordinator. */
  COORDINATES("carobhoist.coordinates", "", "1 while this process coordinates, else 0"),
  /** Job items waiting for an engine. */
  ITEMS_WAITING("carobhoist.items.waiting", "", "items of jobs that wait for an engine"),
  /** Reward calls that have not ended. */
  REWARD_CALLS("carobhoist.reward.calls", "", "reward calls that have not ended"),
  /** Bytes held for requests and responses in transit. */
  HELD_BYTES("carobhoist.held", "bytes", "bytes held for requests and responses in transit"),
  /** Pauses of the reception of a body, because memory was short. */
  BODY_PAUSES("carobhoist.body.pauses", "", "pauses of the reception of a body"),
  /** Requests refused because their body was not received to its end, by cause. */
  BODY_REFUSALS("carobhoist.body.refusals", "", "bodies that were not received to their end"),
  /** Estimated limit of each endpoint; 0 if it fails its requests. */
  CAPACITY_LIMIT(
      "carobhoist.capacity.limit", "", "requests in progress above which an endpoint slows down"),
  /** Expected latency of each endpoint below its limit; 0 if unknown. */
  CAPACITY_LATENCY(
      "carobhoist.capacity.latency", "seconds", "expected latency of an endpoint below its limit"),
  /** Open connections of clients. */
  CONNECTIONS("carobhoist.connections", "", "open connections of clients"),
  /** Connections closed because of a limit, by cause. */
  CONNECTION_REFUSALS("carobhoist.connection.refusals", "", "connections closed for a limit"),
  /** Usage windows that this process has reported. */
  USAGE_REPORTED("carobhoist.usage.windows.reported", "", "usage windows reported by this process"),
  /** Usage windows whose report was accepted after it was due. */
  USAGE_LATE("carobhoist.usage.windows.late", "", "usage windows reported after they were due"),
  /** Usage windows whose report was sent more than once. */
  USAGE_REPEATED("carobhoist.usage.windows.repeated", "", "usage windows sent more than once"),
  /** Usage windows that have ended and have no decision. */
  USAGE_UNDECIDED("carobhoist.usage.windows.undecided", "", "usage windows ended, not decided"),
  /** Log lines dropped because the output didn't keep up and the queue was full. */
  LOG_DROPPED("carobhoist.log.dropped", "", "lines of the log left out, the queue being full"),
  /** Log events, by number. */
  EVENTS("carobhoist.events", "", "log events"),
  /** Memory used by the JVM. */
  MEMORY("carobhoist.jvm.memory.used", "bytes", "memory that the JVM uses");

  private final String id;
  private final String unit;
  private final String meaning;

  Metric(String id, String unit, String meaning) {
    this.id = id;
    this.unit = unit;
    this.meaning = meaning;
  }

  /** Returns the Micrometer name, separated by dots; the registry converts it to its own format. */
  public String id() {
    return id;
  }

  /** Returns the base unit, or an empty string. */
  public String unit() {
    return unit;
  }

  /** Returns a description of the metric. */
  public String meaning() {
    return meaning;
  }
}
