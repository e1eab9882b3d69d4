/* Claim of a non-idempotent call (docs/design.md 5.3; packages/claims).
 *
 * Two agents run attempts for one idempotency key, one of them a second one after its first. Table writes may be answered, lose
 * their answer, be dropped, or take effect at any later time. An agent may be paused past its
 * dispatch deadline or crash between any two steps. An operator settles a claim as not run.
 *
 * Checked: the target is called at most once; an attempt that told not_run never called it; after
 * repair, the row of such an attempt can't block the key, however late its insert arrives.
 * Dispatch and the check before it are one step here: a pause between them is what
 * ClaimLimits::settleMargin_ is for.
 *
 *   spin -a spec/claim.pml && gcc -O2 -o pan pan.c && ./pan
 *
 * Mutations, each refuted: 1 releases the claim after dispatch; 2 takes a lost insert for a claim
 * that is held; 3 writes no released row after a lost insert; 4 lets the operator settle while the
 * attempt may still run.
 */
#ifndef MUTATION
#define MUTATION 0
#endif

#define AGENTS 2
#define IDS 4 /* attempt ids are 1 to 3 */
#define WRITES 2 /* tries of an insert before the deadline */
#define SLOTS 2 /* writes under way at a time; further ones are not delayed */

mtype = { absent, claimed, released, done };
mtype = { written, conflict, noAnswer, down };

mtype rowState = absent;
byte rowOwner = 0;
byte rowVersion = 0;

bool slotUsed[SLOTS];
byte slotExpected[SLOTS];
mtype slotState[SLOTS];
byte slotOwner[SLOTS];

byte dispatches = 0;
bool dispatched[IDS];
bool toldNotRun[IDS];
bool repaired[IDS];
bool isOver[IDS]; /* ended, crashed or cut off */
byte finishedAgents = 0;

/* One conditional write at the table. */
inline apply(expected, state, owner, outcome)
{
    if
    :: rowVersion == expected ->
        rowVersion++;
        rowState = state;
        rowOwner = owner;
        outcome = written
    :: else -> outcome = conflict
    fi
}

inline fillSlot(i, expected, state, owner)
{
    slotUsed[i] = true;
    slotExpected[i] = expected;
    slotState[i] = state;
    slotOwner[i] = owner
}

inline clearSlot(i)
{
    slotUsed[i] = false;
    slotExpected[i] = 0;
    slotState[i] = 0;
    slotOwner[i] = 0;
    outcome = 0
}

/* A write as an agent sees it. A lost answer is a write under way that the Store process applies at
 * once, a dropped one is a write under way that it discards. */
inline write(expected, state, owner, outcome)
{
    atomic {
        if
        :: true -> apply(expected, state, owner, outcome);
            if
            :: outcome == written -> version = rowVersion
            :: else
            fi
        :: outcome = down
        :: !slotUsed[0] -> fillSlot(0, expected, state, owner); outcome = noAnswer
        :: slotUsed[0] && !slotUsed[1] ->
            fillSlot(1, expected, state, owner);
            outcome = noAnswer
        fi
    }
}

inline clearSeen()
{
    outcome = 0; seenState = 0; seenOwner = 0; seenVersion = 0; version = 0
}

inline tellNotRun(id)
{
    toldNotRun[id] = true;
    assert(!dispatched[id])
}

/* Gives up a claim that was not dispatched. */
inline release(id)
{
    atomic {
        write(version, released, id, outcome);
        if
        :: outcome == written
        :: else -> pending = id
        fi;
        tellNotRun(id)
    }
}

/* ClaimStore::tryRelease for the attempt in pending; may fail and leave it there. */
inline repair()
{
    atomic {
        seenState = rowState; seenOwner = rowOwner; seenVersion = rowVersion;
    }
    atomic {
        outcome = written;
        if
        :: seenState == absent ->
#if MUTATION != 3
            write(0, released, pending, outcome)
#else
            skip
#endif
        :: seenState == claimed && seenOwner == pending ->
            write(seenVersion, released, pending, outcome)
        :: seenState == released && seenOwner != pending ->
            write(seenVersion, released, seenOwner, outcome)
        :: else -> skip
        fi;
        if
        :: outcome == written -> repaired[pending] = true; pending = 0
        :: else -> skip
        fi;
        clearSeen()
    }
}

