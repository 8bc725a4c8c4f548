/* Freshness of the configuration (StoreDuty). An API key is revoked in the store at some moment. A reader reads the store, and another instance
 * sends freshness requests to the reader, whose replies state the age of the reader's configuration. Each message takes any time, which includes
 * a suspension of its receiver.
 *
 * Checked: an instance with the old configuration never counts it as current at a moment after the revocation. The maximum age of a
 * configuration under which keys are accepted then limits how long a revoked key is accepted.
 *
 * Mutants, each of which must be refuted:
 *   READ_FROM_ARRIVAL   counts the age of a read from the arrival of its answer
 *   AGE_FROM_ARRIVAL    counts the age in a reply from the arrival of the reply
 *   NO_VERSION_CHECK    uses the age in a reply although the reader has a newer configuration
 */

#define END_TIME 6
#define NEVER 99

byte now = 0;
byte revokedAt = NEVER;         /* when the key was revoked */
bool readerHasNew = false;      /* the reader has the configuration without the key */
byte readerConfigAt = 0;        /* latest time at which the reader knows its configuration to be current */
bool requesterHasNew = false;   /* the same for the requester */
byte requesterConfigAt = 0;

/* An old configuration must not count as current after the revocation. */
inline checkConfigTimes() {
    assert(readerHasNew || readerConfigAt <= revokedAt);
    assert(requesterHasNew || requesterConfigAt <= revokedAt)
}

proctype Clock() {
    do
    :: now < END_TIME -> now++
    :: now == END_TIME -> break
    od
}

/* Revokes the key. */
proctype Operator() {
    revokedAt = now
}

/* Reads the store up to three times. */
proctype Reader() {
    byte sentAt;
    bool readsNew;
    byte reads = 0;
    do
    :: reads < 3 ->
        reads++;
        sentAt = now;
        readsNew = (revokedAt != NEVER);    /* the store answers */
        atomic {                            /* the answer arrives */
            readerHasNew = readerHasNew || readsNew;
#ifdef READ_FROM_ARRIVAL
            readerConfigAt = now;
#else
            readerConfigAt = (sentAt > readerConfigAt -> sentAt : readerConfigAt);
#endif
            checkConfigTimes()
        }
    :: reads == 3 -> break
    od
}

/* Sends up to two freshness requests to the reader. */
proctype Requester() {
    byte requestedAt;
    bool replyHasNew;
    byte age;
    byte replyConfigAt;
    byte requests = 0;
    do
    :: requests < 2 ->
        requests++;
        requestedAt = now;
        atomic { replyHasNew = readerHasNew; age = now - readerConfigAt };  /* the reader replies */
        atomic {                                                            /* the reply arrives */
#ifdef AGE_FROM_ARRIVAL
            replyConfigAt = (now > age -> now - age : 0);
#else
            replyConfigAt = (requestedAt > age -> requestedAt - age : 0);
#endif
            if
#ifdef NO_VERSION_CHECK
            :: true ->
#else
            :: replyHasNew == requesterHasNew ->
#endif
                requesterConfigAt = (replyConfigAt > requesterConfigAt -> replyConfigAt : requesterConfigAt)
            :: else -> skip
            fi;
            checkConfigTimes()
        }
    :: requests == 2 -> break
    od
}

init {
    atomic { run Clock(); run Operator(); run Reader(); run Requester() }
}
