--------------------------- MODULE StreamVersion ---------------------------
(***************************************************************************)
(* How entries decide at which software version a resumed stream goes on   *)
(* (docs/model.md). Entries list the versions of an upstream in one row of *)
(* the store. Times are ages in ticks that stop counting when they no      *)
(* longer matter, so that runs of any length are checked.                  *)
(* A row of which it is not known that it lists all versions (incomplete)  *)
(* is as one that also lists an unknown version that has left.             *)
(*                                                                         *)
(* What entries take from the registry is left open: any of them may list  *)
(* any version, or mark it as left, at any time. A conditional write has   *)
(* an effect only if the row is the one that its writer has read, so that  *)
(* a write on its way equals one that is computed when it takes effect,    *)
(* but for the time in it. An entry that is cut off takes none of the      *)
(* steps that use the store. Instances of all versions can be reached all  *)
(* the time.                                                               *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
  Entries, Versions, Streams, None,
  Life,               \* a caller resumes a stream this long after it began or went on, or never
  Margin,             \* an entry relies on its view of the row for this long
  WriteTicks,         \* the time in a row is up to this much earlier than the write takes effect
  ReadTicks,          \* an entry decides this long after a resumption arrived, or refuses it
  Window,             \* a version that left counts for this long
  MaxRestores,        \* how often the store is restored from an older copy
  Merges,             \* a row is only replaced by a writer that has read it; FALSE: a restored store gives row versions
                      \* out again, so that a writer may replace a row that it has not seen
  LifeFromFirst,      \* Life counts from the stream's begin also after it went on
  CheckResumption,    \* a stream goes on only where it could begin
  ConditionalWrite,   \* FALSE is a fault: a write replaces a row of its generation that its writer has not read
  WriteBeforeUse,     \* FALSE is a fault: a stream begins at a version that is not listed as serving
  BoundedAge,         \* FALSE is a fault: views of any age are relied on
  CurrentGeneration,  \* FALSE is a fault: rows of an earlier generation of the store are relied on
  ResponseGeneration, \* FALSE is a fault: a row is compared with the generation known to the entry, not with that of
                      \* the response it came in
  FreshRead,          \* FALSE is a fault: the row is taken from the entry's view
  CountLeft,          \* FALSE is a fault: versions that left do not count
  CompleteLater,      \* FALSE is a fault: the first row of a generation is taken to list all versions at once
  KeepWay             \* whether the model keeps by which way a stream went on last

VARIABLES
  generation, \* of the store
  row,        \* generation of its writer, state per version, and ticks until it is known to list all versions
  record,     \* per stream, the version in its record in the store, or None
  view,       \* per entry, what it knows of the row and for how long
  memory,     \* per entry and stream, the version that it remembers, or None
  stream      \* per stream: stage, version it began at and runs at, age, and the entry that is to resume it

vars == <<generation, row, record, view, memory, stream>>

\* States of a version in the row; those between count down from when it left.
Unlisted == 0
Serving == Window + 2
LeftFor(ticks) == Window + 1 - ticks
Later(ticks) == IF ticks > 0 THEN ticks - 1 ELSE 0
Aged(ticks, limit) == IF ticks <= limit THEN ticks + 1 ELSE ticks

\* The generation and the single version matter only to the faults that rely on them.
NoView == [serving |-> {}, age |-> 0, generation |-> None, single |-> None]
View(serving, age, known, single) ==
  [serving |-> serving, age |-> IF serving = {} THEN 0 ELSE age,
   generation |-> IF ResponseGeneration THEN None ELSE known, single |-> IF FreshRead THEN None ELSE single]
NotBegun == [stage |-> "new", began |-> None, runs |-> None, age |-> 0, by |-> "none", entry |-> None, waited |-> 0]
Over == [NotBegun EXCEPT !.stage = "over"]

Init ==
  /\ generation = 0
  /\ row = [generation |-> 0, state |-> [v \in Versions |-> Unlisted], incomplete |-> 0]
  /\ record = [s \in Streams |-> None]
  /\ view = [e \in Entries |-> NoView]
  /\ memory = [e \in Entries |-> [s \in Streams |-> None]]
  /\ stream = [s \in Streams |-> NotBegun]

----------------------------------------------------------------------------
(* The row *)

ServingIn(current) ==
  IF CurrentGeneration /\ row.generation # current THEN {} ELSE {v \in Versions : row.state[v] = Serving}

\* The version that all streams began at which can still be resumed, or None if it is not known.
SingleIn(current) ==
  LET within == {v \in Versions : IF CountLeft THEN row.state[v] # Unlisted ELSE row.state[v] = Serving}
  IN  IF (CurrentGeneration /\ row.generation # current) \/ row.incomplete > 0 \/ Cardinality(within) # 1
      THEN None
      ELSE CHOOSE v \in within : TRUE

List(v) ==
  /\ row.generation = generation /\ row.state[v] # Serving
  /\ \E unread \in IF ConditionalWrite THEN {{}} ELSE SUBSET (Versions \ {v}) :
       row' = [row EXCEPT !.state = [w \in Versions |-> CASE w = v -> Serving
                                                           [] w \in unread -> Unlisted
                                                           [] OTHER -> @[w]]]
  /\ UNCHANGED <<generation, record, view, memory, stream>>

MarkLeft(v) ==
  /\ row.state[v] = Serving
  /\ \E ticks \in 0..WriteTicks : row' = [row EXCEPT !.state[v] = LeftFor(ticks)]
  /\ UNCHANGED <<generation, record, view, memory, stream>>

\* The first row of a generation lists the versions that its writer knows, and those of the row that it replaces.
WriteAgain(serving, ticks) ==
  /\ generation > 0 /\ serving # {}
  /\ Merges => row.generation # generation /\ {v \in Versions : row.state[v] = Serving} \subseteq serving
  /\ \E writer \in IF Merges THEN {generation} ELSE {0, generation} :
       row' = [generation |-> writer,
               state |-> [v \in Versions |-> IF v \in serving THEN Serving
                                             ELSE IF Merges THEN row.state[v] ELSE Unlisted],
               incomplete |-> IF CompleteLater THEN LeftFor(ticks) ELSE 0]
  /\ UNCHANGED <<generation, record, view, memory, stream>>

