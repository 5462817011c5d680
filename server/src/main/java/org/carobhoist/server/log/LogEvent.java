package org.carobhoist.server.log;

/** The numbered events of the log; {@code docs/EVENTS.md} is their catalogue. */
public enum LogEvent {
  /** A process has started. */
  STARTED(1001, "process started"),
  /** A process begins its planned stop. */
  STOPPING(1002, "planned stop begins"),
  /** A process has stopped. */
  STOPPED(1003, "process stopped"),
  /** A task of the decision loop threw. */
  DECISION_FAILED(1004, "decision task failed"),
  /** The settings file was read again. */
  SETTINGS_READ(1005, "settings read again"),
  /** A process couldn't start. */
  START_FAILED(1100, "process start failed"),
  /** A planned stop didn't run to its end. */
  STOP_FAILED(1101, "planned stop failed"),
  /** A link is up. */
  LINK_UP(2001, "link up"),
  /** A link is down. */
  LINK_DOWN(2002, "link down"),
  /** A frame could not be understood. */
  FRAME_DROPPED(2003, "frame dropped"),
  /** A connection that this process made has brought no link. */
  LINK_NOT_UP(2004, "link not up"),
  /** Nothing was heard on a link for too long; it is closed. */
  LINK_SILENT(2100, "link silent"),
  /** An endpoint begins to leave; it is drained. */
  ENDPOINT_LEAVING(2101, "endpoint leaving"),
  /** An endpoint's phase changed after a probe. */
  ENDPOINT_PHASE(2102, "endpoint phase"),
  /** A request was refused or failed. */
  REQUEST_REFUSED(3001, "request refused"),
  /** A request is sent again. */
  REQUEST_RETRIED(3002, "request retried"),
  /** A home view of the sidecar's service has been read. */
  HOME_VIEW(3101, "home view read"),
  /** A home view is appended to the log. */
  HOME_VIEW_APPENDED(3102, "home view appended"),
  /** Nobody knows whether a home view was appended. */
  HOME_VIEW_UNKNOWN(3103, "home view append unanswered"),
  /** An entry takes a home that it can't reach out of the view. */
  HOME_REMOVED(3104, "unreachable home removed from view"),
  /** A step begins at this entry. */
  STEP_STARTED(4001, "step started"),
  /** An attempt at a sample failed. */
  SAMPLE_FAILED(4002, "sample attempt failed"),
  /** A trainer holds every group of a step. */
  STEP_FINISHED(4101, "step finished"),
  /** The platform's log can't be read. */
  LOG_UNREACHABLE(5001, "platform log unreachable"),
  /** A change of a profile is in force. */
  PROFILE_IN_FORCE(5002, "profile change in force"),
  /** A change of a profile is void. */
  PROFILE_VOID(5003, "profile change void"),
  /** A record of the log can't be understood and is skipped. */
  RECORD_SKIPPED(5004, "log record skipped"),
  /** The platform's instance list can't be read. */
  LIST_UNREACHABLE(5005, "instance list unreachable"),
  /** The process has a configuration and may serve. */
  CONFIG_READY(5100, "configuration ready"),
  /** The platform's log can be read again. */
  LOG_REACHABLE(5101, "platform log reachable again"),
  /** The whole configuration was taken from a snapshot. */
  SNAPSHOT_INSTALLED(5102, "snapshot installed"),
  /** A snapshot is appended to the log. */
  SNAPSHOT_APPENDED(5103, "snapshot appended"),
  /** A peer's configuration can't belong to the same log. */
  PEER_DISAGREES(5104, "peer's configuration disagrees"),
  /** A weight swap went a step on. */
  SWAP(6001, "weight swap"),
  /** A request of a client was served. */
  REQUEST_SERVED(7001, "request served"),
  /** An attempt at a server failed after it may have run. */
  ATTEMPT_FAILED(7002, "attempt failed"),
  /** A call was refused before any attempt. */
  CALL_REFUSED(7003, "call refused"),
  /** A job is in the store. */
  JOB_ACCEPTED(7101, "job accepted"),
  /** A job was refused, or it isn't known whether the store has it. */
  JOB_REFUSED(7102, "job not accepted"),
  /** A job has become known from the store. */
  JOB_KNOWN(7103, "job known"),
  /** A job has ended. */
  JOB_ENDED(7104, "job ended"),
  /** A read can't be answered for want of news from the store. */
  READ_UNSURE(7105, "read can't be answered"),
  /** A record of a job is stored again, since it isn't known to be there. */
  STORE_TRIED_AGAIN(7106, "store tried again"),
  /** A job runs that the store doesn't have yet. */
  JOB_RUNS_EARLY(7108, "job runs before it is stored"),
  /** The end of a job was answered. */
  END_ANSWERED(7109, "end of a job answered"),
  /** Entries of results were read from the store. */
  ENTRIES_READ(7110, "entries of results read"),
  /** A second record lists an item of a job. */
  LISTED_AGAIN(7107, "item listed a second time"),
  /** An item has been given to an engine. */
  ITEM_PLACED(7201, "item placed"),
  /** A run ended without a result; its item waits again. */
  ITEM_WAITS_AGAIN(7202, "item waits again"),
  /** A run is taken off its engine. */
  RUN_MOVED(7203, "run taken off its engine"),
  /** A result of a former job stands for an item again. */
  RESULT_REUSED(7204, "result of a former job listed"),
  /** An item is given up. */
  ITEM_GIVEN_UP(7205, "item given up"),
  /** A run has ended at its runner. */
  RUN_ENDED(7206, "run ended"),
  /** An order of an older coordinator was ignored. */
  OLD_TERM_IGNORED(7207, "order of an older term ignored"),
  /** Items wait for an engine. */
  ITEMS_WAIT(7208, "items wait for an engine"),
  /** An engine was ordered to load weights. */
  ENGINE_ORDERED(7301, "engine ordered to load"),
  /** An engine didn't take an order. */
  ENGINE_ORDER_FAILED(7302, "order not taken by engine"),
  /** An engine's report couldn't be read. */
  ENGINE_REPORT_FAILED(7303, "engine report failed"),
  /** A trainer has named a weight version. */
  VERSION_NAMED(7304, "weight version named"),
  /** This process holds the coordinator's lease. */
  LEASE_TAKEN(7401, "coordinator lease taken"),
  /** This process no longer holds the coordinator's lease. */
  LEASE_LOST(7402, "coordinator lease lost"),
  /** Another holder of the lease was seen. */
  LEASE_SEEN(7403, "coordinator lease changed"),
  /** A peer can't be reached any more. */
  PEER_LOST(7404, "peer lost"),
  /** This process's record for the others couldn't be written. */
  MEMBER_WRITE_FAILED(7405, "membership record not written"),
  /** This process is too slow to coordinate. */
  LEASE_HANDED_OVER(7406, "coordinator lease handed over"),
  /** A manifest is in force. */
  MANIFEST_IN_FORCE(7501, "manifest in force"),
  /** A shard of the store can't be read. */
  SHARD_LOST(7502, "shard unreadable"),
  /** A shard of the store can be read again. */
  SHARD_REGAINED(7503, "shard readable again"),
  /** The store can't be reached directly. */
  STORE_PATH_LOST(7504, "direct path to the store lost"),
  /** The store can be reached directly again. */
  STORE_PATH_REGAINED(7505, "direct path to the store regained"),
  /** All newest records of a shard were read. */
  SHARD_WALKED(7508, "shard read whole"),
  /** Reading all newest records of a shard was given up. */
  SHARD_WALK_FAILED(7509, "reading of a shard given up"),
  /** A server is gone from the registry. */
  ENDPOINT_GONE(7506, "endpoint gone"),
  /** A server said in an answer that it leaves. */
  ENDPOINT_SAID_LEAVING(7507, "endpoint says that it leaves"),
  /** A reward call brought a score. */
  REWARD_SCORED(7601, "reward call answered"),
  /** A try of a reward call failed. */
  REWARD_TRY_FAILED(7602, "reward call failed"),
  /** No score will come for a text. */
  REWARD_GIVEN_UP(7603, "reward call given up");

  private final int number;
  private final String text;

  LogEvent(int number, String text) {
    this.number = number;
    this.text = text;
  }

  /** Returns the event's number, which never changes. */
  public int number() {
    return number;
  }

  /** Returns the event's text. */
  public String text() {
    return text;
  }
}
