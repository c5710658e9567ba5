------------------------------- MODULE Config -------------------------------
(***************************************************************************)
(* How a change of the configuration is written, spread and accepted, and  *)
(* when an instance may take new work.                                     *)
(*                                                                         *)
(* Time passes in ticks that age all evidence. An outage of the store, a   *)
(* cut, a freeze and a lost message are not actions of their own: each is  *)
(* a stretch in which the actions that it prevents do not happen, while    *)
(* ticks go on.                                                            *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
    Listed,       \* instances in the platform's list: majorities count over them
    Unlisted,     \* instances that run and are not listed yet
    Ops,          \* operators; each makes one change
    W,            \* ticks that evidence lasts from when the question was sent
    Wait,         \* ticks between the moment that a majority held the number and acceptance
    MaxInFlight,  \* answers under way at a time
    MaxRestarts,  \* restarts in all
    Broken        \* the name of one rule left out, or "nothing"

ASSUME Broken \in {"nothing", "acceptedWhenWritten", "noFreshnessCheck", "timeFromArrival", "majorityOfHeard",
                   "olderApplied", "allConfirmedAtOnce", "newStartsCount"}

Nodes == Listed \cup Unlisted
MaxNumber == 1 + Cardinality(Ops)
Numbers == 0..MaxNumber
None == 99
Store == "store"

VARIABLES
    stored,       \* number in the store
    author,       \* who wrote each number
    applied,      \* number that each instance has applied; 0 after a restart
    established,  \* whether this start of the instance has had authority
    incarnation,  \* start of the instance
    readAge,      \* ticks since the latest answered read of the store was sent
    heard,        \* by asker and answerer: number shown and ticks since the question was sent
    inFlight,     \* answers under way
    op,           \* by operator: what it knows of its change
    track,        \* by operator: who has confirmed its change
    accepted,     \* greatest number reported as accepted
    restarts

vars == <<stored, author, applied, established, incarnation, readAge, heard, inFlight, op, track, accepted, restarts>>

Max(a, b) == IF a > b THEN a ELSE b
Min(a, b) == IF a < b THEN a ELSE b
IsMajority(set) == 2 * Cardinality(set \cap Listed) > Cardinality(Listed)

NotHeard == [number |-> 0, age |-> W]
NoTrack == [home |-> None, confirmed |-> [j \in Listed |-> None], marked |-> FALSE, again |-> {}, age |-> 0]

-----------------------------------------------------------------------------
(* Authority *)

HeardFresh(i) == {j \in Listed \ {i} : heard[i][j].age < W}
Agreeing(i) == {j \in HeardFresh(i) : heard[i][j].number <= applied[i]}
               \cup (IF established[i] \/ Broken = "newStartsCount" THEN {i} ELSE {})

MajorityAnswered(i) ==
    IF Broken = "majorityOfHeard"
    THEN 2 * Cardinality(Agreeing(i)) > Cardinality(HeardFresh(i) \cup {i})
    ELSE IsMajority(Agreeing(i))

Fresh(i) ==
    /\ applied[i] > 0
    /\ Broken = "noFreshnessCheck" \/ readAge[i] < W \/ MajorityAnswered(i)

Establish(i) ==
    /\ ~established[i]
    /\ Fresh(i)
    /\ established' = [established EXCEPT ![i] = TRUE]
    /\ UNCHANGED <<stored, author, applied, incarnation, readAge, heard, inFlight, op, track, accepted, restarts>>

-----------------------------------------------------------------------------
(* Questions and answers. A question is sent and answered in one step: if  *)
(* it took longer, its evidence would only lapse earlier. The answer       *)
(* arrives at once, or is one of the few that are under way for a while.   *)

Send(message) ==
    /\ Cardinality(inFlight) < MaxInFlight
    /\ message \notin inFlight
    /\ inFlight' = inFlight \cup {message}

HeartbeatAnswer(i, j) ==
    [to |-> i, from |-> j, number |-> applied[j], established |-> established[j],
     incarnation |-> incarnation[j], age |-> 0, afterMark |-> TRUE]

ReadAnswer(i) ==
    [to |-> i, from |-> Store, number |-> stored, established |-> TRUE,
     incarnation |-> 0, age |-> 0, afterMark |-> TRUE]

AnswerHeartbeat(i, j) ==
    /\ i # j
    /\ Send(HeartbeatAnswer(i, j))
    /\ UNCHANGED <<stored, author, applied, established, incarnation, readAge, heard, op, track, accepted, restarts>>

AnswerRead(i) ==
    /\ Send(ReadAnswer(i))
    /\ UNCHANGED <<stored, author, applied, established, incarnation, readAge, heard, op, track, accepted, restarts>>

Newer(old, new) == IF Broken = "olderApplied" THEN new ELSE Max(old, new)
AgeOf(message) == IF Broken = "timeFromArrival" THEN 0 ELSE message.age

ReceiveRead(m) ==
    /\ m.from = Store
    /\ applied' = [applied EXCEPT ![m.to] = Newer(@, m.number)]
    /\ readAge' = [readAge EXCEPT ![m.to] = Min(@, AgeOf(m))]
    /\ inFlight' = inFlight \ {m}
    /\ UNCHANGED <<stored, author, established, incarnation, heard, op, track, accepted, restarts>>

(* What an answer changes in the record of who has confirmed a change. *)
Confirm(t, o, m) ==
    IF t.home # m.to \/ ~m.established THEN t
    ELSE LET holds == m.number > op[o].base
             same == t.confirmed[m.from] = m.incarnation
         IN [t EXCEPT !.confirmed[m.from] = IF holds THEN m.incarnation ELSE IF same THEN @ ELSE None,
                      !.again = IF ~same THEN @ \ {m.from}
                                ELSE IF t.marked /\ m.afterMark THEN @ \cup {m.from} ELSE @]

ReceiveHeartbeat(m) ==
    /\ m.from # Store
    /\ heard' = IF m.established \/ Broken = "newStartsCount"
                THEN [heard EXCEPT ![m.to][m.from] = [number |-> m.number, age |-> AgeOf(m)]]
                ELSE heard
    /\ track' = [o \in Ops |-> Confirm(track[o], o, m)]
    /\ inFlight' = inFlight \ {m}
    /\ UNCHANGED <<stored, author, applied, established, incarnation, readAge, op, accepted, restarts>>

Lose(m) ==
    /\ inFlight' = inFlight \ {m}
    /\ UNCHANGED <<stored, author, applied, established, incarnation, readAge, heard, op, track, accepted, restarts>>

Fetch(i, j) ==
    /\ applied[j] > 0
    /\ applied[i] # Newer(applied[i], applied[j])
    /\ applied' = [applied EXCEPT ![i] = Newer(@, applied[j])]
    /\ UNCHANGED <<stored, author, established, incarnation, readAge, heard, inFlight, op, track, accepted, restarts>>

-----------------------------------------------------------------------------
(* Changes *)

OpRead(o) ==
    /\ op[o].state = "idle"
    /\ op' = [op EXCEPT ![o] = [state |-> "read", base |-> stored]]
    /\ UNCHANGED <<stored, author, applied, established, incarnation, readAge, heard, inFlight, track, accepted,
                   restarts>>

(* The swap, and its repetition while the reply is lost. *)
OpSwap(o) ==
    /\ op[o].state \in {"read", "unknown"}
    /\ LET number == op[o].base + 1
           swaps == stored = op[o].base
           mine == swaps \/ author[number] = o
       IN /\ stored' = IF swaps THEN number ELSE stored
          /\ author' = IF swaps THEN [author EXCEPT ![number] = o] ELSE author
          /\ \/ /\ op' = [op EXCEPT ![o].state = "unknown"]
                /\ UNCHANGED <<applied, track, accepted>>
             \/ /\ ~mine
                /\ op' = [op EXCEPT ![o].state = "conflict"]
                /\ UNCHANGED <<applied, track, accepted>>
             \/ /\ mine
                /\ op' = [op EXCEPT ![o].state = "written"]
                /\ \E home \in Listed :
                     /\ applied' = [applied EXCEPT ![home] = Max(@, number)]
                     /\ track' = [track EXCEPT ![o].home = home]
                /\ accepted' = IF Broken = "acceptedWhenWritten" THEN Max(accepted, number) ELSE accepted
    /\ UNCHANGED <<established, incarnation, readAge, heard, inFlight, restarts>>

Confirmed(o) == {j \in Listed : track[o].confirmed[j] # None}
                \cup (IF established[track[o].home] THEN {track[o].home} ELSE {})

(* Takes this moment as the one at which a majority held the number. *)
Mark(o) ==
    /\ op[o].state = "written"
    /\ track[o].home # None
    /\ ~track[o].marked
    /\ IsMajority(Confirmed(o))
    /\ track' = [track EXCEPT ![o].marked = TRUE, ![o].age = 0,
                              ![o].again = Confirmed(o) \cap {track[o].home}]
    /\ inFlight' = {IF m.to = track[o].home THEN [m EXCEPT !.afterMark = FALSE] ELSE m : m \in inFlight}
    /\ UNCHANGED <<stored, author, applied, established, incarnation, readAge, heard, op, accepted, restarts>>

Accept(o) ==
    /\ track[o].marked
    /\ accepted < op[o].base + 1
    /\ \/ /\ track[o].age >= Wait
          /\ IsMajority(track[o].again)
       \/ /\ Broken = "allConfirmedAtOnce"
          /\ Listed \subseteq Confirmed(o)
    /\ accepted' = op[o].base + 1
    /\ UNCHANGED <<stored, author, applied, established, incarnation, readAge, heard, inFlight, op, track, restarts>>

-----------------------------------------------------------------------------
Restart(i) ==
    /\ restarts < MaxRestarts
    /\ restarts' = restarts + 1
    /\ applied' = [applied EXCEPT ![i] = 0]
    /\ established' = [established EXCEPT ![i] = FALSE]
    /\ incarnation' = [incarnation EXCEPT ![i] = @ + 1]
    /\ readAge' = [readAge EXCEPT ![i] = W]
    /\ heard' = [heard EXCEPT ![i] = [j \in Listed |-> NotHeard]]
    /\ inFlight' = {m \in inFlight : m.to # i}
    /\ track' = [o \in Ops |-> IF track[o].home = i THEN NoTrack ELSE track[o]]
    /\ UNCHANGED <<stored, author, op, accepted>>

Older(age, limit) == Min(age + 1, limit)

Tick ==
    /\ readAge' = [i \in Nodes |-> Older(readAge[i], W)]
    /\ heard' = [i \in Nodes |-> [j \in Listed |->
          IF heard[i][j].age + 1 >= W THEN NotHeard ELSE [heard[i][j] EXCEPT !.age = @ + 1]]]
    /\ inFlight' = {[m EXCEPT !.age = Older(@, W)] : m \in inFlight}
    /\ track' = [o \in Ops |-> IF track[o].marked THEN [track[o] EXCEPT !.age = Older(@, Wait)] ELSE track[o]]
    /\ vars # <<stored, author, applied, established, incarnation, readAge', heard', inFlight', op, track', accepted,
                restarts>>
    /\ UNCHANGED <<stored, author, applied, established, incarnation, op, accepted, restarts>>