/* Runs the attempts with the ids from next to last. */
proctype Agent(byte next; byte last)
{
    byte id = 0;
    byte expected = 0;
    byte version = 0;
    byte tries = 0;
    byte pending = 0;
    bool mayLand = false;
    mtype outcome;
    mtype seenState;
    byte seenOwner;
    byte seenVersion;

nextAttempt:
    if
    :: pending != 0 -> repair()
    :: true
    fi;
    if
    :: next > last || pending != 0 -> goto stop
    :: else
    fi;
    id = next;
    next++;

insert:
    atomic {
        write(expected, claimed, id, outcome);
        tries++;
        if
        :: outcome == written -> goto held
        :: outcome == down && !mayLand -> tellNotRun(id); goto ended
        :: outcome == noAnswer -> mayLand = true
        :: else
        fi;
#if MUTATION == 2
        if
        :: outcome == noAnswer -> goto held
        :: else
        fi;
#endif
        outcome = 0
    }
    atomic { /* read back; the read may fail */
        if
        :: rowState == claimed && rowOwner == id -> version = rowVersion; goto held
        :: rowState == claimed && rowOwner != id -> goto ended /* claim_unresolved */
        :: rowState == done -> goto ended /* the recorded answer */
        :: rowState == absent -> expected = 0
        :: rowState == released -> expected = rowVersion
        :: !mayLand -> tellNotRun(id); goto ended
        :: mayLand
        fi;
        if
        :: tries < WRITES -> goto insert
        :: else
        fi;
        if
        :: mayLand -> pending = id
        :: else
        fi;
        tellNotRun(id);
        goto ended
    }

held:
    if
    :: goto crashed
    :: true -> release(id); goto ended /* past the deadline, or connection refused */
    :: atomic {
        !isOver[id] ->
        assert(!toldNotRun[id]);
        dispatched[id] = true;
        dispatches++;
        assert(dispatches <= 1)
    }
    fi;
    if
    :: goto crashed
    :: /* cut off after the first byte */
#if MUTATION == 1
        write(version, released, id, outcome);
#endif
        goto ended
    :: write(version, done, id, outcome)
    fi;

ended: /* variables that are not used any more are cleared to save states */
    atomic {
        isOver[id] = true;
        id = 0; expected = 0; tries = 0; mayLand = false; clearSeen()
    }
    goto nextAttempt;

crashed: /* the list of pending claims is lost */
    isOver[id] = true;
stop:
    finishedAgents++
}

/* Delayed writes take effect or are lost, in any order. */
active proctype Store()
{
    mtype outcome;
end:
    do
    :: atomic { slotUsed[0] ->
        apply(slotExpected[0], slotState[0], slotOwner[0], outcome); clearSlot(0) }
    :: atomic { slotUsed[1] ->
        apply(slotExpected[1], slotState[1], slotOwner[1], outcome); clearSlot(1) }
    :: atomic { slotUsed[0] -> clearSlot(0) }
    :: atomic { slotUsed[1] -> clearSlot(1) }
    :: atomic {
        finishedAgents == AGENTS && !slotUsed[0] && !slotUsed[1] ->
        assert(!(rowState == claimed && toldNotRun[rowOwner] && repaired[rowOwner]));
        break
    }
    od
}

/* Settles one claim as not run, once the attempt is over and the target knows nothing of it. */
active proctype Operator()
{
    byte owner;
    byte version;
    mtype outcome;
end:
    atomic {
        rowState == claimed -> owner = rowOwner; version = rowVersion
    }
    if
    :: atomic {
#if MUTATION == 4
        !dispatched[owner] ->
#else
        isOver[owner] && !dispatched[owner] ->
#endif
        apply(version, released, owner, outcome)
    }
    :: true
    fi
}

init {
    atomic {
        run Agent(1, 2);
        run Agent(3, 3)
    }
}
