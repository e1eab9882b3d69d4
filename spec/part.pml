/*
 * The owner of one part of a quota (docs/platform-design.md; packages/quota, QuotaParts).
 *
 * Entries read the part's row and write it on condition that its version is unchanged. A write may
 * be applied at once, later or never, and its answer may be lost. An entry may be suspended between
 * any two steps, and end and start again at once without what it knew. The row tells when its last
 * write was sent; a successor counts the owner's silence from there, also after a start of its own.
 * The times of settling and succession are left out: they only order the candidates.
 * All clocks run alike. The parts of a quota do not depend on each other.
 *
 * Checked: at no time may two entries grant from the part.
 *
 * MUTATION=1: a successor writes without regard to the row's version.
 * MUTATION=2: an owner that releases its part goes on granting until its time is over.
 * MUTATION=3: an owner counts its time from the answer instead of the sending of its write.
 * MUTATION=4: a successor counts the owner's silence from an older write than the last one.
 * MUTATION=5: a write tells an earlier time than that of its sending.
 * MUTATION=6: an entry that starts goes on granting from the part that it owned, without a write.
 */
#ifndef MUTATION
#define MUTATION 0
#endif

#define ENTRIES 2
#define NOBODY 2
#define LENGTH 2 /* of granting, and of the silence after which a owner is replaced */
#define END 6    /* last moment */
#define WRITES 2 /* of each entry */

byte now = 1;

/* The row. */
byte version = 1;
byte owner = NOBODY;
byte renewedAt = 1; /* when the last write was sent */

/* What each entry knows and has under way. */
byte until[ENTRIES];        /* may grant before this time */
byte seenVersion[ENTRIES];  /* of the row when its owner last wrote */
byte seenRenewal[ENTRIES]; /* as the row told it */
byte sentAt[ENTRIES];       /* of the open write; 0: none */
byte expected[ENTRIES];     /* version that the open write expects */
byte wanted[ENTRIES];       /* owner that the open write names */
bool applied[ENTRIES];
bool isLost[ENTRIES];       /* the answer will not come */
byte writes[ENTRIES];
bool isRestarted[ENTRIES];

#define GRANTS(i) (now < until[i])

inline send(e, name)
{
    d_step {
        sentAt[e] = now;
        expected[e] = version;
        wanted[e] = name;
        applied[e] = false;
        isLost[e] = false;
        writes[e]++
    }
}

active proctype system()
{
    byte i;
    do
    :: atomic {
       assert(!(GRANTS(0) && GRANTS(1)));
       select(i : 0 .. 1);
       if
       :: now < END -> now++

       /* A read of the row. An entry that is not its owner grants no more. */
       :: sentAt[i] == 0 && seenVersion[i] != version && MUTATION != 4 ->
            d_step {
                seenVersion[i] = version;
                seenRenewal[i] = renewedAt;
                if
                :: owner != i -> until[i] = 0
                :: else
                fi
            }
       :: sentAt[i] == 0 && seenVersion[i] == 0 && MUTATION == 4 ->
            d_step { seenVersion[i] = version; seenRenewal[i] = renewedAt }

       /* A start without memory. A write that is under way may still be applied. */
       :: !isRestarted[i] ->
            d_step {
                isRestarted[i] = true;
                isLost[i] = true;
                seenVersion[i] = 0;
                if
                :: MUTATION == 6 && owner == i -> until[i] = now + LENGTH
                :: else -> until[i] = 0
                fi
            }

       /* Writes. */
       :: sentAt[i] == 0 && writes[i] < WRITES && owner == i -> send(i, i)
       :: sentAt[i] == 0 && writes[i] < WRITES && owner == NOBODY -> send(i, i)
       :: sentAt[i] == 0 && writes[i] < WRITES && owner == 1 - i && now >= seenRenewal[i] + LENGTH &&
            seenVersion[i] != 0 && (seenVersion[i] == version || MUTATION == 4) -> send(i, i)
       :: sentAt[i] == 0 && writes[i] < WRITES && owner == i ->
            if
            :: MUTATION != 2 -> until[i] = 0
            :: else
            fi;
            send(i, NOBODY)

       /* The store. */
       :: sentAt[i] != 0 && !applied[i] && (version == expected[i] || MUTATION == 1) ->
            d_step {
                version++;
                owner = wanted[i];
                renewedAt = sentAt[i];
                if
                :: MUTATION == 5 -> renewedAt--
                :: MUTATION != 5
                fi;
                applied[i] = true
            }
       :: sentAt[i] != 0 && !isLost[i] -> isLost[i] = true

       /* Answers: success, refusal, none. */
       :: sentAt[i] != 0 && applied[i] && !isLost[i] ->
            d_step {
                if
                :: wanted[i] == i && MUTATION == 3 -> until[i] = now + LENGTH
                :: wanted[i] == i && MUTATION != 3 -> until[i] = sentAt[i] + LENGTH
                :: else
                fi;
                sentAt[i] = 0
            }
       :: sentAt[i] != 0 && !applied[i] && version != expected[i] -> sentAt[i] = 0
       :: sentAt[i] != 0 && isLost[i] && applied[i] -> sentAt[i] = 0
       :: else
       fi;
       i = 0
       }
    od
}
