------------------------------- MODULE Claim -------------------------------
(* Claims of one idempotency key in one slot of the store.                  *)
(*                                                                          *)
(* An attempt is one delivery of the request, at any instance: the caller   *)
(* may resend at any time. An instance that is frozen takes no step until   *)
(* it wakes, which every interleaving covers; a write that is late lands at *)
(* any later step, and one that is lost never lands.                        *)
(* The constants named Broken... switch on faults that must be found.       *)
EXTENDS Naturals, FiniteSets

CONSTANTS
    Attempts,          \* deliveries of the request
    OtherBody,         \* those of them that carry another body
    MaxRevision,       \* bound on the slot's revisions
    MaxWrites,         \* bound on the writes that an attempt sends
    MaxSends,          \* bound on the sends of an attempt, for the broken retry
    BrokenNoClaim,     \* sends without a claim
    BrokenTakeOver,    \* claims again what another attempt holds open
    BrokenRefusal,     \* says "not run" after a connection reset
    BrokenRetry,       \* sends again after a connection reset
    BrokenBlindWrite   \* writes without comparing the revision

VARIABLES
    revision,  \* the slot's revision
    record,    \* the key's record in the slot
    network,   \* writes on their way to the store
    replies,   \* replies of the store
    step,      \* where each attempt is
    want,      \* what each attempt wants to write
    known,     \* the slot as each attempt knows it
    pending,   \* each attempt's write without a reply
    writes,    \* how many writes each attempt has sent
    told,      \* what each delivery's caller was told
    wire,      \* sends on their way to an endpoint
    runs,      \* how often each attempt's request ran
    billed,    \* attempts whose bill was ever durable
    late       \* whether the deadline has passed

vars == <<revision, record, network, replies, step, want, known, pending, writes, told, wire, runs, billed, late>>

None == "none"
BodyOf(a) == IF a \in OtherBody THEN "other" ELSE "body"
RecordStates == {"open", "answered", "unknown", "withdrawn"}
NoRecord == [state |-> None, owner |-> None, body |-> None]
RecordOf(a, s) == [state |-> s, owner |-> a, body |-> BodyOf(a)]
Records == {NoRecord} \cup {RecordOf(a, s) : a \in Attempts, s \in RecordStates}
Revisions == 0..MaxRevision
Known == [revision : Revisions, record : Records]
Free(r) == r.state \in {None, "withdrawn"}
TellNothing == [verdict |-> None, owner |-> None]
Tell(v) == [verdict |-> v, owner |-> None]
TellAnswer(owner) == [verdict |-> "answer", owner |-> owner]

TypeOK ==
    /\ revision \in Revisions
    /\ record \in Records
    /\ network \subseteq [attempt : Attempts, number : 1..MaxWrites, base : Revisions, record : Records]
    /\ replies \subseteq [attempt : Attempts, number : 1..MaxWrites, done : BOOLEAN, slot : Known]
    /\ step \in [Attempts -> {"read", "decide", "wait", "granted", "sent", "unknown", "end", "dead"}]
    /\ want \in [Attempts -> {"claim", "answered", "unknown", "withdrawn"}]
    /\ known \in [Attempts -> Known]
    /\ pending \in [Attempts -> Known]
    /\ writes \in [Attempts -> 0..MaxWrites]
    /\ told \in [Attempts -> [verdict : {None, "notRun", "mayHaveRun", "answer"}, owner : Attempts \cup {None}]]
    /\ wire \in [Attempts -> 0..MaxSends]
    /\ runs \in [Attempts -> 0..MaxSends]
    /\ billed \subseteq Attempts
    /\ late \in BOOLEAN

Nothing == [revision |-> 0, record |-> NoRecord]

