------------------------------- MODULE Lease -------------------------------
(***************************************************************************)
(* The lease, and the orders and usage reports that its holder sends       *)
(* (docs/design.md, I6 and I7). Time is a global count of ticks, and no    *)
(* clock is compared between processes: a holder counts its lease from     *)
(* before it sent the write, and a successor counts from when it first saw *)
(* the row, or from the store's time in it (StoreTime). Its clock may be   *)
(* fast by up to MaxDrift over that time.                                  *)
(*                                                                         *)
(* A pause needs no action of its own: a process may let any amount of     *)
(* time pass between two of its steps. Only the step from the last lease   *)
(* check to the send is bounded, unless PauseBeforeSend is TRUE.           *)
(*                                                                         *)
(* A read of a row and the sending of a conditional write are one step:    *)
(* the write has an effect only if the row has not changed since, so a     *)
(* delay between the two equals a delay of the write on its way.           *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
  Procs,            \* processes that compete for the lease
  MaxTime,          \* last tick
  MaxEpoch,         \* terms of the lease
  MaxWrites,        \* writes of the lease row that take effect
  MaxOrders,        \* orders recorded in all
  LeaseTicks,       \* length of the lease
  Margin,           \* the holder stops this long before the expiry
  Deadline,         \* an order or report is delivered this soon after it is sent, or never
  Wait,             \* a successor waits this long beyond the lease
  MaxDrift,         \* how much the clocks of two processes differ over that time
  StoreTime,        \* rows bear the store's time of their sending, and a successor counts from that
  StoreLag,         \* fault: that time is this much too early, as after a suspension of the writer
  Figures,          \* figures that a process may compute for the usage window
  Resigns,          \* processes may stop as planned
  PauseBeforeSend,  \* a process may pause between its last check and the send
  ChecksEpoch,      \* the receiver of orders refuses an epoch below one that it has seen
  CountFromAnswer,  \* fault: the lease counts from the answer to the renewal
  RecordFirst,      \* FALSE is a fault: orders are not recorded before they are sent
  FreezeFirst       \* FALSE is a fault: a report carries the figure that its sender computed

VARIABLES
  now, fast,
  row,      \* lease row: version, holder, epoch, write id (process and send time), and when the write took effect
  writes,   \* writes of the lease row on their way
  pending,  \* per process, the write whose result it waits for and whether it took effect, or None
  proc,     \* per process: epoch held last, believes until, messages sent in it, time of resigning or Never
  order,    \* order row: epoch and number
  frozen,   \* frozen figure of the usage window, 0 when absent
  job,      \* per process, what it is about to send
  msgs,     \* orders and reports on their way
  maxEpoch, applied, used, reported, \* what the receiver has seen
  overlap, lateOverlap, regress      \* what the receiver should never see

vars == <<now, fast, row, writes, pending, proc, order, frozen, job, msgs,
          maxEpoch, applied, used, reported, overlap, lateOverlap, regress>>
leaseVars == <<row, writes, pending, proc>>
receiverVars == <<maxEpoch, applied, used, reported, overlap, lateOverlap, regress>>

None == [none |-> TRUE]
Never == MaxTime + 1
NoJob == [stage |-> "none"]

Init ==
  /\ now = 0
  /\ fast \in [Procs -> {0, MaxDrift}]
  /\ row = [version |-> 0, holder |-> None, epoch |-> 0, sentAt |-> 0, at |-> 0]
  /\ writes = {}
  /\ pending = [p \in Procs |-> None]
  /\ proc = [p \in Procs |-> [epoch |-> 0, until |-> 0, sent |-> 0, resigned |-> Never]]
  /\ order = [epoch |-> 0, number |-> 0]
  /\ frozen = 0
  /\ job = [p \in Procs |-> NoJob]
  /\ msgs = {}
  /\ maxEpoch = 0 /\ applied = [epoch |-> 0, number |-> 0]
  /\ used = {} /\ reported = {}
  /\ overlap = FALSE /\ lateOverlap = FALSE /\ regress = FALSE

Believes(p) == proc[p].epoch > 0 /\ now < proc[p].until

----------------------------------------------------------------------------
(* The lease *)

SendWrite(p, epoch, holder) ==
  LET w == [by |-> p, version |-> row.version, epoch |-> epoch, holder |-> holder, sentAt |-> now]
  IN  /\ row.version < MaxWrites /\ Cardinality(writes) < 2
      /\ writes' = writes \union {w}
      /\ pending' = [pending EXCEPT ![p] = [write |-> w, done |-> FALSE]]
      /\ UNCHANGED <<row, proc>>

\* A process that saw the row later than at the earliest moment takes it later, which is one of the steps here too.
MayTake(p) ==
  \/ row.holder \in {None, p}
  \/ ~StoreTime /\ now - row.at + fast[p] >= LeaseTicks + Wait
  \/ StoreTime /\ now + StoreLag + fast[p] >= row.sentAt + LeaseTicks + Wait

Take(p) ==
  /\ pending[p] = None /\ ~Believes(p) /\ proc[p].resigned = Never
  /\ MayTake(p)
  /\ row.epoch < MaxEpoch
  /\ SendWrite(p, row.epoch + 1, p)

Renew(p) ==
  /\ pending[p] = None /\ Believes(p)
  /\ row.holder = p /\ row.epoch = proc[p].epoch
  /\ now > row.sentAt
  /\ SendWrite(p, proc[p].epoch, p)

\* A process that stops ends its term, and gives the row up once every message that it sent has passed its deadline.
Resign(p) ==
  /\ Resigns /\ Believes(p)
  /\ proc' = [proc EXCEPT ![p].until = now, ![p].resigned = now]
  /\ UNCHANGED <<row, writes, pending>>

Release(p) ==
  /\ pending[p] = None /\ proc[p].resigned # Never
  /\ now > proc[p].resigned + Deadline
  /\ row.holder = p
  /\ SendWrite(p, row.epoch, None)

\* The table applies a write. Every other write on its way was sent for the same version; it will be refused, and is
\* removed here already.
Apply(w) ==
  /\ writes' = {}
  /\ row' = [version |-> row.version + 1, holder |-> w.holder, epoch |-> w.epoch, sentAt |-> w.sentAt,
             at |-> now]
  /\ pending' = [pending EXCEPT ![w.by] = IF @ # None /\ @.write = w THEN [write |-> w, done |-> TRUE] ELSE @]
  /\ UNCHANGED proc

Adopt(p, w) ==
  LET start == IF CountFromAnswer THEN now ELSE w.sentAt
  IN  proc' = [proc EXCEPT ![p].epoch = w.epoch,
                           ![p].until = start + LeaseTicks - Margin,
                           ![p].sent = IF w.epoch = proc[p].epoch THEN @ ELSE 0]

