----------------------------- MODULE AtMostOnce -----------------------------
(***************************************************************************)
(* Requests that must not run twice, from an entry to an agent to a plain  *)
(* service (docs/design.md, I8 to I10). Every request is non-idempotent.   *)
(* Messages are a set: they may arrive in any order, and a cancel may      *)
(* overtake the submit that it belongs to. A cut connection loses some of  *)
(* them. An answer consists of two chunks and a Finished message.          *)
(***************************************************************************)
EXTENDS Naturals, Sequences, FiniteSets, TLC

CONSTANTS
  Requests,      \* request ids; each is handled by an entry of its own
  Agents,
  MaxAttempts,   \* attempts per request
  MaxFaults,     \* agent crashes and cut connections in all
  Keyed,         \* the requests are repeats with one idempotency key, else they are independent and have none
  ClaimFirst,    \* FALSE is a fault: the outcome row is not claimed before the run
  RecordFirst,   \* FALSE is a fault: the agent does not record a request id before the run
  KeepCancels,   \* FALSE is a fault: a cancel that arrives before its submit is not remembered
  ProofOnly,     \* FALSE is a fault: a lost connection is retried like a "not run"
  MatchById,     \* FALSE is a fault: an answer goes to any request that waits
  CheckWhole     \* FALSE is a fault: an answer is taken as whole when its connection closes

VARIABLES
  entry,   \* per request: state, attempt, agent and its incarnation, chunks received, cancel sent
  claim,   \* outcome row of the idempotency key: owner and state
  wire,    \* messages on their way
  agent,   \* per agent: incarnation, queue, recorded ids, cancelled ids
  calls,   \* calls from agents to the service on their way
  ran,     \* per request, how often the service ran it
  refused, \* requests whose caller was told "not run"
  faults

vars == <<entry, claim, wire, agent, calls, ran, refused, faults>>

NoClaim == [owner |-> "none", state |-> "absent"]
Waiting(r) == entry[r].state = "submitted"

Init ==
  /\ entry = [r \in Requests |-> [state |-> "new", attempt |-> 0, agent |-> "none", incarnation |-> 0,
                                  chunks |-> <<>>, cancelled |-> FALSE]]
  /\ claim = NoClaim
  /\ wire = {}
  /\ agent = [a \in Agents |-> [incarnation |-> 1, queue |-> {}, recorded |-> {}, cancelled |-> {}]]
  /\ calls = {}
  /\ ran = [r \in Requests |-> 0]
  /\ refused = {}
  /\ faults = 0

Message(type, r, attempt, a, incarnation, n) ==
  [type |-> type, request |-> r, attempt |-> attempt, agent |-> a, incarnation |-> incarnation, n |-> n]

FromEntry(type, r) ==
  Message(type, r, entry[r].attempt, entry[r].agent, entry[r].incarnation, 0)

----------------------------------------------------------------------------
(* The entry *)

\* Claims the outcome row. The claim's answer may be lost: the entry then reads the row back and finds its own request
\* id, which is the same state. The row is never claimed over another request's claim.
Claim(r) ==
  /\ Keyed /\ ClaimFirst /\ entry[r].state = "new"
  /\ IF claim = NoClaim
     THEN /\ claim' = [owner |-> r, state |-> "open"]
          /\ entry' = [entry EXCEPT ![r].state = "ready"]
     ELSE /\ entry' = [entry EXCEPT ![r].state = CASE claim.state = "done" -> "replayed"
                                                   [] OTHER -> "outcome unknown"]
          /\ UNCHANGED claim
  /\ UNCHANGED <<wire, agent, calls, ran, refused, faults>>

Submit(r) ==
  /\ \/ entry[r].state = "ready"
     \/ entry[r].state = "new" /\ (~Keyed \/ ~ClaimFirst)
  /\ entry[r].attempt < MaxAttempts
  /\ \E a \in Agents :
       LET next == [entry[r] EXCEPT !.state = "submitted", !.attempt = @ + 1, !.agent = a,
                                    !.incarnation = agent[a].incarnation, !.chunks = <<>>, !.cancelled = FALSE]
       IN  /\ entry' = [entry EXCEPT ![r] = next]
           /\ wire' = wire \union {Message("Submit", r, next.attempt, a, next.incarnation, 0)}
  /\ UNCHANGED <<claim, agent, calls, ran, refused, faults>>