\* The copy lacks some versions and records, or all.
Restore ==
  /\ generation < MaxRestores /\ generation' = generation + 1
  /\ \E lost \in SUBSET Versions :
       row' = [row EXCEPT !.state = [v \in Versions |-> IF v \in lost THEN Unlisted ELSE @[v]]]
  /\ \E lost \in SUBSET Streams : record' = [s \in Streams |-> IF s \in lost THEN None ELSE record[s]]
  /\ UNCHANGED <<view, memory, stream>>

----------------------------------------------------------------------------
(* The entries *)

Follow(e) ==
  /\ view' = [view EXCEPT ![e] = View(ServingIn(generation), 0, generation, SingleIn(generation))]
  /\ UNCHANGED <<generation, row, record, memory, stream>>

\* The entry is killed and restarts. A resumption that waits at it may be sent again.
Kill(e) ==
  /\ view' = [view EXCEPT ![e] = NoView]
  /\ memory' = [memory EXCEPT ![e] = [s \in Streams |-> None]]
  /\ stream' = [s \in Streams |-> IF stream[s].entry = e
                                  THEN [stream[s] EXCEPT !.stage = "open", !.entry = None, !.waited = 0]
                                  ELSE stream[s]]
  /\ UNCHANGED <<generation, row, record>>

Usable(e, v) == v \in view[e].serving

Begin(e, s, v) ==
  /\ stream[s].stage = "new"
  /\ WriteBeforeUse => Usable(e, v)
  /\ stream' = [stream EXCEPT ![s].stage = "open", ![s].began = v, ![s].runs = v]
  /\ memory' = [memory EXCEPT ![e][s] = v]
  /\ UNCHANGED <<generation, row, record, view>>

\* An entry stores records while the row alone does not tell the version.
StoreRecord(e, s) ==
  /\ memory[e][s] # None /\ record[s] = None
  /\ SingleIn(generation) = None
  /\ record' = [record EXCEPT ![s] = memory[e][s]]
  /\ UNCHANGED <<generation, row, view, memory, stream>>

