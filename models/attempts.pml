/*
 * Attempts of one job: no attempt gets the answer of another one, or is ended by
 * another one's cancellation.
 *
 * A caller submits a job to either of two gateways, leaves at any step, and submits
 * it again. A gateway forwards its open attempt to the owner that it follows, and
 * notices late that a caller has left. It follows the second owner after the first
 * one, which goes on, as it may be frozen, cut off, or not have heard of the second
 * one. The gateway cancels the attempt at the first owner as it forwards it to the
 * second one. A link that ends loses what is on its way, and a new link may replace
 * one whose end was not noticed. A gateway may be restarted.
 *
 * Checked: an answer finishes only the attempt that it names. A cancellation leaves
 * the caller's current attempt alone unless it names it. Once nothing is on its way
 * and no grace is pending, an owner runs the job only for attempts that are open,
 * and it knows the open attempt that was forwarded to it; the first owner does not
 * run the job for an attempt that was forwarded to the second one.
 *
 * Code: service.gateway: Gateway. service.open_jobs: list_untold_owners.
 * Code: scheduling.intake: submit, cancel_attempt.
 * Code: scheduling.gateway_links: record_change, remove_unconfirmed.
 * Code: scheduling.job_ends: remove_attempt, answer_attempts.
 *
 * Bounds: 2 attempts, 1 change of a link, 1 restart of a gateway; no requests that
 * share an attempt.
 *
 * Twins: NAIVE_ANSWER takes an answer for any attempt of the job; NAIVE_CANCEL ends
 * the job for all attempts; NAIVE_GATEWAY keeps the last attempt only; NAIVE_LINK
 * forgets that a link was lost once it is made again; NAIVE_REPLACED does not count
 * a new link that replaces another; NAIVE_FORWARD forwards nothing again after
 * that; NAIVE_ELSEWHERE tells the next owner nothing of an earlier owner's answer;
 * NAIVE_NUMBER numbers the attempts of each process of a gateway from 1; NAIVE_MOVED
 * does not cancel an attempt at the first owner as it moves.
 */
#define ATTEMPTS 2
#define NONE 2               /* no attempt */
#define ANSWERED 3           /* the caller has its answer */
#define NO_OWNER 2
#define MAX_CHANGES 1

#define BIT(a) (1 << (a))
#define AT(a, o) ((a) * 2 + (o))
#define LINK(g, o) ((g) * 2 + (o))

#ifdef NAIVE_ANSWER
#define MATCHES(x, a) true
#else
#ifdef NAIVE_NUMBER
#define MATCHES(x, a) (number[x] == number[a])
#else
#define MATCHES(x, a) ((x) == (a))
#endif
#endif

/* The caller. */
byte current = NONE;         /* the attempt that it waits for */

/* Attempts, in the order in which gateways have begun them. */
byte made;
byte gateway[ATTEMPTS];
bit open[ATTEMPTS];
bit left[ATTEMPTS];          /* its caller has left unnoticed */
byte number[ATTEMPTS];

/* Gateways. */
byte forwarded[2] = NO_OWNER;   /* the owner that the open attempt was sent to */
byte follows[2];
byte numbered[2];
bit untold[2];               /* the first owner has it, and knows of no next one */
bit restarted;

/* Owners. */
byte waiting[2];             /* bit mask of the attempts that wait for the job */
byte unconfirmed[2];
bit done[2];

/* Links, and what is on its way. */
bit up[4] = 1;
byte changes;
bit submission[4];
bit cancellation[4];
bit answer[4];

/* Set before each use, so not part of the state. */
hidden byte a, g, o, x, members;

/* Set x to the open attempt of gateway g, or NONE. */
inline find_open() {
	x = 0;
	do
	:: x < ATTEMPTS && !(open[x] && gateway[x] == g) -> x++
	:: else -> break
	od
}

/* Set members to the attempts of gateway g. */
inline find_mask() {
	members = 0;
	a = 0;
	do
	:: a < made ->
		if
		:: gateway[a] == g -> members = members | BIT(a)
		:: else
		fi;
		a++
	:: else -> break
	od
}

