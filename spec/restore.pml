/*
 * The owner of one part of a quota before a store that comes back from a copy
 * (docs/platform-design.md; packages/quota, QuotaParts::applyCopy).
 *
 * As part.pml, and the store may once lose its last writes: the row is again what it was at some
 * time before, and versions are given out again. An entry learns of it with its next answer. If it
 * may grant then, it goes on and writes the row again; else it takes or resumes nothing for a whole
 * term. An answer from another era than the one that an entry knows tells nothing about its write.
 * Each entry has read the row before the restore, and none starts anew behind it: one that does knows
 * of none (MUTATION=4).
 *
 * Checked: at no time may two entries grant from the part.
 *
 * MUTATION=1: an entry that may not grant resumes a part that the copy calls its own.
 * MUTATION=2: an entry takes a part over by the silence that the copy's row shows.
 * MUTATION=3: an applied write starts grants, from whichever era its answer comes.
 * MUTATION=4: an entry starts behind the restore.
 */
#ifndef MUTATION
#define MUTATION 0
#endif

#define NOBODY 2
#define LENGTH 2 /* of granting, and of the silence after which an owner is replaced */
#define END 7    /* last moment */
#define WRITES 2 /* of each entry */

byte now = 1;

/* The row, and the copy of it. */
byte version = 1;
byte owner = NOBODY;
byte renewedAt = 1;
byte era = 1;
bool isCopied;
byte copyVersion;
byte copyOwner;
byte copyRenewedAt;

/* What each entry knows and has under way. */
byte until[2];       /* may grant before this time */
byte seenVersion[2]; /* 0: nothing was read */
byte seenOwner[2];
byte seenRenewal[2];
byte seenEra[2];
byte doubtUntil[2];  /* takes and resumes nothing before this time */
byte sentAt[2];      /* of the open write; 0: none */
byte expected[2];
bool isApplied[2];
byte appliedEra[2];
byte appliedVersion[2];
byte writes[2];

#define GRANTS(i) (now < until[i])

inline send(e)
{
    d_step {
        sentAt[e] = now;
        expected[e] = seenVersion[e];
        isApplied[e] = false;
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

       /* The store is copied, and comes back from the copy. */
       :: era == 1 && !isCopied ->
            d_step {
                isCopied = true;
                copyVersion = version;
                copyOwner = owner;
                copyRenewedAt = renewedAt
            }
       :: era == 1 && isCopied && seenVersion[0] != 0 && seenVersion[1] != 0 ->
            d_step {
                era = 2;
                version = copyVersion;
                owner = copyOwner;
                renewedAt = copyRenewedAt
            }

       /* A read of the row, if it shows anything new. */
       :: sentAt[i] == 0 && (seenEra[i] != era || seenVersion[i] != version) ->
            d_step {
                if
                :: seenEra[i] != 0 && seenEra[i] != era ->
                    /* The copy's row is older than what is known. */
                    if
                    :: !GRANTS(i) -> doubtUntil[i] = now + LENGTH
                    :: else
                    fi
                :: else ->
                    if
                    :: owner != i -> until[i] = 0
                    :: else
                    fi
                fi;
                seenEra[i] = era;
                seenVersion[i] = version;
                seenOwner[i] = owner;
                seenRenewal[i] = renewedAt
            }

       /* A start without memory. */
       :: sentAt[i] == 0 && seenVersion[i] != 0 && (era == 1 || MUTATION == 4) ->
            d_step {
                until[i] = 0;
                seenVersion[i] = 0;
                seenOwner[i] = NOBODY;
                seenEra[i] = 0;
                doubtUntil[i] = 0
            }

       /* Writes: an owner renews, a successor takes over. */
       :: sentAt[i] == 0 && writes[i] < WRITES && seenVersion[i] != 0 && GRANTS(i) -> send(i)
       :: sentAt[i] == 0 && writes[i] < WRITES && seenVersion[i] != 0 && !GRANTS(i) &&
            seenOwner[i] == i && (now >= doubtUntil[i] || MUTATION == 1) -> send(i)
       :: sentAt[i] == 0 && writes[i] < WRITES && seenVersion[i] != 0 && !GRANTS(i) &&
            seenOwner[i] != i && (now >= doubtUntil[i] || MUTATION == 2) &&
            (seenOwner[i] == NOBODY || now >= seenRenewal[i] + LENGTH) -> send(i)

       /* The store applies a write, at any time. */
       :: sentAt[i] != 0 && !isApplied[i] && version == expected[i] ->
            d_step {
                version++;
                owner = i;
                renewedAt = sentAt[i];
                isApplied[i] = true;
                appliedEra[i] = era;
                appliedVersion[i] = version
            }

       /* The answer comes, or is lost; a refused write is read about. */
       :: sentAt[i] != 0 && isApplied[i] ->
            d_step {
                if
                :: appliedEra[i] == seenEra[i] || MUTATION == 3 ->
                    until[i] = sentAt[i] + LENGTH;
                    seenVersion[i] = appliedVersion[i];
                    seenOwner[i] = i;
                    seenRenewal[i] = sentAt[i]
                :: else
                fi;
                sentAt[i] = 0
            }
       :: sentAt[i] != 0 -> sentAt[i] = 0
       :: else
       fi;
       i = 0
       }
    od
}