\* The stream has broken, and its caller resumes it at any entry.
Resume(e, s) ==
  /\ stream[s].stage = "open" /\ stream[s].age <= Life
  /\ stream' = [stream EXCEPT ![s].stage = "asked", ![s].entry = e]
  /\ UNCHANGED <<generation, row, record, view, memory>>

Refuse(s) ==
  /\ stream[s].stage = "asked"
  /\ stream' = [stream EXCEPT ![s].stage = "open", ![s].entry = None, ![s].waited = 0]
  /\ UNCHANGED <<generation, row, record, view, memory>>

SingleFor(e) ==
  IF ~FreshRead THEN view[e].single
  ELSE IF ResponseGeneration THEN SingleIn(generation)
  ELSE SingleIn(view[e].generation)

GoOn(e, s, v, by) ==
  /\ v # None
  /\ CheckResumption => Usable(e, v)
  /\ stream' = [stream EXCEPT ![s].stage = "open", ![s].runs = v, ![s].by = IF KeepWay THEN by ELSE "any",
                              ![s].entry = None, ![s].waited = 0,
                              ![s].age = IF LifeFromFirst THEN @ ELSE 0]
  /\ memory' = [memory EXCEPT ![e][s] = v]
  /\ UNCHANGED <<generation, row, record, view>>

Decide(s) ==
  /\ stream[s].stage = "asked" /\ stream[s].waited <= ReadTicks
  /\ LET e == stream[s].entry
         byRow == IF generation = 0 THEN "row" ELSE "row of a restored store"
     IN  CASE memory[e][s] # None -> GoOn(e, s, memory[e][s], "memory")
           [] SingleFor(e) # None -> GoOn(e, s, SingleFor(e), byRow)
           [] OTHER -> GoOn(e, s, record[s], "record")

Tick ==
  /\ row' = [row EXCEPT !.incomplete = Later(@),
                        !.state = [v \in Versions |-> IF @[v] = Serving THEN Serving ELSE Later(@[v])]]
  /\ view' = [e \in Entries |->
       LET age == Aged(view[e].age, Margin)
       IN  View(IF BoundedAge /\ age > Margin THEN {} ELSE view[e].serving, age, view[e].generation, view[e].single)]
  /\ stream' = [s \in Streams |->
       CASE stream[s].stage \in {"new", "over"} -> stream[s]
         [] stream[s].stage = "open" /\ stream[s].age >= Life -> Over
         [] stream[s].stage = "open" -> [stream[s] EXCEPT !.age = @ + 1]
         [] OTHER -> [stream[s] EXCEPT !.age = Aged(@, Life), !.waited = Aged(@, ReadTicks)]]
  /\ UNCHANGED <<generation, record, memory>>

Steps ==
  \/ \E v \in Versions : List(v) \/ MarkLeft(v)
  \/ \E serving \in SUBSET Versions, ticks \in 0..WriteTicks : WriteAgain(serving, ticks)
  \/ Restore \/ Tick
  \/ \E e \in Entries : Follow(e) \/ Kill(e)
  \/ \E e \in Entries, s \in Streams : StoreRecord(e, s) \/ Resume(e, s) \/ \E v \in Versions : Begin(e, s, v)
  \/ \E s \in Streams : Refuse(s) \/ Decide(s)

Next == (\E s \in Streams : stream[s].stage # "over") /\ Steps

Spec == Init /\ [][Next]_vars

(* Entries are interchangeable, and so are versions and streams. *)
Interchangeable == Permutations(Entries) \union Permutations(Versions) \union Permutations(Streams)

----------------------------------------------------------------------------
(* No stream goes on at a version other than the one that began it. *)
OneVersion == \A s \in Streams : stream[s].runs = stream[s].began

(* To be refuted: streams do go on in each of the three ways, and by the row also after a restore. *)
NeverBy(way) == \A s \in Streams : stream[s].by # way
NeverByMemory == NeverBy("memory")
NeverByRow == NeverBy("row")
NeverByRecord == NeverBy("record")
NeverByRowAfterRestore == NeverBy("row of a restored store")
=============================================================================
