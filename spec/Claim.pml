/* The claim on one idempotency key (ClaimLedger). Three calls with the same key, each at an instance of its own, compete for the claim in one
 * bucket object of the store, which has conditional writes. A write may succeed, fail because of another version, take effect although its
 * answer is lost, or take effect late or never. Any process may crash, or pause for any time, between two steps.
 *
 * Checked: the call runs at most once; a call that was reported as not run never runs.
 *
 * Mutants, each of which must be refuted:
 *   NO_READ_BACK           treats an ambiguous write as a granted claim
 *   DISPATCH_FIRST         dispatches before the claim is confirmed
 *   TAKE_OVER              takes over the claim of another call
 *   DISPATCH_AFTER_GIVE_UP dispatches after the call gave up and was reported as not run
 */

#define CALLS 3
#define MAX_TRIES 2             /* how often a call reads the bucket to get the claim */

byte version = 1;               /* version of the bucket object */
byte claim = 0;                 /* nonce of the claim in the bucket: call number plus one; 0 without a claim */
bool lateWritePending[CALLS];   /* an ambiguous write that may still take effect */
byte lateWriteVersion[CALLS];   /* the version on which that write is conditional */
byte runs = 0;
bool dispatched[CALLS];
bool reportedNotRun[CALLS];

/* Applies a write to the bucket if the bucket still has the expected version. A nonce of 0 removes the claim. */
inline applyWrite(me, expected, nonce) {
    if
    :: version == expected -> version++; claim = nonce
    :: else -> skip
    fi
}

inline dispatch(me) {
    assert(!reportedNotRun[me]);
    dispatched[me] = true;
    runs++;
    assert(runs <= 1)
}

/* A call, from its request for the claim to its dispatch or its end. */
proctype Call(byte me) {
    byte cachedVersion;
    byte cachedClaim;
    byte tries = 0;
    bool written;

#ifdef DISPATCH_FIRST
    atomic { dispatch(me) };
#endif

acquire:
    if
    :: tries == MAX_TRIES -> goto giveUp
    :: tries < MAX_TRIES -> tries++
    fi;
    atomic { cachedVersion = version; cachedClaim = claim };
    if
    :: cachedClaim == me + 1 -> goto granted
    :: cachedClaim != 0 && cachedClaim != me + 1 ->
#ifdef TAKE_OVER
        skip
#else
        goto ended          /* reported as in progress or with an unknown outcome, never as not run */
#endif
    :: cachedClaim == 0 -> skip
    fi;

    if
    :: atomic { written = (version == cachedVersion); applyWrite(me, cachedVersion, me + 1) };
        if
        :: written -> goto granted
        :: !written -> goto acquire
        fi
    :: atomic { applyWrite(me, cachedVersion, me + 1) };    /* the answer is lost */
        goto ambiguous
    :: atomic { !lateWritePending[me] -> lateWritePending[me] = true; lateWriteVersion[me] = cachedVersion };
        goto ambiguous
    :: goto giveUp          /* the store is unreachable */
    fi;

ambiguous:
#ifdef NO_READ_BACK
    goto granted;
#endif
    if
    :: goto acquire         /* reads the bucket back */
    :: goto giveUp
    fi;

granted:
    if
    :: atomic { dispatch(me) }
    :: goto giveUp          /* no endpoint is available, or the caller is gone */
    fi;
    goto ended;

giveUp:
    atomic {
        assert(!dispatched[me]);
        reportedNotRun[me] = true
    };
#ifdef DISPATCH_AFTER_GIVE_UP
    if
    :: atomic { dispatch(me) }
    :: skip
    fi;
#endif
    /* Removes a claim that may have been written. The write raises the version, so a pending write of the claim has no effect any more. */
    atomic { cachedVersion = version; cachedClaim = claim };
    if
    :: cachedClaim == me + 1 -> atomic { applyWrite(me, cachedVersion, 0) }
    :: cachedClaim == 0 -> atomic { applyWrite(me, cachedVersion, 0) }
    :: else -> skip
    fi;

ended:
    skip
}

/* Makes a pending write take effect at a later time, or never. */
proctype Network() {
    byte i;
    do
    :: atomic { select(i : 0 .. CALLS - 1); lateWritePending[i] -> applyWrite(i, lateWriteVersion[i], i + 1); lateWritePending[i] = false }
    :: break
    od
}

init {
    atomic {
        run Call(0);
        run Call(1);
        run Call(2);
        run Network()
    }
}
