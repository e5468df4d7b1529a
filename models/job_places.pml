/*
 * Two attempts of one job in a region of two data centres with a group each.
 *
 * The first attempt is at a gateway of data centre 0, the second one at another
 * gateway there or in data centre 1. The owner of either group is the registrar of
 * the job. A gateway asks it, and sends the job to the group that it names, or else to
 * the group of its data centre; see scheduling.home_groups. One cut separates the data
 * centres, or only the second gateway from the owners of its data centre's group, from
 * any time on and for any time. One owner, of either group, ends at any time, and the
 * next one claims at any time. An owner may refuse a job of which it knows no run; the
 * other group may then get it, and refuse it too. The connection of the first attempt's
 * caller breaks at any time; its gateway sees it, and cancels the attempt, or does
 * not, and keeps the attempt until its deadline. The caller submits the job again
 * after the resubmission time, or at once while nothing is lost. The job must never
 * have runs in both groups.
 *
 * One unit of time is three tenths of a second. A run counts as active until the
 * latest time at which its worker may end it.
 *
 * Code: scheduling.home_groups: rank, choose_first, bound_absence_s,
 *   bound_earlier_attempt_s.
 * Code: scheduling.reservations. scheduling.intake: record_elsewhere. scheduling.places: Places.
 * Code: scheduling.job_ends: record_refusal, release_refusal.
 * Code: service.place_requests: must_wait, record_reply, tell_registrar, release.
 * Code: service.elsewhere_notes: tell_owners, withdraw, release.
 *
 * Assumptions, each with a twin that fails without it:
 * - NAIVE_CENTRE: a caller whose break is not seen returns within its data centre while
 *   the data centres are cut apart.
 * - NAIVE_VACANCY: it does so also while the registrar has no owner.
 * - NAIVE_WINDOW: a registrar or owner that can be reached again, or is new, is told by
 *   the first gateway before it gets the second attempt.
 * - NAIVE_LOSS: no owner ends while the second gateway alone has lost one, or as it
 *   gets it back. The lease of a run outlasts the deadline of its attempt then.
 * - NAIVE_POLL: an owner refuses a job only if it knows that no run of it is left in
 *   its group, so after it has polled its workers.
 * - NAIVE_RETURN: a caller returns after the resubmission time once anything was lost.
 *
 * Bounds: 2 attempts, 1 cut, 1 change of an owner. Owners are in the data centre of
 * their group. A group has one run at a time, as its next owner adopts the run that it
 * finds (ownership.pml, lease_grants.pml). Jobs do not complete. An answer of the
 * registrar takes no time, and neither does the timeout without one. An owner that
 * gets a note does not end a job.
 *
 * Twins of the rules:
 * - NAIVE_OWNERS: a job goes to the first group by its id that has a known owner.
 * - NAIVE_REGISTRAR: gateways do not ask the registrar.
 * - NAIVE_FIRST: the registrar tells each attempt that it is the first one.
 * - NAIVE_TELL: gateways do not tell a new registrar where a job is.
 * - NAIVE_ENDED: they do not tell it of an attempt that has ended and may have a run.
 * - NAIVE_ABSENCE: a group without an owner is passed over before its runs are over.
 * - NAIVE_EARLIER: it is passed over before an earlier attempt is over.
 * - NAIVE_CLAIM: gateways do not tell a new owner that a job may run elsewhere.
 * - NAIVE_REFUSAL: an owner does not note that the job it refuses may run elsewhere.
 */

#define ORIGIN 3              /* arrival of the first attempt */
#define BUDGET 5
#define DEADLINE(a) (begun[a] + BUDGET)
#define RESUBMISSION 4
#define LEASE 3
#define LIMIT 4
#define STOP 1
#define ABSENCE 5
#define EARLIER (BUDGET - RESUBMISSION + STOP)
#define END 18

#define NOBODY 0
#define FIRST_OWNER 1
#define SECOND_OWNER 2

/* What is cut. */
#define NOTHING 0
#define CENTRES 1
#define LINK 2
#define IS_LINKED(a, g) (cut == NOTHING || (cut == CENTRES && centre[a] == g) || \
    (cut == LINK && !((a) == 1 && centre[1] == g)))
#define FOLLOWS(a, g) (owner[g] != NOBODY && IS_LINKED(a, g))

#define NOWHERE 2             /* beside the groups, 0 and 1 */

/* What a gateway knows of other attempts, beside the group to go to. */
#define UNKNOWN 2
#define FIRST 3