Init ==
    /\ revision = 0
    /\ record = NoRecord
    /\ network = {}
    /\ replies = {}
    /\ step = [a \in Attempts |-> "read"]
    /\ want = [a \in Attempts |-> "claim"]
    /\ known = [a \in Attempts |-> Nothing]
    /\ pending = [a \in Attempts |-> Nothing]
    /\ writes = [a \in Attempts |-> 0]
    /\ told = [a \in Attempts |-> TellNothing]
    /\ wire = [a \in Attempts |-> 0]
    /\ runs = [a \in Attempts |-> 0]
    /\ billed = {}
    /\ late = FALSE

----------------------------------------------------------------------------
(* The committer of the slot *)

\* SlotCommitter.readSlot
Read(a) ==
    /\ step[a] = "read"
    /\ known' = [known EXCEPT ![a] = [revision |-> revision, record |-> record]]
    /\ step' = [step EXCEPT ![a] = "decide"]
    /\ UNCHANGED <<revision, record, network, replies, want, pending, writes, told, wire, runs, billed, late>>

SendWrite(a, base, r) ==
    /\ writes[a] < MaxWrites
    /\ writes' = [writes EXCEPT ![a] = @ + 1]
    /\ network' = network \cup {[attempt |-> a, number |-> writes[a] + 1, base |-> base, record |-> r]}

\* SlotCommitter.write: one compare-and-swap
Write(a, r) ==
    /\ SendWrite(a, known[a].revision, r)
    /\ pending' = [pending EXCEPT ![a] = [revision |-> known[a].revision, record |-> r]]
    /\ step' = [step EXCEPT ![a] = "wait"]
    /\ UNCHANGED <<revision, record, replies, want, known, told, wire, runs, billed, late>>

\* SlotCommitter.write with mayHaveTakenEffect: the same compare-and-swap on the same revision again
RepeatCommit(a) ==
    /\ step[a] = "wait"
    /\ SendWrite(a, pending[a].revision, pending[a].record)
    /\ replies' = {r \in replies : r.attempt # a}
    /\ UNCHANGED <<revision, record, step, want, known, pending, told, wire, runs, billed, late>>

\* Whether the reply to a write is still waited for
Awaited(m) == step[m.attempt] = "wait" /\ m.number = writes[m.attempt]

\* KeyValueStore.compareAndSwap takes effect or conflicts, at any time after it was sent. Writes that can only conflict
\* and whose replies nobody waits for are left out, as they change nothing.
Land(m) ==
    LET swaps == BrokenBlindWrite \/ m.base = revision
        next == IF swaps THEN revision + 1 ELSE revision
        value == IF swaps THEN m.record ELSE record
        reply == [attempt |-> m.attempt, number |-> m.number, done |-> swaps,
                  slot |-> [revision |-> next, record |-> value]]
    IN  /\ swaps => revision < MaxRevision
        /\ network' = {o \in network \ {m} : BrokenBlindWrite \/ o.base >= next \/ Awaited(o)}
        /\ revision' = next
        /\ record' = value
        /\ replies' = IF Awaited(m) THEN replies \cup {reply} ELSE replies
        /\ billed' = IF value.state = "answered" THEN billed \cup {value.owner} ELSE billed
        /\ UNCHANGED <<step, want, known, pending, writes, told, wire, runs, late>>

\* another instance commits records of other keys to the same slot
OtherCommit ==
    /\ revision < MaxRevision
    /\ revision' = revision + 1
    /\ UNCHANGED <<record, network, replies, step, want, known, pending, writes, told, wire, runs, billed, late>>

Wanted(a) == IF want[a] = "claim" THEN "open" ELSE want[a]

StepAfterCommit(a) ==
    IF want[a] = "claim" THEN "granted" ELSE IF want[a] = "unknown" THEN "unknown" ELSE "end"

\* SlotCommitter.write gets its reply; SlotCommitter.handleConflict. Replies to earlier repeats are ignored.
Receive(a, m) ==
    /\ step[a] = "wait"
    /\ m.attempt = a
    /\ m.number = writes[a]
    /\ replies' = replies \ {m}
    /\ known' = [known EXCEPT ![a] = m.slot]
    /\ pending' = [pending EXCEPT ![a] = Nothing]
    /\ step' = [step EXCEPT ![a] =
            IF m.done /\ pending[a].record.state = Wanted(a) THEN StepAfterCommit(a) ELSE "decide"]
    /\ UNCHANGED <<revision, record, network, want, writes, told, wire, runs, billed, late>>