\* The process learns that its write took effect, from the answer or, when that was lost, by reading the row back. It
\* may learn so after others have changed the row again.
Learn(p) ==
  /\ pending[p] # None /\ pending[p].done
  /\ IF pending[p].write.holder = p /\ proc[p].resigned = Never THEN Adopt(p, pending[p].write) ELSE UNCHANGED proc
  /\ pending' = [pending EXCEPT ![p] = None]
  /\ UNCHANGED <<row, writes>>

\* The process gives up waiting: the write was refused or lost, or it is slow and may still take effect.
GiveUp(p) ==
  /\ pending[p] # None /\ ~pending[p].done
  /\ pending' = [pending EXCEPT ![p] = None]
  /\ UNCHANGED <<row, writes, proc>>

LeaseStep ==
  /\ \/ \E p \in Procs :
          Take(p) \/ Renew(p) \/ Resign(p) \/ Release(p) \/ Learn(p) \/ GiveUp(p)
     \/ \E w \in writes : Apply(w)
  /\ UNCHANGED <<now, fast, order, frozen, job, msgs>> /\ UNCHANGED receiverVars

----------------------------------------------------------------------------
(* Orders and reports *)

Record(p) ==
  /\ job[p] = NoJob /\ Believes(p)
  /\ order.number < MaxOrders /\ order.epoch <= proc[p].epoch
  /\ LET number == IF RecordFirst THEN order.number + 1 ELSE proc[p].sent + 1
     IN  /\ number <= MaxOrders
         /\ job' = [job EXCEPT ![p] = [stage |-> "ready", kind |-> "order", epoch |-> proc[p].epoch,
                                       value |-> number]]
         /\ order' = IF RecordFirst THEN [epoch |-> proc[p].epoch, number |-> number] ELSE order
  /\ UNCHANGED <<frozen, msgs>>

Freeze(p) ==
  /\ FreezeFirst /\ frozen = 0 /\ Believes(p)
  /\ frozen' \in Figures
  /\ UNCHANGED <<order, job, msgs>>

\* One report a term is enough to show two figures.
PrepareReport(p) ==
  /\ job[p] = NoJob /\ Believes(p) /\ proc[p].sent = 0
  /\ \E figure \in IF FreezeFirst THEN {frozen} \ {0} ELSE Figures :
       job' = [job EXCEPT ![p] = [stage |-> "ready", kind |-> "report", epoch |-> proc[p].epoch, value |-> figure]]
  /\ UNCHANGED <<order, frozen, msgs>>

