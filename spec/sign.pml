/*
 * An entry's sign of life and the reclaiming of its units (docs/platform-design.md;
 * packages/gateway, QuotaShares).
 *
 * The entry writes its own row without a condition. It may spend for a time that counts from the
 * sending of a sign, once it has read the rows after the acknowledgement and its units are still
 * there. Another entry takes the units when it has seen no new sign for a time, on condition that
 * the row of the sign is unchanged. A write may be applied at once, later or never, and its answer
 * may be lost. Both may stand still between any two steps. All clocks run alike. A lost sign that is
 * applied later is left out: it only delays the taking.
 *
 * Checked: the entry never spends after its units were taken.
 *
 * MUTATION=1: units are taken without regard to the sign's row.
 * MUTATION=2: a sign counts at its acknowledgement, without a read.
 * MUTATION=3: the time counts from the answer instead of the sending.
 * MUTATION=4: the silence counts from an older sign than the last one that was seen.
 */
#ifndef MUTATION
#define MUTATION 0
#endif

#define SPEND 2   /* time that a sign is good for */
#define RECLAIM 2 /* silence after which units are taken */
#define END 8     /* last moment */
#define SIGNS 3

byte now = 1;

/* The store. */
byte signVersion = 0;
bool hasUnits = true; /* the ledger's row names the entry */

/* The entry. */
byte until = 0;  /* may spend before this time */
byte sentAt = 0; /* of the open sign; 0: none */
bool applied = false;
bool isLost = false;
byte countsFrom = 0; /* of the acknowledged sign that no read has confirmed; 0: none */
byte signs = 0;

/* The other entry. */
byte seenVersion = 0;
byte seenAt = 1;
bool isReclaiming = false;
byte expected = 0;

active proctype system()
{
    do
    :: atomic {
       assert(!(now < until && !hasUnits));
       if
       :: now < END -> now++

       /* The entry. */
       :: sentAt == 0 && signs < SIGNS ->
            d_step { sentAt = now; applied = false; isLost = false; signs++ }
       :: sentAt != 0 && !isLost && applied ->
            d_step {
                if
                :: MUTATION == 3 -> countsFrom = now
                :: else -> countsFrom = sentAt
                fi;
                if
                :: MUTATION == 2 -> until = countsFrom + SPEND
                :: else
                fi;
                sentAt = 0
            }
       :: sentAt != 0 && isLost -> sentAt = 0
       :: sentAt == 0 && countsFrom != 0 ->
            d_step {
                if
                :: hasUnits -> until = countsFrom + SPEND
                :: else -> until = 0
                fi;
                countsFrom = 0
            }

       /* The store. */
       :: sentAt != 0 && !applied -> d_step { signVersion++; applied = true }
       :: sentAt != 0 && !isLost -> isLost = true
       :: isReclaiming && hasUnits && (signVersion == expected || MUTATION == 1) ->
            d_step { hasUnits = false; isReclaiming = false }
       :: isReclaiming && signVersion != expected -> isReclaiming = false

       /* The other entry. */
       :: !isReclaiming && seenVersion != signVersion ->
            d_step {
                seenVersion = signVersion;
                if
                :: MUTATION != 4 -> seenAt = now
                :: else
                fi
            }
       :: !isReclaiming && hasUnits && now >= seenAt + RECLAIM ->
            d_step { expected = seenVersion; isReclaiming = true }
       :: else
       fi
       }
    od
}