----------------------------------------------------------------------------
(* The rules of claims *)

End(a, t) ==
    /\ step' = [step EXCEPT ![a] = "end"]
    /\ told' = [told EXCEPT ![a] = t]
    /\ UNCHANGED <<revision, record, network, replies, want, known, pending, writes, wire, runs, billed, late>>

Go(a, s) ==
    /\ step' = [step EXCEPT ![a] = s]
    /\ UNCHANGED <<revision, record, network, replies, want, known, pending, writes, told, wire, runs, billed, late>>

\* ClaimRules.claim, and ClaimService.awaitOutcome where it reads again
Claim(a) ==
    LET r == known[a].record
    IN  /\ step[a] = "decide"
        /\ want[a] = "claim"
        /\ CASE Free(r) -> Write(a, RecordOf(a, "open"))
             [] ~Free(r) /\ r.owner = a -> Go(a, "granted")
             [] ~Free(r) /\ r.owner # a /\ r.body # BodyOf(a) -> End(a, Tell("notRun"))
             [] ~Free(r) /\ r.owner # a /\ r.body = BodyOf(a) /\ r.state = "answered" -> End(a, TellAnswer(r.owner))
             [] ~Free(r) /\ r.owner # a /\ r.body = BodyOf(a) /\ r.state = "unknown" -> End(a, Tell("mayHaveRun"))
             [] OTHER -> IF BrokenTakeOver THEN Write(a, RecordOf(a, "open"))
                         ELSE IF late THEN End(a, Tell("mayHaveRun")) ELSE Go(a, "read")

\* ClaimRules.settle: SettleAnswered, SettleUnknown and Withdraw, by what is wanted
Settle(a) ==
    LET r == known[a].record
        mayFollow == r.state = "open" \/ (r.state = "unknown" /\ want[a] = "answered")
    IN  /\ step[a] = "decide"
        /\ want[a] # "claim"
        /\ IF r.owner = a /\ mayFollow THEN Write(a, RecordOf(a, want[a])) ELSE Go(a, StepAfterCommit(a))

\* SlotCommitter.timeOut: the caller is refused, and what may have been written is taken back
GiveUp(a) ==
    /\ want[a] = "claim"
    /\ step[a] \in {"read", "decide", "wait"}
    /\ told' = [told EXCEPT ![a] = Tell("notRun")]
    /\ want' = [want EXCEPT ![a] = "withdrawn"]
    /\ step' = [step EXCEPT ![a] = IF @ = "wait" THEN "wait" ELSE "end"]
    /\ UNCHANGED <<revision, record, network, replies, known, pending, writes, wire, runs, billed, late>>

\* ClaimTicket.startSend
Send(a) ==
    /\ step[a] = "granted" \/ (BrokenNoClaim /\ step[a] = "read")
    /\ ~late
    /\ wire[a] + runs[a] < MaxSends
    /\ wire' = [wire EXCEPT ![a] = @ + 1]
    /\ step' = [step EXCEPT ![a] = "sent"]
    /\ UNCHANGED <<revision, record, network, replies, want, known, pending, writes, told, runs, billed, late>>

\* ClaimService.settle with Outcome.NotRun before a send, past the deadline or for want of an endpoint
Withdraw(a) ==
    /\ step[a] = "granted"
    /\ told' = [told EXCEPT ![a] = Tell("notRun")]
    /\ want' = [want EXCEPT ![a] = "withdrawn"]
    /\ step' = [step EXCEPT ![a] = "decide"]
    /\ UNCHANGED <<revision, record, network, replies, known, pending, writes, wire, runs, billed, late>>