\* The entry gives up an attempt and waits for the agent's word.
Cancel(r) ==
  /\ Waiting(r) /\ ~entry[r].cancelled
  /\ entry' = [entry EXCEPT ![r].cancelled = TRUE]
  /\ wire' = wire \union {FromEntry("Cancel", r)}
  /\ UNCHANGED <<claim, agent, calls, ran, refused, faults>>

\* No attempt is left, and the last one is proved not to have run. The claim is dropped, so that a repeat may run.
Refuse(r) ==
  /\ entry[r].state = "ready"
  /\ entry' = [entry EXCEPT ![r].state = "refused"]
  /\ refused' = refused \union {r}
  /\ claim' = IF claim.owner = r THEN NoClaim ELSE claim
  /\ UNCHANGED <<wire, agent, calls, ran, faults>>

\* The connection was lost, or the caller's deadline passed without the agent's word.
Lost(r) ==
  /\ Waiting(r)
  /\ agent[entry[r].agent].incarnation # entry[r].incarnation \/ entry[r].cancelled
  /\ entry' = [entry EXCEPT ![r].state =
       IF ~CheckWhole /\ entry[r].chunks # <<>> THEN "done"
       ELSE IF ProofOnly THEN "outcome unknown" ELSE "ready"]
  /\ UNCHANGED <<claim, wire, agent, calls, ran, refused, faults>>

\* A message belongs to the attempt that waits for it; all others are dropped.
Mine(m, r) ==
  /\ Waiting(r)
  /\ IF MatchById
     THEN /\ m.request = r /\ m.attempt = entry[r].attempt
          /\ m.agent = entry[r].agent /\ m.incarnation = entry[r].incarnation
     ELSE m.agent = entry[r].agent

ReceiveNotRun(m, r) ==
  /\ m.type = "NotRun" /\ Mine(m, r)
  /\ entry' = [entry EXCEPT ![r].state = "ready"]
  /\ UNCHANGED claim

ReceiveChunk(m, r) ==
  /\ m.type = "Chunk" /\ Mine(m, r)
  /\ m.n = Len(entry[r].chunks)
  /\ entry' = [entry EXCEPT ![r].chunks = Append(@, <<m.request, m.n>>)]
  /\ UNCHANGED claim

ReceiveFinished(m, r) ==
  /\ m.type = "Finished" /\ Mine(m, r)
  /\ CheckWhole => m.n = Len(entry[r].chunks)
  /\ entry' = [entry EXCEPT ![r].state = "done"]
  /\ claim' = IF claim.owner = r THEN [claim EXCEPT !.state = "done"] ELSE claim

EntryReceives(m) ==
  /\ \E r \in Requests : ReceiveNotRun(m, r) \/ ReceiveChunk(m, r) \/ ReceiveFinished(m, r)
  /\ wire' = wire \ {m}
  /\ UNCHANGED <<agent, calls, ran, refused, faults>>

----------------------------------------------------------------------------
(* The agent *)

Reply(m, type, n) == Message(type, m.request, m.attempt, m.agent, m.incarnation, n)
ToAgent(m) == m.type \in {"Submit", "Cancel"} /\ m.incarnation = agent[m.agent].incarnation

Accept(m) ==
  /\ m.type = "Submit" /\ ToAgent(m)
  /\ m.request \notin agent[m.agent].recorded
  /\ <<m.request, m.attempt>> \notin agent[m.agent].cancelled
  /\ agent' = [agent EXCEPT ![m.agent].queue = @ \union {<<m.request, m.attempt>>}]
  /\ wire' = wire \ {m}

\* A submit is refused because of load, or because its attempt was cancelled before it arrived.
Reject(m) ==
  /\ m.type = "Submit" /\ ToAgent(m)
  /\ m.request \notin agent[m.agent].recorded
  /\ wire' = (wire \ {m}) \union {Reply(m, "NotRun", 0)}
  /\ UNCHANGED agent