/* Lose what is on its way between gateway g and owner o. */
inline drop() {
	a = 0;
	do
	:: a < made ->
		if
		:: gateway[a] == g ->
			submission[AT(a, o)] = 0;
			cancellation[AT(a, o)] = 0;
			answer[AT(a, o)] = 0
		:: else
		fi;
		a++
	:: else -> break
	od
}

inline mark_unconfirmed() {
	find_mask();
	unconfirmed[o] = unconfirmed[o] | (waiting[o] & members)
}

inline forget_owner() {
	if
	:: forwarded[g] == o -> forwarded[g] = NO_OWNER
	:: else
	fi
}

/* A new link takes the place of another one. */
inline replace_link() {
	drop();
#ifndef NAIVE_REPLACED
	mark_unconfirmed();
#endif
#ifndef NAIVE_FORWARD
	forget_owner()
#endif
}

/* Cancel the attempt x of gateway g at the owner that it was forwarded to. */
inline cancel() {
	if
	:: forwarded[g] != NO_OWNER && up[LINK(g, forwarded[g])] ->
		cancellation[AT(x, forwarded[g])] = 1
	:: else
	fi
}

/* Cancel the attempt x of gateway g, which moves, at the first owner. */
inline cancel_moved() {
#ifdef NAIVE_MOVED
	skip
#else
	if
	:: untold[g] && follows[g] == 1 && up[LINK(g, 0)] ->
		cancellation[AT(x, 0)] = 1;
		untold[g] = 0
	:: else
	fi
#endif
}

inline close() {
	open[x] = 0;
	left[x] = 0;
	untold[g] = 0;
	forwarded[g] = NO_OWNER
}

/* Begin an attempt at gateway g. */
inline begin_attempt() {
	gateway[made] = g;
	open[made] = 1;
	numbered[g]++;
	number[made] = numbered[g];
	forwarded[g] = NO_OWNER;
	current = made;
	made++
}

inline choose_gateway() {
	if
	:: g = 0
	:: g = 1
	fi
}

inline choose_owner() {
	if
	:: o = 0
	:: o = 1
	fi
}

inline choose_attempt() {
	a = 0;
	do
	:: a + 1 < made -> a++
	:: break
	od
}

