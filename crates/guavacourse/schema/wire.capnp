@0xd6a1f0c3b7e94a25;

# Messages between the processes of guavacourse. Every process serves one Node
# as its bootstrap capability.

interface Node {
  # Returns the capability for exchanging the configuration with this process.
  peer @0 () -> (peer :Peer);

  # Returns the capability for making leaf calls on a relay. Fails on an entry.
  relay @1 () -> (relay :Relay);

  # Returns the capability for running actions whose tickets this entry minted.
  # Fails on a relay.
  handover @2 () -> (handover :Handover);

  # Returns the capability for following the platform's registry through this
  # process. Fails on a process that does not follow the registry.
  feed @3 () -> (feed :Feed);

  # Returns the capability for delegating queries to this process. Fails on a
  # process that does not run queries for peers.
  queries @4 () -> (queries :Queries);

  # Returns the capability for exchanging the use of quotas with this process.
  # Fails on a process that keeps no quotas.
  exchange @5 () -> (exchange :Exchange);
}

struct Summary {
  # State of a process, sent in each exchange.
  name @0 :Text;
  incarnation @1 :UInt64;
  revision @2 :UInt64;
  digest @3 :UInt64;
  leaving @4 :Bool;
  # Fingerprints of request contents that crashed servers, with their age.
  quarantine @5 :List(Quarantine);
  # Time since the revision came into force in this process.
  ageMillis @6 :UInt64;
  # Number of lower or conflicting revisions that were offered and refused.
  refused @7 :UInt64;
  # Hash of the process's copy of the instance list.
  members @8 :UInt64;
  # True if the sender has just learned of a change of members. A peer whose
  # instance list differs then starts an exchange of its own.
  news @9 :Bool;
}

struct Quarantine {
  fingerprint @0 :UInt64;
  ageMillis @1 :UInt64;
}

interface Peer {
  # Exchanges summaries. Each side then fetches what it lacks. The operators'
  # command-line tool sends an empty name.
  exchange @0 (summary :Summary) -> (summary :Summary);

  # Returns the configuration in force, as a delta from `have` if the peer
  # still holds that revision, otherwise as a whole body.
  fetch @1 (have :UInt64) -> (revision :UInt64, digest :UInt64, delta :Bool, body :Data);

  # Offers a configuration that the store has accepted. The operators'
  # command-line tool calls it, so that a store outage right after the acceptance
  # does not delay any process.
  offer @2 (revision :UInt64, digest :UInt64, body :Data) -> ();

  # Returns a JSON array with the process's records of the members in each group
  # whose hash differs from the one given.
  members @3 (digests :List(UInt32)) -> (records :Data);
}

interface Relay {
  # Opens a session. Results are pushed to `sink` until the session is dropped.
  open @0 (entry :Text, incarnation :UInt64, sink :Sink)
      -> (session :Session, relay :Text, incarnation :UInt64);
}

interface Session {
  # Submits the leaf calls of one or more requests.
  submit @0 (parts :List(Part)) -> ();

  # Cancels attempts whose results are no longer needed.
  cancel @1 (attempts :List(UInt64)) -> ();

  # Clears request contents that the relay suspects of crashing leaves: they ran
  # alone on a leaf of another relay without crashing it.
  clear @2 (fingerprints :List(UInt64)) -> ();
}

interface Sink {
  # Delivers the replies of one or more finished attempts.
  deliver @0 (replies :List(Reply)) -> ();

  # Announces that the relay is leaving: it finishes the calls that it has and
  # takes no more.
  leaving @1 () -> ();

  # Announces request contents that crashed backend servers, before the exchange
  # between control threads spreads them.
  quarantine @2 (fingerprints :List(UInt64)) -> ();
}