\* A queued attempt leaves the queue; an attempt that has not arrived is remembered; one that runs goes on.
ReceiveCancel(m) ==
  /\ m.type = "Cancel" /\ ToAgent(m)
  /\ LET id == <<m.request, m.attempt>>
         state == agent[m.agent]
     IN  IF m.request \in state.recorded
         THEN /\ wire' = wire \ {m}
              /\ UNCHANGED agent
         ELSE /\ wire' = (wire \ {m}) \union {Reply(m, "NotRun", 0)}
              /\ agent' = [agent EXCEPT ![m.agent].queue = @ \ {id},
                                        ![m.agent].cancelled = IF KeepCancels THEN @ \union {id} ELSE @]

AgentReceives(m) ==
  /\ Accept(m) \/ Reject(m) \/ ReceiveCancel(m)
  /\ UNCHANGED <<entry, claim, calls, ran, refused, faults>>

\* Records the request id and calls the service.
Start(a) ==
  /\ \E id \in agent[a].queue :
       /\ agent' = [agent EXCEPT ![a].queue = @ \ {id},
                                 ![a].recorded = IF RecordFirst THEN @ \union {id[1]} ELSE @]
       /\ calls' = calls \union {Message("Call", id[1], id[2], a, agent[a].incarnation, 0)}
  /\ UNCHANGED <<entry, claim, wire, ran, refused, faults>>

\* The service runs a call also when its agent is gone; the answer then goes nowhere.
Run(c) ==
  /\ calls' = calls \ {c}
  /\ ran' = [ran EXCEPT ![c.request] = @ + 1]
  /\ wire' = IF c.incarnation = agent[c.agent].incarnation
             THEN wire \union {Reply(c, "Chunk", 0), Reply(c, "Chunk", 1), Reply(c, "Finished", 2)}
             ELSE wire
  /\ UNCHANGED <<entry, claim, agent, refused, faults>>

Crash(a) ==
  /\ faults < MaxFaults /\ faults' = faults + 1
  /\ agent' = [agent EXCEPT ![a] = [incarnation |-> @.incarnation + 1, queue |-> {}, recorded |-> {},
                                    cancelled |-> {}]]
  /\ wire' = {m \in wire : m.agent # a \/ m.type \notin {"Submit", "Cancel"}}
  /\ UNCHANGED <<entry, claim, calls, ran, refused>>

\* A message is lost with its connection; the rest of the connection's messages may still arrive or be lost later.
Lose(m) ==
  /\ faults < MaxFaults /\ faults' = faults + 1
  /\ wire' = wire \ {m}
  /\ UNCHANGED <<entry, claim, agent, calls, ran, refused>>

Next ==
  \/ \E r \in Requests : Claim(r) \/ Submit(r) \/ Cancel(r) \/ Refuse(r) \/ Lost(r)
  \/ \E m \in wire : EntryReceives(m) \/ AgentReceives(m) \/ Lose(m)
  \/ \E a \in Agents : Start(a) \/ Crash(a)
  \/ \E c \in calls : Run(c)

Spec == Init /\ [][Next]_vars

(* Requests are interchangeable, and so are agents. *)
Interchangeable == Permutations(Requests) \union Permutations(Agents)

----------------------------------------------------------------------------
Total[S \in SUBSET Requests] ==
  IF S = {} THEN 0 ELSE LET r == CHOOSE x \in S : TRUE IN ran[r] + Total[S \ {r}]

(* I10: a request runs at most once, and so do all repeats with one key together. *)
AtMostOnce ==
  /\ \A r \in Requests : ran[r] <= 1
  /\ Keyed => Total[Requests] <= 1

(* I9: a request that was refused as "not run" has not run, and never does. *)
NotRunIsTrue == \A r \in refused : ran[r] = 0

(* I8: an answer that a caller takes as whole is the whole answer to its own request. *)
AnswerIsWhole == \A r \in Requests : entry[r].state = "done" => entry[r].chunks = <<<<r, 0>>, <<r, 1>>>>
AnswerIsOwn == \A r \in Requests : \A i \in 1..Len(entry[r].chunks) : entry[r].chunks[i][1] = r
=============================================================================
