/* Configuration revisions (docs/design.md 5.4; packages/config).
 *
 * Two operators publish by compare-and-set of the row config/current; the second one's revision
 * withdraws a key. A write may be answered, lose its answer, be dropped, or take effect at any
 * later time. A publisher whose answer was lost reads the row back and tries again. Two followers
 * read the row, and offer what they hold to each other; answers and offers arrive late and in any
 * order. An operator may also withdraw the key at a follower directly.
 *
 * Checked: no follower steps back; a revision that was reported as accepted is in the row's history
 * for ever, and belongs to one attempt only; one that was reported as refused never takes effect;
 * a follower that knew of the withdrawal never admits the key again.
 *
 *   spin -a spec/config.pml && gcc -O2 -o pan pan.c && ./pan
 *
 * Mutations, each refuted: 1 lets a follower install whatever arrives; 2 takes a lost answer for
 * acceptance; 3 writes without condition; 4 publishes without carrying withdrawals over.
 */
#ifndef MUTATION
#define MUTATION 0
#endif

#define OPERATORS 2
#define REVISIONS 3 /* revision 0 is in force at the start */
#define TRIES 2 /* writes of one attempt before its deadline */

mtype = { written, conflict, noAnswer };
mtype = { unsettled, accepted, refused };

byte row = 0; /* revision in force; stands for the version of the row, too */
byte history[REVISIONS]; /* attempt of each revision; attempts are 1 and 2 */
bool withdraws[REVISIONS]; /* whether the content holds the withdrawal */

bool isDelayed[OPERATORS]; /* a write that may take effect later */
byte delayedExpected[OPERATORS];
bool delayedWithdraws[OPERATORS];
mtype result[OPERATORS] = unsettled;
byte published[OPERATORS];

byte held[2];
bool isPending[2]; /* withdrawal on top of the content */
bool knewWithdrawal[2];

inline applyWrite(id, expected, isWithdrawn, answer) {
	if
	:: row == expected || MUTATION == 3 ->
		row = expected + 1;
		history[row] = id + 1;
		withdraws[row] = isWithdrawn;
		answer = written
	:: else -> answer = conflict
	fi
}

/* One try of the write, with any of the faults. */
inline tryWrite(id, expected, isWithdrawn, answer) {
	if
	:: skip; applyWrite(id, expected, isWithdrawn, answer)
	:: skip; applyWrite(id, expected, isWithdrawn, answer); answer = noAnswer
	:: answer = noAnswer
	:: !isDelayed[id] ->
		isDelayed[id] = true;
		delayedExpected[id] = expected;
		delayedWithdraws[id] = isWithdrawn;
		answer = noAnswer
	fi
}

/* Reads the row and its history in one step, as one read of the table does. */
inline settle(id, expected) {
	if
	:: row == expected -> skip
	:: row != expected && history[expected + 1] == id + 1 -> result[id] = accepted
	:: row != expected && history[expected + 1] != id + 1 -> result[id] = refused
	fi
}

proctype Publisher(byte id) {
	byte expected;
	byte tries = 0;
	bool isWithdrawn;
	mtype answer;

	atomic {
		expected = row;
		published[id] = expected + 1;
		isWithdrawn = (id == 1);
		if
		:: MUTATION != 4 -> isWithdrawn = isWithdrawn || withdraws[expected]
		:: else -> skip
		fi
	}
	do
	:: result[id] == unsettled && tries < TRIES ->
		atomic { tries++; tryWrite(id, expected, isWithdrawn, answer) };
		atomic {
			if
			:: answer == written || (answer == noAnswer && MUTATION == 2) -> result[id] = accepted
			:: else -> settle(id, expected)
			fi;
			answer = 0
		}
	:: else -> break
	od
}

proctype LateWrite(byte id) {
	mtype answer;
	end: atomic {
		isDelayed[id];
		applyWrite(id, delayedExpected[id], delayedWithdraws[id], answer)
	}
}

inline install(id, revision) {
	if
	:: revision > held[id] || MUTATION == 1 ->
		assert(revision >= held[id]);
		held[id] = revision;
		isPending[id] = isPending[id] && !withdraws[revision]
	:: else -> skip
	fi;
	if
	:: withdraws[held[id]] -> knewWithdrawal[id] = true
	:: else -> skip
	fi;
	assert(!knewWithdrawal[id] || isPending[id] || withdraws[held[id]])
}

/* Reads a source at one step and installs the answer at a later one; two readers of one follower
 * stand for polls and offers that cross. */
proctype Reader(byte id; byte rounds) {
	byte seen;
	do
	:: rounds > 0 ->
		atomic {
			rounds--;
			if
			:: seen = row
			:: seen = held[1 - id]
			fi
		};
		atomic { install(id, seen); seen = 0 }
	:: else -> break
	od
}

/* The key is withdrawn at a follower directly, as while the store is down. */
proctype DirectWithdrawal() {
	atomic {
		isPending[0] = !withdraws[held[0]];
		knewWithdrawal[0] = true
	}
}

#define ACCEPTED_KEPT(id) (result[id] != accepted || (row >= published[id] && history[published[id]] == id + 1))
#define REFUSED_IS_TRUE(id) (result[id] != refused || history[published[id]] != id + 1)

/* Evaluated in every state. */
active proctype Monitor() {
	end: do
	:: atomic { !(ACCEPTED_KEPT(0) && ACCEPTED_KEPT(1)) -> assert(false) }
	:: atomic { !(REFUSED_IS_TRUE(0) && REFUSED_IS_TRUE(1)) -> assert(false) }
	od
}

init {
	atomic {
		run Publisher(0);
		run Publisher(1);
		run LateWrite(0);
		run LateWrite(1);
		run Reader(0, 1);
		run Reader(0, 1);
		run Reader(1, 1);
		run DirectWithdrawal()
	}
}