#define BIT(a) (1 << (a))
#define B (1 - a)
#define HAS_NOTE(g, a) ((notes[g] & BIT(a)) && now < DEADLINE(a) + LIMIT)

byte now = 0;
byte cut = NOTHING;
bool was_cut = false;

/* The caller. */
bool has_left = false;
bool is_unseen = false;
byte left_at = 0;
bool has_returned = false;

/* Attempts, each at a gateway of its own. */
bool is_open[2] = false;
byte begun[2] = 0;
byte centre[2] = 0;           /* data centre of the gateway */
byte known[2] = UNKNOWN;
byte place[2] = NOWHERE;      /* the group that has it */
bool is_served[2] = false;    /* the owner of that group has it */
byte silent[2] = 0;           /* time since that owner has heard the gateway */
byte absent[2] = 0;           /* time since the gateway has lost its own group */
byte absent_there = 0;        /* the same, if the second one is in data centre 1 */
byte refused_by[2] = 0;       /* groups, as bits */
byte told[2] = NOBODY;        /* the owner of the other group that was told last */
byte told_place[2] = NOWHERE; /* the group that the registrar knows */

/* Owners. */
byte owner[2] = FIRST_OWNER;
bool was_lost = false;
byte active_until[2] = 0;     /* the run of each group */
byte notes[2] = 0;            /* attempts that each owner knows elsewhere, as bits */

/* The registrar, and the place that it knows. */
bool registrar = 0;
byte reserved = NOWHERE;
byte reserved_until = 0;
byte reserved_for = 0;        /* attempts, as bits */

hidden byte a, g;

#define IS_ALONE (!(is_served[B] && place[B] == place[a]))

/* The owner of its group ends attempt a. */
inline end_attempt() {
  if
  :: is_served[a] ->
     is_served[a] = false;
     silent[a] = 0;
     if
     :: IS_ALONE && active_until[place[a]] > now + STOP ->
        active_until[place[a]] = now + STOP
     :: else
     fi
  :: else
  fi
}

#ifdef NAIVE_POLL
byte starter[2] = NOBODY;     /* the owner that knows the run */
#define KNOWS_NO_RUN(g) (starter[g] != owner[g] || active_until[g] <= now)
#else
#define KNOWS_NO_RUN(g) (active_until[g] <= now)
#endif

/* Start the job in group g for attempt a, or let the attempt join its run. */
inline start() {
  place[a] = g;
  is_served[a] = true;
  silent[a] = 0;
#ifdef NAIVE_POLL
  starter[g] = owner[g];
#endif
  if
  :: active_until[g] <= now -> assert(active_until[1 - g] <= now)
  :: else
  fi;
  active_until[g] = now + LIMIT
}

/* The registrar records that attempt a is, or may be, in group g. */
inline record_place() {
  if
  :: reserved == g && now < reserved_until -> reserved_for = reserved_for | BIT(a)
  :: else -> reserved = g; reserved_for = BIT(a); reserved_until = 0
  fi;
  if
  :: reserved_until < DEADLINE(a) + LIMIT -> reserved_until = DEADLINE(a) + LIMIT
  :: else
  fi;
  told_place[a] = g
}

/* Every group has refused attempt a, or the next one cannot be reached. */
inline release() {
  is_open[a] = false;
  g = 0;
  do
  :: g < 2 ->
     if
     :: FOLLOWS(a, g) -> notes[g] = notes[g] & ~BIT(a)
     :: else
     fi;
     g++
  :: else -> break
  od;
  if
  :: FOLLOWS(a, registrar) && told_place[a] != NOWHERE ->
     reserved_for = reserved_for & ~BIT(a);
     if
     :: reserved_for == 0 -> reserved = NOWHERE; reserved_until = 0
     :: else
     fi
  :: else
  fi
}

#define MAY_REFUSE \
    (place[a] == NOWHERE && KNOWS_NO_RUN(g) && !(is_served[B] && place[B] == g))

/* Attempt a arrives at the owner of group g, which does not refuse it. */
inline admit() {
  if
  :: HAS_NOTE(g, B) -> is_open[a] = false
  :: else -> start()
  fi
}

