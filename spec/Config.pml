/* Acceptance and confirmation of a configuration (ConfigKeeper). Three instances share one head object in a store with conditional writes.
 * The head holds an epoch, the accepted revision, the staged revision and the members, each named with its incarnation. Messages may be lost,
 * delayed or refused. Every reply shows its sender's state at some moment after the request was sent. An instance may lose contact with the
 * store, its peers or both, and may pause between any two steps. Instances 0 and 1 act as coordinator, instance 2 confirms its head by the
 * replies of members, and instance 1 may restart once, which loses its whole state.
 *
 * Checked:
 *   if members confirm an instance's head, the stored head had no later epoch when the confirmation request was sent;
 *   a revision is accepted only when every member of the head has staged it;
 *   every write of the head raises its epoch, so that the accepted revision never decreases.
 *
 * Mutants, each of which must be refuted:
 *   NO_INTENT            writes an epoch without a majority's intent
 *   IGNORE_INTENT        confirms although a member holds the intent for a later epoch
 *   COUNT_RESTARTED      counts a restarted instance as the member that it was before the restart
 *   ACCEPT_WITHOUT_STAGING accepts a revision that a member has not staged
 *   BLIND_WRITE          writes the head unconditionally, whatever its version is
 */

#define N 3
#define MAX_EPOCH 2
#define NONE 2

/* The head object in the store. */
byte headEpoch = 0;
byte headRevision = 0;          /* the accepted revision */
byte headStaged = 0;            /* the staged revision; above headRevision while it is pending */
byte headMember[N];             /* incarnation of each instance that is a member; NONE for the others */

/* The state of each instance. */
byte incarnation[N];
byte epoch[N];                  /* epoch of the head that each instance holds */
byte intent[N];                 /* the highest epoch that each instance knows may have been written */
byte staged[N];                 /* the revision that each instance has staged */
byte member[N * N];             /* headMember as each instance holds it, N entries per instance */

/* Adopts the head that was read from the store. */
inline adoptHead(me) {
    epoch[me] = headEpoch;
    if :: intent[me] < headEpoch -> intent[me] = headEpoch :: else -> skip fi;
    if :: staged[me] < headStaged -> staged[me] = headStaged :: else -> skip fi;
    member[me * N] = headMember[0];
    member[me * N + 1] = headMember[1];
    member[me * N + 2] = headMember[2]
}

/* Adopts the head that a peer holds. */
inline adoptPeerHead(me, peer) {
    epoch[me] = epoch[peer];
    if :: intent[me] < epoch[peer] -> intent[me] = epoch[peer] :: else -> skip fi;
    if :: staged[me] < staged[peer] -> staged[me] = staged[peer] :: else -> skip fi;
    member[me * N] = member[peer * N];
    member[me * N + 1] = member[peer * N + 1];
    member[me * N + 2] = member[peer * N + 2]
}

/* True if the current incarnation of instance i is a member of the head that `me` holds. */
#ifdef COUNT_RESTARTED
#define IS_MEMBER(me, i) (member[(me) * N + (i)] != NONE)
#else
#define IS_MEMBER(me, i) (member[(me) * N + (i)] == incarnation[i])
#endif
#define MEMBER_COUNT(me) ((member[(me) * N] != NONE -> 1 : 0) + (member[(me) * N + 1] != NONE -> 1 : 0) + (member[(me) * N + 2] != NONE -> 1 : 0))

/* Condition of a write of the head: the head has not changed since it was read. */
#ifdef BLIND_WRITE
#define VERSION_MATCHES(known, knownStaged) (true)
#else
#define VERSION_MATCHES(known, knownStaged) (headEpoch == (known) && headStaged == (knownStaged))
#endif

/* True if instance i is no member of the head, or has staged the head's staged revision. */
#ifdef ACCEPT_WITHOUT_STAGING
#define HAS_STAGED(i) (true)
#else
#define HAS_STAGED(i) (headMember[i] == NONE || (headMember[i] == incarnation[i] && staged[i] >= headStaged))
#endif

/* True if instance i holds no intent for an epoch after the known one. */
#ifdef IGNORE_INTENT
#define NO_INTENT_ABOVE(i, known) (true)
#else
#define NO_INTENT_ABOVE(i, known) (intent[i] <= (known))
#endif

/* The number of members that hold the intent for an epoch after the known one. A write of the head needs a majority of the members. */
#define HAS_INTENT_ABOVE(me, i, known) (IS_MEMBER(me, i) && intent[i] > (known))
#define INTENT_COUNT(me, known) \
    ((HAS_INTENT_ABOVE(me, 0, known) -> 1 : 0) + (HAS_INTENT_ABOVE(me, 1, known) -> 1 : 0) + (HAS_INTENT_ABOVE(me, 2, known) -> 1 : 0))
#ifdef NO_INTENT
#define MAY_WRITE(count, me) (true)
#else
#define MAY_WRITE(count, me) HAS_MAJORITY(count, me)
#endif
#define HAS_MAJORITY(count, me) (2 * (count) > MEMBER_COUNT(me))
/* True if `me` and the peer hold the same epoch, and the peer holds the intent for the next one, which `me` does not hold yet. */
#define CAN_ADOPT_INTENT(me, peer) (epoch[me] == epoch[peer] && intent[me] == epoch[me] && intent[peer] == epoch[me] + 1)