active proctype system() {
	do
	/* The caller submits its job, to a gateway without an open attempt. */
	:: atomic {
		current == NONE ->
		choose_gateway();
		find_open();
		if
		:: x == ATTEMPTS && made < ATTEMPTS ->
			begin_attempt()
		:: else
		fi
	}
	/* The caller leaves. */
	:: atomic {
		current < NONE ->
		left[current] = 1;
		current = NONE
	}
	/* A gateway notices that a caller has left. */
	:: atomic {
		made > 0 ->
		choose_attempt();
		if
		:: open[a] && left[a] ->
			g = gateway[a];
			x = a;
			cancel();
			close()
		:: else
		fi
	}
	/* A gateway forwards its open attempt. */
	:: atomic {
		made > 0 ->
		choose_gateway();
		find_open();
		if
		:: x < ATTEMPTS && forwarded[g] != follows[g] &&
		   up[LINK(g, follows[g])] ->
			cancel_moved();
			forwarded[g] = follows[g];
			submission[AT(x, follows[g])] = 1;
			untold[g] = untold[g] || follows[g] == 0
		:: else
		fi
	}
	/* A gateway follows the second owner. */
	:: atomic {
		choose_gateway();
		follows[g] = 1
	}
	/* A submission arrives. */
	:: atomic {
		made > 0 ->
		choose_attempt();
		choose_owner();
		if
		:: submission[AT(a, o)] ->
			submission[AT(a, o)] = 0;
			if
			:: done[o] -> answer[AT(a, o)] = 1
			:: else ->
#ifdef NAIVE_GATEWAY
				waiting[o] = BIT(a);
#else
				waiting[o] = waiting[o] | BIT(a);
#endif
				unconfirmed[o] = unconfirmed[o] & ~BIT(a)
			fi
		:: else
		fi
	}
	/* A cancellation arrives, after the submission that was sent before it. */
	:: atomic {
		made > 0 ->
		choose_attempt();
		choose_owner();
		if
		:: cancellation[AT(a, o)] && !submission[AT(a, o)] ->
			cancellation[AT(a, o)] = 0;
			members = waiting[o];
#ifdef NAIVE_CANCEL
			waiting[o] = 0;
#else
			waiting[o] = waiting[o] & ~BIT(a);
#endif
			unconfirmed[o] = unconfirmed[o] & waiting[o];
			assert(current >= NONE || current == a ||
			       !(members & BIT(current)) ||
			       (waiting[o] & BIT(current)))
		:: else
		fi
	}
	/* The job completes. */
	:: atomic {
		choose_owner();
		if
		:: waiting[o] ->
			a = 0;
			do
			:: a < made ->
				if
				:: (waiting[o] & BIT(a)) && up[LINK(gateway[a], o)] ->
					answer[AT(a, o)] = 1
				:: else
				fi;
				a++
			:: else -> break
			od;
			waiting[o] = 0;
			unconfirmed[o] = 0;
			done[o] = 1
		:: else
		fi
	}
	/* An answer arrives. */
	:: atomic {
		made > 0 ->
		choose_attempt();
		choose_owner();
		if
		:: answer[AT(a, o)] ->
			answer[AT(a, o)] = 0;
			g = gateway[a];
			find_open();
			if
			:: x < ATTEMPTS && MATCHES(x, a) ->
				assert(x == a);
				if
				:: current == x -> current = ANSWERED
				:: else
				fi;
#ifndef NAIVE_ELSEWHERE
				if
				:: forwarded[g] != o -> cancel()
				:: else
				fi;
#endif
				close()
			:: else
			fi
		:: else
		fi
	}
	/* A link ends. */
	:: atomic {
		changes < MAX_CHANGES ->
		choose_gateway();
		choose_owner();
		if
		:: up[LINK(g, o)] ->
			changes++;
			up[LINK(g, o)] = 0;
			drop();
			mark_unconfirmed();
			forget_owner()
		:: else
		fi
	}
	/* A link is made again. */
	:: atomic {
		choose_gateway();
		choose_owner();
		if
		:: !up[LINK(g, o)] ->
			up[LINK(g, o)] = 1;
#ifdef NAIVE_LINK
			find_mask();
			unconfirmed[o] = unconfirmed[o] & ~members;
#else
			mark_unconfirmed();
#endif
			forget_owner()
		:: else
		fi
	}
	/* A new link replaces one that was not known to have ended. */
	:: atomic {
		changes < MAX_CHANGES ->
		choose_gateway();
		choose_owner();
		if
		:: up[LINK(g, o)] ->
			changes++;
			replace_link()
		:: else
		fi
	}
	/* The grace after a change of a link ends. */
	:: atomic {
		choose_owner();
		if
		:: unconfirmed[o] ->
			waiting[o] = waiting[o] & ~unconfirmed[o];
			unconfirmed[o] = 0
		:: else
		fi
	}
	/* A gateway is restarted. */
	:: atomic {
		!restarted ->
		restarted = 1;
		choose_gateway();
		find_open();
		if
		:: x < ATTEMPTS ->
			if
			:: current == x -> current = NONE
			:: else
			fi;
			close()
		:: else
		fi;
		numbered[g] = 0;
		o = 0;
		replace_link();
		o = 1;
		replace_link()
	}
	/* Nothing is on its way between a gateway and the owner that it follows. */
	:: atomic {
		made > 0 ->
		choose_attempt();
		g = gateway[a];
		o = follows[g];
		find_open();
		if
		:: up[LINK(g, o)] && !submission[AT(a, o)] &&
		   !cancellation[AT(a, o)] && !answer[AT(a, o)] &&
		   !(unconfirmed[o] & BIT(a)) ->
			assert(!(waiting[o] & BIT(a)) || open[a]);
			assert(x != a || forwarded[g] != o || (waiting[o] & BIT(a)))
		:: else
		fi
	}
	/* The same for the first owner, whichever one the gateway follows. */
	:: atomic {
		made > 0 ->
		choose_attempt();
		g = gateway[a];
		find_open();
		if
		:: up[LINK(g, 0)] && !submission[AT(a, 0)] &&
		   !cancellation[AT(a, 0)] && !answer[AT(a, 0)] &&
		   !(unconfirmed[0] & BIT(a)) ->
			assert(!(waiting[0] & BIT(a)) ||
			       (x == a && forwarded[g] != 1))
		:: else
		fi
	}
	od
}