struct Part {
  # The leaf calls of one request that go to one relay.
  kind @0 :Text;
  worth @1 :UInt32;
  budgetMicros @2 :UInt64;
  # Pinned index version; 0 asks for the newest that the leaf holds.
  version @3 :UInt64;
  epoch @4 :UInt64;
  # Idempotency id of an action; empty for a query.
  action @5 :Text;
  fingerprint @6 :UInt64;
  body @7 :Data;
  calls @8 :List(Call);
  # True if each call must run with nothing else on its leaf, because it retries
  # a call whose connection closed and which may have crashed its leaf.
  alone @9 :Bool;
  # True if no leaf is known to have run the content. A leaf runs one such call
  # with the same content at a time, and the others wait for its outcome.
  first @10 :Bool;
}

struct Call {
  attempt @0 :UInt64;
  leaf @1 :UInt64;
  # True for a hedge or a retry, which the relay may shed before other calls.
  extra @2 :Bool;
}

struct Reply {
  attempt @0 :UInt64;
  # Number of calls that wait for a slot of this leaf; used to choose replicas.
  queued @1 :UInt32;
  serviceMicros @2 :UInt64;
  union {
    rows @3 :Rows;
    notRun @4 :NotRun;
    # It is not known whether the leaf ran the call.
    unknown @5 :Unknown;
    # The leaf does not hold the pinned version or epoch.
    elsewhere @6 :Snapshot;
  }
  # Time after which the leaf, which did not run the call, takes the next one; 0 if it
  # asked for nothing.
  retryMicros @7 :UInt64;
}

struct Snapshot {
  oldest @0 :UInt64;
  newest @1 :UInt64;
  epoch @2 :UInt64;
}

struct Rows {
  version @0 :UInt64;
  newest @1 :UInt64;
  epoch @2 :UInt64;
  from @3 :UInt32;
  until @4 :UInt32;
  # JSON array of rows.
  body @5 :Data;
}

enum NotRun {
  shed @0;
  draining @1;
  unreachable @2;
  expired @3;
  queueFull @4;
  cancelled @5;
  notOwner @6;
  leaving @7;
  quarantined @8;
  ejected @9;
  suspected @10;
  # The leaf asked for fewer calls.
  deferred @11;
}

enum Unknown {
  closed @0;
  timeout @1;
  malformed @2;
  mismatched @3;
  exhausted @4;
}

interface Handover {
  # Runs the action of a ticket that this entry minted, or returns its outcome if
  # it has already run.
  run @0 (ticket :Text, incarnation :UInt64, action :Action) -> (outcome :Outcome);

  # Mints a ticket on behalf of an entry that is leaving.
  mint @1 () -> (ticket :Text);
}

struct Action {
  kind @0 :Text;
  key @1 :UInt32;
  budgetMicros @2 :UInt64;
  body @3 :Data;
  # Idempotency id sent to the leaf; if empty, that of the ticket is used.
  id @4 :Text;
}

struct Outcome {
  union {
    done @0 :Data;
    notRun @1 :Text;
    unknown @2 :Text;
    # The ticket was already used for another request.
    mismatch @3 :Void;
  }
}

interface Feed {
  # Returns the changes after a position in the journal of an incarnation, as soon
  # as there are any, or after `waitMillis` at the latest.
  follow @0 (incarnation :UInt64, sequence :UInt64, waitMillis :UInt32, revision :UInt64, era :UInt64) -> (news :News);
}

struct News {
  # Position of the latest change.
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
  # Revision of the registry that the process has seen.
  revision @2 :UInt64;
  # Time since the process last knew that it was up to date.
  ageMillis @3 :UInt64;
  # True if `changes` is the whole state, false if it is only the changes after
  # the requested position.
  whole @4 :Bool;
  # JSON array of changes.
  changes @5 :Data;
  # Time for which the process waited for changes before this answer.
  heldMillis @6 :UInt64;
  # True if the process cannot read the registry and depends on peers.
  cutOff @7 :Bool;
  # Era of the registry to which the revision belongs; 0 if its answers name none.
  era @8 :UInt64;
}

interface Queries {
  # Runs a query over many shards for a peer. Dropping the call cancels the query.
  run @0 (query :Query) -> (result :Result);