/* The part of every instance: reads the head from the store, fetches the head of a peer, and adopts an intent that a peer holds. */
proctype Replica(byte me) {
    do
    :: d_step { epoch[me] != headEpoch || staged[me] < headStaged -> adoptHead(me) }
    :: d_step { epoch[(me + 1) % N] > epoch[me] -> adoptPeerHead(me, (me + 1) % N) }
    :: d_step { epoch[(me + 2) % N] > epoch[me] -> adoptPeerHead(me, (me + 2) % N) }
    :: d_step { CAN_ADOPT_INTENT(me, (me + 1) % N) -> intent[me] = epoch[me] + 1 }
    :: d_step { CAN_ADOPT_INTENT(me, (me + 2) % N) -> intent[me] = epoch[me] + 1 }
    od
}

/* Opens the intent for the next epoch, counts the members that hold it, and sends a write of the head. The write may take effect late, even
 * after its sender has restarted. */
proctype Coordinator(byte me) {
    byte knownEpoch;            /* epoch and staged revision on which the write is conditional */
    byte knownStaged;
    byte other;
    bool mayWrite;
    bool mayAccept;

    do
    :: d_step { intent[me] == epoch[me] && epoch[me] < MAX_EPOCH && headEpoch == epoch[me] -> intent[me] = epoch[me] + 1 }
    :: d_step { intent[me] == epoch[me] + 1 && epoch[me] < MAX_EPOCH && headEpoch == epoch[me] ->
            knownEpoch = epoch[me];
            knownStaged = headStaged;
            mayWrite = MAY_WRITE(INTENT_COUNT(me, knownEpoch), me);
            mayAccept = headStaged > headRevision && HAS_STAGED(0) && HAS_STAGED(1) && HAS_STAGED(2)
        };
        if
        /* Accepts the staged revision. */
        :: atomic { mayWrite && mayAccept && VERSION_MATCHES(knownEpoch, knownStaged) ->
                assert(headMember[0] != incarnation[0] || staged[0] >= headStaged);
                assert(headMember[1] != incarnation[1] || staged[1] >= headStaged);
                assert(headMember[2] != incarnation[2] || staged[2] >= headStaged);
                assert(knownEpoch + 1 > headEpoch);
                headEpoch = knownEpoch + 1;
                headRevision = headStaged
            }
        /* Changes the members: adds a restarted instance under its new incarnation, or removes a silent one. */
        :: atomic { mayWrite && VERSION_MATCHES(knownEpoch, knownStaged) ->
                assert(knownEpoch + 1 > headEpoch);
                headEpoch = knownEpoch + 1;
                if
                :: other = (me + 1) % N
                :: other = (me + 2) % N
                fi;
                if
                :: headMember[other] = incarnation[other]
                :: headMember[other] = NONE
                fi
            }
        :: skip
        fi;
        d_step { knownEpoch = 0; knownStaged = 0; other = 0; mayWrite = false; mayAccept = false }
    od
}

/* A reply of member i confirms the head of `me` if it shows neither a later epoch nor the intent for one. Other instances don't count. */
#define CONFIRMS(me, i, known) (IS_MEMBER(me, i) && epoch[i] <= (known) && NO_INTENT_ABOVE(i, known))
#define SHOWS_LATER_EPOCH(me, i, known) (IS_MEMBER(me, i) && !CONFIRMS(me, i, known))

/* Sends a confirmation request to the members and counts the replies that confirm. Each reply may be lost or late. */
proctype Confirmer(byte me) {
    byte headEpochAtRequest;    /* ghost variable: epoch of the stored head when the request was sent */
    byte knownEpoch;
    byte confirmations;
    bool laterEpochSeen;

    do
    :: d_step { epoch[me] > 0 || member[me * N + me] != NONE ->
            headEpochAtRequest = headEpoch;
            knownEpoch = epoch[me];
            confirmations = (IS_MEMBER(me, me) -> 1 : 0)
        };
        if
        :: d_step {
                confirmations = confirmations + (CONFIRMS(me, (me + 1) % N, knownEpoch) -> 1 : 0);
                laterEpochSeen = laterEpochSeen || SHOWS_LATER_EPOCH(me, (me + 1) % N, knownEpoch)
            }
        :: skip
        fi;
        if
        :: d_step {
                confirmations = confirmations + (CONFIRMS(me, (me + 2) % N, knownEpoch) -> 1 : 0);
                laterEpochSeen = laterEpochSeen || SHOWS_LATER_EPOCH(me, (me + 2) % N, knownEpoch)
            }
        :: skip
        fi;
        atomic {
            if
            :: HAS_MAJORITY(confirmations, me) && !laterEpochSeen && epoch[me] == knownEpoch && NO_INTENT_ABOVE(me, knownEpoch) ->
                assert(headEpochAtRequest <= knownEpoch)
            :: else -> skip
            fi;
            headEpochAtRequest = 0;
            knownEpoch = 0;
            confirmations = 0;
            laterEpochSeen = false
        }
    od
}

/* One instance restarts once and loses its state. It gets a head again only from the store or a peer. */
proctype Restarter(byte me) {
    d_step {
        incarnation[me] = 1;
        epoch[me] = 0;
        intent[me] = 0;
        staged[me] = 0;
        member[me * N] = NONE;
        member[me * N + 1] = NONE;
        member[me * N + 2] = NONE
    }
}

/* The operator stages one revision. */
proctype Operator() {
    headStaged = headRevision + 1
}

init {
    atomic {
        byte index = 0;
        do
        :: index < N * N -> member[index] = 0; index++
        :: else -> break
        od;
        run Replica(0);
        run Replica(1);
        run Replica(2);
        run Coordinator(0);
        run Coordinator(1);
        run Confirmer(2);
        run Restarter(1);
        run Operator()
    }
}