Init ==
    /\ stored = 1
    /\ author = [n \in 2..MaxNumber |-> None]
    /\ applied = [i \in Nodes |-> IF i \in Listed THEN 1 ELSE 0]
    /\ established = [i \in Nodes |-> i \in Listed]
    /\ incarnation = [i \in Nodes |-> 0]
    /\ readAge = [i \in Nodes |-> W]
    /\ heard = [i \in Nodes |-> [j \in Listed |-> NotHeard]]
    /\ inFlight = {}
    /\ op = [o \in Ops |-> [state |-> "idle", base |-> 0]]
    /\ track = [o \in Ops |-> NoTrack]
    /\ accepted = 1
    /\ restarts = 0

Next ==
    \/ Tick
    \/ \E i \in Nodes : Establish(i) \/ AnswerRead(i) \/ ReceiveRead(ReadAnswer(i)) \/ Restart(i)
    \/ \E i \in Nodes, j \in Listed :
          \/ AnswerHeartbeat(i, j)
          \/ i # j /\ ReceiveHeartbeat(HeartbeatAnswer(i, j))
          \/ Fetch(i, j)
    \/ \E m \in inFlight : ReceiveRead(m) \/ ReceiveHeartbeat(m) \/ Lose(m)
    \/ \E o \in Ops : OpRead(o) \/ OpSwap(o) \/ Mark(o) \/ Accept(o)

Spec == Init /\ [][Next]_vars

-----------------------------------------------------------------------------
(* No instance takes new work under a number less than an accepted one. *)
AcceptedMeansInForce == \A i \in Nodes : Fresh(i) => applied[i] >= accepted

NeverReverts == [][\A i \in Nodes : applied'[i] >= applied[i] \/ incarnation'[i] # incarnation[i]]_vars

OneWinner ==
    \A o, p \in Ops :
        (o # p /\ op[o].state = "written" /\ op[p].state = "written") => op[o].base # op[p].base

(* A change that its operator takes for written holds its number whole; one that lost holds none. *)
NoChangeLost ==
    \A o \in Ops :
        /\ op[o].state = "written" => author[op[o].base + 1] = o /\ stored > op[o].base
        /\ op[o].state = "conflict" => \A n \in 2..MaxNumber : author[n] # o

AppliedIsWritten == \A i \in Nodes : applied[i] <= stored

Symmetry == Permutations(Listed) \cup Permutations(Unlisted) \cup Permutations(Ops)
=============================================================================