\* ClaimService.settle with Outcome.Answered, on time or after an unknown outcome was recorded.
\* The caller gets the answer whether its record is durable yet or not.
SettleAnswered(a) ==
    /\ step[a] \in {"sent", "unknown"}
    /\ runs[a] > 0
    /\ told' = [told EXCEPT ![a] = IF step[a] = "sent" THEN TellAnswer(a) ELSE @]
    /\ want' = [want EXCEPT ![a] = "answered"]
    /\ step' = [step EXCEPT ![a] = "decide"]
    /\ UNCHANGED <<revision, record, network, replies, known, pending, writes, wire, runs, billed, late>>

\* ClaimService.settle with Outcome.Unknown: the connection was reset, or the answer did not come in time
SettleUnknown(a) ==
    /\ step[a] = "sent"
    /\ IF BrokenRetry
       THEN /\ step' = [step EXCEPT ![a] = "granted"]
            /\ UNCHANGED <<told, want>>
       ELSE /\ told' = [told EXCEPT ![a] = Tell(IF BrokenRefusal THEN "notRun" ELSE "mayHaveRun")]
            /\ want' = [want EXCEPT ![a] = IF BrokenRefusal THEN "withdrawn" ELSE "unknown"]
            /\ step' = [step EXCEPT ![a] = "decide"]
    /\ UNCHANGED <<revision, record, network, replies, known, pending, writes, wire, runs, billed, late>>

----------------------------------------------------------------------------
(* The world *)

\* an endpoint runs a request that reached it; one that never runs was lost
Run(a) ==
    /\ wire[a] > 0
    /\ wire' = [wire EXCEPT ![a] = @ - 1]
    /\ runs' = [runs EXCEPT ![a] = @ + 1]
    /\ UNCHANGED <<revision, record, network, replies, step, want, known, pending, writes, told, billed, late>>

\* the attempt's instance dies; its writes and sends on their way go on
Crash(a) ==
    /\ step[a] \notin {"end", "dead"}
    /\ step' = [step EXCEPT ![a] = "dead"]
    /\ known' = [known EXCEPT ![a] = Nothing]
    /\ pending' = [pending EXCEPT ![a] = Nothing]
    /\ replies' = {r \in replies : r.attempt # a}
    /\ UNCHANGED <<revision, record, network, want, writes, told, wire, runs, billed, late>>

Deadline ==
    /\ ~late
    /\ late' = TRUE
    /\ UNCHANGED <<revision, record, network, replies, step, want, known, pending, writes, told, wire, runs, billed>>

Next ==
    \/ \E a \in Attempts :
        \/ Read(a) \/ RepeatCommit(a) \/ Claim(a) \/ Settle(a) \/ GiveUp(a) \/ Send(a) \/ Withdraw(a)
        \/ SettleAnswered(a) \/ SettleUnknown(a) \/ Run(a) \/ Crash(a)
        \/ \E m \in replies : Receive(a, m)
    \/ \E m \in network : Land(m)
    \/ OtherCommit
    \/ Deadline

Spec == Init /\ [][Next]_vars

----------------------------------------------------------------------------
(* What must always hold *)

RECURSIVE Sum(_, _)
Sum(f, s) == IF s = {} THEN 0 ELSE LET a == CHOOSE x \in s : TRUE IN f[a] + Sum(f, s \ {a})

AtMostOnce == Sum(runs, Attempts) <= 1

NotRunIsTrue == \A a \in Attempts : told[a].verdict = "notRun" => runs[a] = 0 /\ wire[a] = 0

BilledAtMostOnce == Cardinality(billed) <= 1 /\ \A a \in billed : runs[a] = 1

RecordedAnswerIsOwn ==
    \A a \in Attempts : told[a].verdict = "answer" =>
        /\ told[a].owner \in Attempts
        /\ runs[told[a].owner] > 0
        /\ BodyOf(told[a].owner) = BodyOf(a)
=============================================================================
