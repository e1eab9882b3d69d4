/*
 * Transfers of units between holders, end of holders, and settlement by pairwise nets
 * (docs/design.md 5.1; packages/limiter).
 *
 * Messages may be lost, repeated, delayed and reordered: every transfer that was ever sent can be
 * delivered at any time, any number of times. An ended holder may still receive, as a process does
 * that was paused and resumes, but gives nothing, because it has no lease. Holder 2 joins late.
 *
 * Checked: holders with a lease and spare never have more than TOTAL units together, and have
 * exactly TOTAL when nothing is in flight and all ended holders are settled.
 *
 * MUTATION=1: a holder that reported its nets still accepts late transfers of the ended holder.
 * MUTATION=2: a holder gives to peers that no survey since its join showed as live.
 */
#ifndef MUTATION
#define MUTATION 0
#endif

#define N 3
#define TOTAL 2
#define SEQUENCES 2 /* transfers for each ordered pair */
#define GIVES 4     /* transfers in all */
#define AT(i, j) ((i) * N + (j))

byte units[N];
bool joined[N];    /* has taken part since it entered the row */
bool inRow[N];
short grant[N];
short spare = TOTAL;
bool ended[N];     /* fenced: no lease any more */
bool shown[N * N]; /* shown[i,j]: a survey since i's join showed j as live */

byte sequence[N * N]; /* sent by i to j */
byte open[N * N];     /* sequence that waits for its acknowledgement; 0: none */
byte accepted[N * N]; /* last sequence that j accepted from i */
short sent[N * N];    /* units, by i to j */
short received[N * N];/* units, by j from i */
bool blocked[N * N];  /* i has reported its net for j and stopped dealing with it */

byte crashes;
byte gives;

#define NET(p, d) (sent[AT(p, d)] - received[AT(d, p)])

inline take(i) /* join, or take spare units */
{
    d_step {
        grant[i] = grant[i] + spare;
        units[i] = units[i] + spare;
        spare = 0;
        inRow[i] = true;
        joined[i] = true
    }
}

inline survey(i)
{
    d_step {
        k = 0;
        do
        :: k < N -> shown[AT(i, k)] = !ended[k] && joined[k]; k++
        :: else -> break
        od;
        k = 0
    }
}

inline give(i, j)
{
    d_step {
        gives++;
        units[i]--;
        sent[AT(i, j)]++;
        sequence[AT(i, j)]++;
        open[AT(i, j)] = sequence[AT(i, j)]
    }
}

/* Every transfer has one unit; only the next sequence is accepted. */
inline deliver(i, j)
{
    d_step {
        accepted[AT(i, j)]++;
        received[AT(i, j)]++;
        units[j]++
    }
}

/* One conditional write removes all ended holders whose nets all others have reported. */
inline settle()
{
    d_step {
        k = 0;
        do
        :: k < N ->
            if
            :: inRow[k] && ended[k] ->
                spare = spare + grant[k];
                grant[k] = 0;
                inRow[k] = false;
                l = 0;
                do
                :: l < N ->
                    if
                    :: inRow[l] && !ended[l] ->
                        grant[l] = grant[l] - NET(l, k);
                        spare = spare + NET(l, k)
                    :: else
                    fi;
                    l++
                :: else -> break
                od
            :: else
            fi;
            k++
        :: else -> break
        od;
        k = 0;
        l = 0
    }
}

#define REPORTED(p, d) (!inRow[p] || ended[p] || !inRow[d] || !ended[d] || blocked[AT(p, d)])
#define ALL_REPORTED \
    (REPORTED(0, 1) && REPORTED(0, 2) && REPORTED(1, 0) && REPORTED(1, 2) && REPORTED(2, 0) \
     && REPORTED(2, 1))
#define TO_SETTLE ((inRow[0] && ended[0]) || (inRow[1] && ended[1]) || (inRow[2] && ended[2]))
#define LIVE_UNITS \
    ((ended[0] -> 0 : units[0]) + (ended[1] -> 0 : units[1]) + (ended[2] -> 0 : units[2]))
#define IN_FLIGHT(i, j) (!ended[i] && open[AT(i, j)] != 0)
#define QUIET \
    (!IN_FLIGHT(0, 1) && !IN_FLIGHT(0, 2) && !IN_FLIGHT(1, 0) && !IN_FLIGHT(1, 2) \
     && !IN_FLIGHT(2, 0) && !IN_FLIGHT(2, 1))

active proctype fleet()
{
    byte i, j, k, l;
    take(0);
    take(1);
    do
    :: atomic { /* check, pick an ordered pair and make one step that it allows */
       assert(LIVE_UNITS + spare <= TOTAL);
       assert(!QUIET || TO_SETTLE || LIVE_UNITS + spare == TOTAL);
       select(i : 0 .. 2);
       select(j : 0 .. 2);
       if
       :: i == j && !ended[i] && (spare > 0 || !joined[i]) && (joined[i] || i == 2) -> take(i)
       :: i == j && !ended[i] && joined[i] -> survey(i)
       :: i == j && !ended[i] && crashes < 2 -> ended[i] = true; crashes++
       :: i == j && TO_SETTLE && ALL_REPORTED -> settle()
       :: i != j && !ended[i] && joined[i] && joined[j] && units[i] > 0 && !blocked[AT(i, j)] &&
            open[AT(i, j)] == 0 && sequence[AT(i, j)] < SEQUENCES && gives < GIVES &&
            (shown[AT(i, j)] || MUTATION == 2) -> give(i, j)
       :: i != j && accepted[AT(i, j)] < sequence[AT(i, j)] && (!blocked[AT(j, i)] || MUTATION == 1) ->
            deliver(i, j)
       :: i != j && open[AT(i, j)] != 0 && accepted[AT(i, j)] >= open[AT(i, j)] &&
            !blocked[AT(i, j)] -> open[AT(i, j)] = 0 /* acknowledged */
       :: i != j && !ended[i] && joined[i] && ended[j] && inRow[j] && !blocked[AT(i, j)] ->
            d_step { blocked[AT(i, j)] = true; open[AT(i, j)] = 0 }
       :: else
       fi;
       i = 0;
       j = 0
       }
    od
}
