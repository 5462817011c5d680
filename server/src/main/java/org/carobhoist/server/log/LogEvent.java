package org.carobhoist.server.log;

/** The numbered events of the log. {@code docs/EVENTS.md} describes each of them. */
public enum LogEvent {
  /** A process has started. */
  STARTED(1001, "process started"),
  /** A process started its planned stop. */
  STOPPING(1002, "planned stop started"),
  /** A process has stopped. */
  STOPPED(1003, "process stopped"),
  /** A task of the decision loop, or a callback, threw an exception. */
  DECISION_FAILED(1004, "decision task failed"),
  /** The settings file was compared with the settings in use; changes apply at the next start. */
  SETTINGS_READ(1005, "settings file checked for changes"),
  /** A process failed to start. */
  START_FAILED(1100, "process start failed"),
  /** A planned stop didn't complete. */
  STOP_FAILED(1101, "planned stop failed"),
  /** A link was established. */
  LINK_UP(2001, "link up"),
  /** A link was closed. */
  LINK_DOWN(2002, "link down"),
  /** A frame could not be decoded or was unexpected, and was dropped. */
  FRAME_DROPPED(2003, "frame dropped"),
  /** A connection opened by this process did not become a link. */
  LINK_NOT_UP(2004, "link setup failed"),
  /** Nothing was received on a link for too long; the link is closed. */
  LINK_SILENT(2100, "link timed out"),
  /** An endpoint started to leave; it is drained. */
  ENDPOINT_LEAVING(2101, "endpoint leaving"),
  /** An endpoint's phase changed after a probe. */
  ENDPOINT_PHASE(2102, "endpoint phase"),
  /** A request was refused or failed. */
  REQUEST_REFUSED(3001, "request refused"),
  /** A request is retried. */
  REQUEST_RETRIED(3002, "request retried"),
  /**
   * A home view of the sidecar's service was read. It lists the sidecars among which the
   * caller-generated keys of the service are distributed.
   */
  HOME_VIEW(3101, "home view read"),
  /** A home view is appended to the log. */
  HOME_VIEW_APPENDED(3102, "home view appended"),
  /** The append of a home view failed; it is unknown whether it took effect. */
  HOME_VIEW_UNKNOWN(3103, "home view append outcome unknown"),
  /** An entry removes a home that it can't reach from the view. */
  HOME_REMOVED(3104, "unreachable home removed from view"),
  /** A step started at this entry. */
  STEP_STARTED(4001, "step started"),
  /** An attempt at a sample failed. */
  SAMPLE_FAILED(4002, "sample attempt failed"),
  /** A trainer has received every group of a step. */
  STEP_FINISHED(4101, "step finished"),
  /** The platform's log can't be read. */
  LOG_UNREACHABLE(5001, "platform log unreachable"),
  /** A change of a profile took effect. */
  PROFILE_IN_FORCE(5002, "profile change applied"),
  /** A change of a profile in the log had no effect. */
  PROFILE_VOID(5003, "profile change not applied"),
  /** A record of the log can't be decoded and is skipped. */
  RECORD_SKIPPED(5004, "log record skipped"),
  /** The platform's instance list can't be read. */
  LIST_UNREACHABLE(5005, "instance list unreachable"),
  /** The process has a configuration and can serve requests. */
  CONFIG_READY(5100, "configuration ready"),
  /** The platform's log can be read again. */
  LOG_REACHABLE(5101, "platform log reachable again"),
  /** The whole configuration was replaced by a snapshot. */
  SNAPSHOT_INSTALLED(5102, "snapshot installed"),
  /** A snapshot is appended to the log. */
  SNAPSHOT_APPENDED(5103, "snapshot appended"),
  /** A peer's configuration can't originate from the same log. */
  PEER_DISAGREES(5104, "peer configuration diverged"),
  /** A weight swap made progress. */
  SWAP(6001, "weight swap"),
  /** A request of a client was served. */
  REQUEST_SERVED(7001, "request served"),
  /** An attempt failed and may have been executed by the server. */
  ATTEMPT_FAILED(7002, "attempt failed"),
  /** A call was refused before any attempt. */
  CALL_REFUSED(7003, "call refused"),
  /** A request is sent on a connection of its own, because its server had its id before. */
  REQUEST_ID_REPEATED(7004, "request sent to its server again"),
  /** A response isn't the one that its connection awaits; the connection is closed. */
  RESPONSE_UNEXPECTED(7005, "unexpected response"),
  /** A server sent bytes on a connection that awaits no response. */
  BYTES_UNAWAITED(7006, "bytes without a request"),
  /** A response consists of parts of several responses. */
  RESPONSE_JOINED(7007, "joined responses"),
  /** Each request to a server gets a connection of its own for some time. */
  CONNECTIONS_NOT_REUSED(7008, "connections not reused"),
  /** A connection of a client is closed because of a limit. */
  CONNECTION_REFUSED(7009, "client connection closed"),
  /** A server sent a response that isn't valid HTTP/1.1; the connection is closed. */
  RESPONSE_MALFORMED(7010, "malformed response"),
  /** A job was accepted and is in the store. */
  JOB_ACCEPTED(7101, "job accepted"),
  /** A job was refused, or it is unknown whether the store has it. */
  JOB_REFUSED(7102, "job not accepted"),
  /** A job was read from the store. */
  JOB_KNOWN(7103, "job read from store"),
  /** A job has ended. */
  JOB_ENDED(7104, "job ended"),
  /** A read failed because current data could not be obtained from the store. */
  READ_UNSURE(7105, "read failed without current store data"),
  /** The records of a job are written again, because it is unknown whether they were stored. */
  STORE_TRIED_AGAIN(7106, "store write retried"),
  /** A job was started that is not in the store yet. */
  JOB_RUNS_EARLY(7108, "job started before it is stored"),
  /** A job isn't started before it is stored, because the memory for that is short. */
  JOB_AWAITS_STORE(7111, "job not started before it is stored"),
  /** A request to end a job was answered. */
  END_ANSWERED(7109, "request to end a job answered"),
  /** Entries of results were read from the store. */
  ENTRIES_READ(7110, "result entries read"),
  /** A second result record was read for an item of a job. */
  LISTED_AGAIN(7107, "duplicate result record for an item"),
  /** An item was assigned to an engine. */
  ITEM_PLACED(7201, "item placed"),
  /** A run ended without a result; its item was requeued. */
  ITEM_WAITS_AGAIN(7202, "item requeued"),
  /** A run was removed from its engine. */
  RUN_MOVED(7203, "run removed from its engine"),
  /** The result of an item could not be built or published. */
  RESULT_UNPUBLISHED(7213, "result not published"),
  /** A result of an earlier job was reused for an item. */
  RESULT_REUSED(7204, "result of an earlier job reused"),
  /** An item was given up. */
  ITEM_GIVEN_UP(7205, "item given up"),
  /** A run of an item ended at the process that executed it. */
  RUN_ENDED(7206, "run ended"),
  /** An order of an earlier coordinator was ignored. */
  OLD_TERM_IGNORED(7207, "order of an older term ignored"),
  /** Items are waiting for an engine. */
  ITEMS_WAIT(7208, "items waiting for an engine"),
  /** A new coordinator has read the unfinished texts in the store. */
  UNFINISHED_TEXTS_READ(7209, "unfinished texts read"),
  /** A new coordinator couldn't read the unfinished texts. */
  UNFINISHED_TEXTS_UNREAD(7210, "unfinished texts not read"),
  /** The coordinator couldn't store unfinished texts. */
  UNFINISHED_TEXTS_UNSTORED(7211, "unfinished texts not stored"),
  /** A text was dropped because no engine has the only weight version that it may continue with. */
  TEXT_DROPPED(7212, "text dropped"),
  /** An engine was ordered to load weights. */
  ENGINE_ORDERED(7301, "engine ordered to load weights"),
  /** An engine didn't accept an order. */
  ENGINE_ORDER_FAILED(7302, "order not accepted by engine"),
  /** An engine's report couldn't be read. */
  ENGINE_REPORT_FAILED(7303, "engine report failed"),
  /** A trainer published a weight version. */
  VERSION_NAMED(7304, "weight version published"),
  /** This process acquired the coordinator's lease. */
  LEASE_TAKEN(7401, "coordinator lease acquired"),
  /** This process no longer holds the coordinator's lease. */
  LEASE_LOST(7402, "coordinator lease lost"),
  /** This process could not start the duties of the coordinator and releases the lease. */
  LEASE_UNUSED(7409, "coordinator not started"),
  /** The lease has a different holder. */
  LEASE_SEEN(7403, "coordinator lease changed"),
  /** A peer is no longer reachable. */
  PEER_LOST(7404, "peer lost"),
  /** The membership record of this process couldn't be written. */
  MEMBER_WRITE_FAILED(7405, "membership record not written"),
  /** A late write of a former run replaced the membership record, which is written again. */
  MEMBER_RECORD_REPLACED(7408, "membership record replaced"),
  /** This process is too slow to coordinate and hands the lease over. */
  LEASE_HANDED_OVER(7406, "coordinator lease handed over"),
  /** The estimated limit of an endpoint changed by a third or more. */
  CAPACITY_CHANGED(7407, "endpoint limit changed"),
  /** A manifest took effect. */
  MANIFEST_IN_FORCE(7501, "manifest applied"),
  /** A shard of the store can't be read. */
  SHARD_LOST(7502, "shard unreadable"),
  /** A shard of the store can be read again. */
  SHARD_REGAINED(7503, "shard readable again"),
  /** The store can't be reached directly. */
  STORE_PATH_LOST(7504, "direct path to the store lost"),
  /** The store can be reached directly again. */
  STORE_PATH_REGAINED(7505, "direct path to the store restored"),
  /** All newest records of a shard were read. */
  SHARD_WALKED(7508, "shard scan completed"),
  /** Reading all newest records of a shard was abandoned. */
  SHARD_WALK_FAILED(7509, "shard scan abandoned"),
  /** A server is no longer in the registry. */
  ENDPOINT_GONE(7506, "endpoint gone"),
  /** A server reported in a response that it is leaving. */
  ENDPOINT_SAID_LEAVING(7507, "endpoint reported that it is leaving"),
  /** A reward call returned a score. */
  REWARD_SCORED(7601, "reward call answered"),
  /** An attempt of a reward call failed. */
  REWARD_TRY_FAILED(7602, "reward call attempt failed"),
  /** A reward call was given up; the text gets no score. */
  REWARD_GIVEN_UP(7603, "reward call given up"),
  /** The counts of a usage window are passed to the store. */
  USAGE_DECIDED(7701, "usage window decided"),
  /** The platform accepted a usage report. */
  USAGE_REPORTED(7702, "usage window reported"),
  /** A usage report got no usable answer and will be repeated. */
  USAGE_UNANSWERED(7703, "usage report unanswered"),
  /** The platform has seen a higher fencing number than that of this process. */
  USAGE_FENCED(7704, "usage reports fenced");

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