  # Returns once the process has received all calls made before this one. Used as
  # a liveness check.
  ping @1 () -> ();
}

struct Query {
  kind @0 :Text;
  # Version of the configuration that this process must have in force.
  revision @1 :UInt64;
  # Time left for the answer.
  budgetMicros @2 :UInt64;
  # Time that the caller has already waited, plus the travel time of the answer.
  ageMicros @3 :UInt64;
  method @4 :Text;
  target @5 :Text;
  id @6 :Text;
  headers @7 :List(Header);
  body @8 :Data;
  # Indexes of the queried services in the kind's list; if empty, all are queried.
  services @9 :List(UInt16);
  # Minimum fraction of the shards that an answer covers; if negative, that of the
  # kind is used.
  leastCoverage @10 :Float64 = -1;
  # Name of the caller's customer; empty if it has none.
  customer @11 :Text;
  # Hash of who the caller is; 0 if that is not known.
  caller @12 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Result {
  union {
    records @0 :Records;
    # Refused before any call was made; the peer has to run the query another way.
    declined @1 :Declined;
    # Provably not run by any leaf.
    notRun @2 :Text;
    late @3 :Void;
    failed @4 :Void;
    # The reply of the only leaf that the query was for.
    whole @6 :Whole;
  }
  # Time after which a query that was not run may be repeated; 0 if it is not known.
  retryMicros @5 :UInt64;
}

struct Records {
  body @0 :Data;
  signatures @1 :List(Text);
  missing @2 :UInt32;
  # Indexes of the parts' services in the kind's list, in the order of the
  # signatures.
  services @3 :List(UInt16);
}

struct Whole {
  status @0 :UInt16;
  signature @1 :Text;
  # Media type.
  media @2 :Text;
  body @3 :Data;
}

enum Declined {
  # Another version of the configuration is in force in this process.
  revision @0;
  # The process is leaving.
  leaving @1;
  # It already runs its maximum number of queries.
  busy @2;
}

interface Exchange {
  # Exchanges what each side knows of the use of quotas and of the load of leaves.
  # Fails if this process is not the one that the caller should exchange with.
  report @0 (report :UsageReport) -> (report :UsageReport);
}

struct UsageReport {
  # Name of the sender.
  sender @0 :Text;
  # Chosen anew whenever the sender starts to count on this link.
  nonce @1 :UInt64;
  # Number of the report under this nonce, from 1.
  sequence @2 :UInt32;
  # Number of the last report that the sender has received on this link; 0 if none.
  ack @3 :UInt32;
  # Processes that the report covers.
  members @4 :UInt32;
  # Share of a core that the sender may use, in thousandths.
  power @5 :UInt32;
  # True if the caller is the first process of another data centre.
  remote @6 :Bool;
  # True if `usage` names every customer with a quota that was used.
  whole @7 :Bool;
  # True if the levels of the sender rest on a full window of counting.
  settled @8 :Bool;
  # Customers whose use changed since the last report that was acknowledged.
  usage @9 :List(Usage);
  # Only between processes of one data centre.
  observations @10 :List(Observation);
}

struct Usage {
  # Hash of the customer's name.
  customer @0 :UInt64;
  # Requests admitted since the sender started to count on this link.
  admitted @1 :Int64;
  # Requests asked, a second.
  demand @2 :Float32;
  # Usual demand of the processes from which the sender hears nothing.
  silent @3 :Float32;
  # Requests left in the sender's bucket.
  level @4 :Float32;
}

struct Observation {
  # Observation of a leaf.
  leaf @0 :UInt64;
  ageMillis @1 :UInt32;
  running @2 :UInt32;
  waiting @3 :UInt32;
  # 0 if the leaf does not report its load.
  slots @4 :UInt32;
  # 0 if the leaf does not report it.
  pace @5 :UInt32;
  # Fraction of its calls since the last exchange that failed, and their number.
  failures @6 :Float32;
  calls @7 :UInt32;
  # Whether the sender learned it from another process.
  relayed @8 :Bool;
}