/* Attempt a arrives at the owner of group g. */
inline arrive() {
  if
  :: !HAS_NOTE(g, B) && MAY_REFUSE ->
#ifndef NAIVE_REFUSAL
     notes[g] = notes[g] | BIT(a);
#endif
     told[a] = owner[g];
     refused_by[a] = refused_by[a] | BIT(g);
     g = 1 - g;
     if
     :: FOLLOWS(a, g) -> notes[g] = notes[g] & ~BIT(a); admit()
     :: FOLLOWS(a, g) && !HAS_NOTE(g, B) && MAY_REFUSE -> release()
     :: !FOLLOWS(a, g) -> release()
     fi
  :: true -> admit()
  fi
}

#ifdef NAIVE_ABSENCE
#define IS_ABSENT true
#else
#define IS_ABSENT (absent[a] > ABSENCE)
#endif

#ifdef NAIVE_EARLIER
#define IS_EARLIER_OVER true
#else
#define IS_EARLIER_OVER (now >= begun[a] + EARLIER)
#endif

#ifdef NAIVE_OWNERS
#define HOME registrar
#define MAY_PASS_OVER true
#else
#define HOME centre[a]
#define MAY_PASS_OVER (known[a] == FIRST || (IS_ABSENT && IS_EARLIER_OVER))
#endif

/* The gateway sends attempt a to a group, or again to its group's owner. */
inline forward() {
  g = NOWHERE;
  if
  :: place[a] != NOWHERE -> g = place[a]
  :: place[a] == NOWHERE && known[a] < UNKNOWN -> g = known[a]
  :: place[a] == NOWHERE && known[a] >= UNKNOWN && FOLLOWS(a, HOME) -> g = HOME
  :: place[a] == NOWHERE && known[a] >= UNKNOWN && !FOLLOWS(a, HOME) &&
     MAY_PASS_OVER -> g = 1 - HOME
  :: else
  fi;
  if
  :: is_open[a] && !is_served[a] && g != NOWHERE && FOLLOWS(a, g) -> arrive()
  :: else
  fi;
  g = 0
}

#ifdef NAIVE_FIRST
#define IS_KNOWN false
#define MAY_BE_HERE false
#else
#define IS_KNOWN (reserved != NOWHERE && now < reserved_until && \
    reserved_for != BIT(a))
#define MAY_BE_HERE (HAS_NOTE(registrar, B) || \
    (is_served[B] && place[B] == registrar))
#endif

/* The gateway asks the registrar for the place of attempt a. */
inline ask() {
#ifdef NAIVE_REGISTRAR
  skip
#else
  if
  :: is_open[a] && place[a] == NOWHERE && known[a] == UNKNOWN &&
     FOLLOWS(a, registrar) ->
     if
     :: IS_KNOWN -> g = reserved; known[a] = g
     :: !IS_KNOWN && MAY_BE_HERE -> g = registrar; known[a] = g
     :: else -> g = HOME; known[a] = FIRST
     fi;
     record_place();
     g = 0
  :: else
  fi
#endif
}

#ifdef NAIVE_ENDED
#define MAY_HAVE_RUN (place[a] != NOWHERE && is_open[a])
#else
#define MAY_HAVE_RUN (place[a] != NOWHERE && \
    (is_open[a] || active_until[place[a]] > now))
#endif

/* The gateway tells the registrar where attempt a is. */
inline tell_registrar() {
#ifdef NAIVE_REGISTRAR
  skip
#else
  if
  :: !IS_LINKED(a, registrar) -> told_place[a] = NOWHERE
  :: FOLLOWS(a, registrar) && MAY_HAVE_RUN && told_place[a] != place[a] ->
     g = place[a];
     record_place();
     g = 0
  :: else
  fi
#endif
}

#define OTHER (1 - place[a])
#define IS_OTHER_DUE (place[a] != NOWHERE && \
    (OTHER == HOME || (refused_by[a] & BIT(OTHER))) && \
    (is_open[a] || active_until[place[a]] > now))

#ifdef NAIVE_CLAIM
#define MUST_TELL (told[a] == NOBODY)
#else
#define MUST_TELL (told[a] != owner[OTHER])
#endif

/* The gateway tells the owner of the other group that attempt a may run elsewhere. */
inline tell_owner() {
  if
  :: IS_OTHER_DUE && !IS_LINKED(a, OTHER) -> told[a] = NOBODY
  :: IS_OTHER_DUE && FOLLOWS(a, OTHER) && MUST_TELL ->
     notes[OTHER] = notes[OTHER] | BIT(a);
     told[a] = owner[OTHER]
  :: else
  fi
}

inline tell() {
#ifdef NAIVE_WINDOW
  if
  :: true -> tell_registrar(); tell_owner()
  :: true
  fi
#else
  tell_registrar();
  tell_owner()
#endif
}