\* The check of the lease before a send. The previous message must have been answered or have passed its deadline.
Check(p) ==
  /\ job[p].stage = "ready"
  /\ Believes(p) /\ job[p].epoch = proc[p].epoch
  /\ ~\E m \in msgs : m.by = p
  /\ job' = [job EXCEPT ![p] = [stage |-> "checked", kind |-> @.kind, epoch |-> @.epoch, value |-> @.value,
                                checkedAt |-> now]]
  /\ UNCHANGED <<order, frozen, msgs>>

Discard(p) ==
  /\ job[p].stage = "ready" /\ ~Believes(p)
  /\ job' = [job EXCEPT ![p] = NoJob]
  /\ UNCHANGED <<order, frozen, msgs>>

Prepare ==
  /\ \E p \in Procs :
       Check(p) \/ Discard(p) \/ (IF MaxOrders > 0 THEN Record(p) ELSE Freeze(p) \/ PrepareReport(p))
  /\ UNCHANGED <<now, fast>> /\ UNCHANGED leaseVars /\ UNCHANGED receiverVars

Send(p) ==
  /\ job[p].stage = "checked"
  /\ msgs' = msgs \union {[by |-> p, kind |-> job[p].kind, epoch |-> job[p].epoch, value |-> job[p].value,
                           checkedAt |-> job[p].checkedAt, sentAt |-> now]}
  /\ proc' = [proc EXCEPT ![p].sent = @ + 1]
  /\ job' = [job EXCEPT ![p] = NoJob]
  /\ UNCHANGED <<now, fast, row, writes, pending, order, frozen>> /\ UNCHANGED receiverVars

----------------------------------------------------------------------------
(* The receiver *)

Late(m) == now > m.checkedAt + Deadline

\* Another process has sent something in its current term and believes that it holds the lease, or a later term was
\* already heard of.
Overlaps(m) ==
  \/ \E q \in Procs \ {m.by} : Believes(q) /\ proc[q].sent > 0
  \/ m.epoch < maxEpoch

Older(m) ==
  \/ m.epoch < applied.epoch
  \/ m.epoch = applied.epoch /\ m.value < applied.number

Deliver(m) ==
  /\ msgs' = msgs \ {m}
  /\ overlap' = (overlap \/ (Overlaps(m) /\ ~Late(m)))
  /\ lateOverlap' = (lateOverlap \/ (Overlaps(m) /\ Late(m)))
  /\ maxEpoch' = IF m.epoch > maxEpoch THEN m.epoch ELSE maxEpoch
  /\ IF m.kind = "report"
     THEN /\ reported' = reported \union {m.value}
          /\ UNCHANGED <<applied, used, regress>>
     ELSE /\ UNCHANGED reported
          /\ used' = used \union {<<m.epoch, m.value>>}
          /\ IF ChecksEpoch /\ m.epoch < maxEpoch
             THEN UNCHANGED <<applied, regress>>
             ELSE /\ regress' = (regress \/ Older(m))
                  /\ applied' = [epoch |-> m.epoch, number |-> m.value]
  /\ UNCHANGED <<now, fast, order, frozen, job>> /\ UNCHANGED leaseVars

Lose(m) ==
  /\ now = m.sentAt + Deadline
  /\ msgs' = msgs \ {m}
  /\ UNCHANGED <<now, fast, order, frozen, job>> /\ UNCHANGED leaseVars /\ UNCHANGED receiverVars

Tick ==
  /\ now < MaxTime
  /\ \A m \in msgs : now < m.sentAt + Deadline
  /\ PauseBeforeSend \/ \A p \in Procs : job[p].stage # "checked"
  /\ now' = now + 1
  /\ UNCHANGED <<fast, order, frozen, job, msgs>> /\ UNCHANGED leaseVars /\ UNCHANGED receiverVars

Next ==
  \/ Tick \/ LeaseStep \/ Prepare
  \/ \E p \in Procs : Send(p)
  \/ \E m \in msgs : Deliver(m) \/ Lose(m)

Spec == Init /\ [][Next]_vars

(* Processes are interchangeable. *)
Interchangeable == Permutations(Procs)

----------------------------------------------------------------------------
(* I6 and I7, for every message that arrives at most Deadline after its last lease check. *)
OneHolder == ~overlap

(* I6 and I7 without that restriction: holds only when no process pauses between its check and the send. *)
OneHolderEvenLate == ~overlap /\ ~lateOverlap

(* At a receiver that checks epochs, no order is applied after a later one, however late it arrives. *)
NoOlderOrder == ~regress

(* A number names one order, also across terms, because it is recorded before it is sent. *)
NumberedOnce == \A a, b \in used : a[2] = b[2] => a = b

(* I7: no window is reported with two figures. *)
OneFigure == Cardinality(reported) <= 1
=============================================================================
