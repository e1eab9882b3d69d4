/*
 * Renewal of a lease in the store or by a majority of witnesses, against fencing
 * (docs/design.md 5.2; packages/lease).
 *
 * The holder may be paused at any step; its messages and writes may be lost or delayed. A witness
 * may restart: its new incarnation does not answer for the old one. The margin for clock drift is
 * left out: all clocks are equal here.
 *
 * Checked: when the row is fenced, the holder's deadline has passed, then and later.
 *
 * MUTATION=1: a restarted witness answers in place of its earlier incarnation.
 * MUTATION=2: the fence is written without regard to the row's version.
 */
#ifndef MUTATION
#define MUTATION 0
#endif

#define WITNESSES 3
#define LENGTH 2
#define END 5 /* last moment */

byte now = 1;

byte deadline;             /* of the holder */
byte roundSent;            /* start of the holder's current round of contacts; 0: none */
bool contacting[WITNESSES];/* contact of this round on its way or lost */
bool answered[WITNESSES];  /* witness has answered this round; the holder may count it later */

byte lastContact[WITNESSES];
bool refuses[WITNESSES];   /* fenced the holder */
bool restarted[WITNESSES];
byte restarts;

byte version = 1;
bool isFenced;             /* state of the row */
byte known = 1;            /* row version that the holder knows */
byte writeSent;            /* time of the holder's open write; 0: none */
bool applied;              /* the open write has been applied */
byte writes;

byte seenVersion;          /* by the reclaimer */
byte seenAt;

#define ANSWERS(w) (!restarted[w] || MUTATION == 1)
#define HELD (now < deadline)
#define COUNT(a) (a[0] + a[1] + a[2])

active proctype system()
{
    byte w;
    deadline = now + LENGTH;
    do
    :: atomic {
       assert(!isFenced || !HELD);
       select(w : 0 .. 2);
       if
       :: w == 0 && now < END -> now++

       /* Holder: a round of contacts. */
       :: w == 0 && roundSent != now ->
            d_step {
                roundSent = now;
                contacting[0] = true; contacting[1] = true; contacting[2] = true;
                answered[0] = false; answered[1] = false; answered[2] = false
            }
       :: contacting[w] && ANSWERS(w) && !refuses[w] ->
            d_step { contacting[w] = false; lastContact[w] = now; answered[w] = true }
       :: w == 0 && COUNT(answered) >= 2 && roundSent + LENGTH > deadline ->
            deadline = roundSent + LENGTH

       /* Holder: a conditional write of the row, applied now, later or never. */
       :: w == 1 && writeSent == 0 && writes < 2 ->
            d_step { writeSent = now; applied = false; writes++ }
       :: w == 1 && writeSent != 0 && !applied && version == known && !isFenced ->
            d_step { version++; applied = true }
       :: w == 1 && writeSent != 0 && applied -> /* answer, or reading back */
            d_step {
                if
                :: writeSent + LENGTH > deadline -> deadline = writeSent + LENGTH
                :: else
                fi;
                known = version;
                writeSent = 0;
                applied = false
            }

       /* A witness loses its memory. */
       :: restarts < 1 && !restarted[w] ->
            d_step {
                restarted[w] = true;
                restarts++;
                if
                :: MUTATION == 1 -> lastContact[w] = 0; refuses[w] = false
                :: else /* a fence that was answered stays valid */
                fi
            }

       /* Reclaimer. */
       :: w == 2 && seenVersion != version && !isFenced ->
            d_step { seenVersion = version; seenAt = now }
       :: seenVersion != 0 && !isFenced && now >= seenAt + LENGTH && ANSWERS(w) && !refuses[w] &&
            now >= lastContact[w] + LENGTH ->
            d_step { refuses[w] = true; lastContact[w] = 0 }
       :: w == 2 && seenVersion != 0 && now >= seenAt + LENGTH && COUNT(refuses) >= 2 && !isFenced &&
            (version == seenVersion || MUTATION == 2) ->
            d_step { version++; isFenced = true }
       :: else
       fi;
       w = 0
       }
    od
}