/* The owner of its group hears the gateway of attempt a, or does not. */
inline keep() {
  if
  :: is_served[a] && FOLLOWS(a, place[a]) ->
     silent[a] = 0;
     active_until[place[a]] = now + LIMIT
  :: is_served[a] && !FOLLOWS(a, place[a]) ->
     silent[a]++;
     if
     :: silent[a] >= LEASE -> end_attempt()
     :: else
     fi
  :: else
  fi;
  if
  :: begun[a] && now >= DEADLINE(a) -> end_attempt(); is_open[a] = false
  :: else
  fi;
  if
  :: FOLLOWS(a, HOME) -> absent[a] = 0
  :: !FOLLOWS(a, HOME) && absent[a] <= ABSENCE -> absent[a]++
  :: else
  fi
}

#ifdef NAIVE_LOSS
#define MAY_END true
#else
#define MAY_END (cut != LINK && absent[1] == 0 && absent_there == 0)
#endif

/* The owner of group g ends. */
inline lose_owner() {
  owner[g] = NOBODY;
  was_lost = true;
  notes[g] = 0;
  a = 0;
  do
  :: a < 2 ->
     if
     :: place[a] == g -> is_served[a] = false; silent[a] = 0
     :: else
     fi;
#ifndef NAIVE_TELL
     if
     :: registrar == g -> told_place[a] = NOWHERE
     :: else
     fi;
#endif
     a++
  :: else -> break
  od;
  if
  :: registrar == g -> reserved = NOWHERE; reserved_for = 0; reserved_until = 0
  :: else
  fi
}

inline change_faults() {
  if
  :: !was_cut -> cut = CENTRES; was_cut = true
  :: !was_cut -> cut = LINK; was_cut = true
  :: cut != NOTHING -> cut = NOTHING
  :: true
  fi;
  if
  :: !was_lost && MAY_END -> g = 0; lose_owner()
  :: !was_lost && MAY_END -> g = 1; lose_owner()
  :: owner[0] == NOBODY -> owner[0] = SECOND_OWNER
  :: owner[1] == NOBODY -> owner[1] = SECOND_OWNER
  :: true
  fi;
  g = 0
}

/* The connection of the first attempt's caller breaks. */
inline leave() {
  has_left = true;
  left_at = now;
  if
  :: is_open[0] ->
     a = 0;
     if
     :: is_served[0] && FOLLOWS(0, place[0]) -> end_attempt()
     :: else
     fi;
     is_open[0] = false
  :: is_open[0] -> is_unseen = true
  :: !is_open[0]
  fi
}

#ifdef NAIVE_RETURN
#define MAY_RETURN true
#else
#define MAY_RETURN (now >= left_at + RESUBMISSION || (!was_lost && !was_cut))
#endif

#ifdef NAIVE_CENTRE
#define IS_CUT_APART false
#else
#define IS_CUT_APART (cut == CENTRES)
#endif
#ifdef NAIVE_VACANCY
#define IS_VACANT false
#else
#define IS_VACANT (owner[registrar] == NOBODY)
#endif
#define MAY_MOVE (!is_unseen || (!IS_CUT_APART && !IS_VACANT))

inline count_absence_there() {
  if
  :: has_returned || (owner[1] != NOBODY && cut != LINK) -> absent_there = 0
  :: else ->
     if
     :: absent_there <= ABSENCE -> absent_there++
     :: else
     fi
  fi
}

inline submit_again() {
  has_returned = true;
  left_at = 0;
  is_open[1] = true;
  begun[1] = now;
  if
  :: MAY_MOVE -> centre[1] = 1; absent[1] = absent_there
  :: true
  fi;
  absent_there = 0
}

inline change_caller() {
  if
  :: now == ORIGIN -> is_open[0] = true; begun[0] = now
  :: now >= ORIGIN && !has_left -> leave()
  :: has_left && !has_returned && MAY_RETURN -> submit_again()
  :: now != ORIGIN
  fi
}

init {
  if
  :: registrar = 0
  :: registrar = 1
  fi;
  do
  :: now < END ->
     atomic {
       now++;
       change_faults();
       a = 0; keep(); tell(); ask();
       a = 1; keep(); tell();
       count_absence_there();
       change_caller();
       a = 0; ask(); forward(); tell();
       a = 1; ask(); forward(); tell();
       a = 0; g = 0
     }
  :: else -> break
  od
}
