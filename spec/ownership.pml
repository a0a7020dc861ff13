/*
 * The lease on one slice (docs/design.md, 4.2): two instances, three witnesses,
 * a quorum of two, discrete time.
 *
 * G1  Work of two instances never runs on the servers of one slice at the same
 *     time.
 * G2  Two instances are never both allowed to send at the same time.
 *
 * Times are represented as the time left, which keeps the model finite; `Tick`
 * decreases all of them. A lease is measured from the start of the round that
 * requested it, a promise from its grant. A request or reply that is lost, late
 * or never sent is a grant that is not counted. Steps may be delayed by any
 * number of ticks, which covers pauses. Witnesses may restart with empty memory
 * at any time. Clock drift is not modelled: the design shortens the lease by
 * the assumed drift, which corresponds to the equal rates here. The witness set
 * is fixed.
 */
// FAULT no_expiry_check a paused holder sends without looking at its expiry
// FAULT no_wait the new holder does not wait for the former one's work
// FAULT held_last a promise without a lease counts as a clean handover
// FAULT no_quiet a restarted witness grants at once
// FAULT release_with_work the holder releases while its work runs
// FAULT stale_release a late release frees a promise that was granted after it
// FAULT old_replies replies of an earlier round count in the present one
// FAULT minority one grant is enough

/* Length of lease and promise; longest work; how long work may continue after
   the lease, as the last send is at least one tick before its expiry. */
#define LEASE 2
#define WORK 2
#define OVERRUN (WORK - 1)
#define WITNESSES 3
#ifdef FAULT_minority
#define QUORUM 1
#else
#define QUORUM 2
#endif
#define NOBODY 2

/* Holders, by number 0 and 1. */
byte lease[2];      /* time left of the lease */
#ifdef FAULT_no_expiry_check
bool holding[2];    /* held in the view of a holder that ignores the time */
#endif
byte round[2];      /* time left of the lease that the round requests */
byte granted[2];    /* bit set of the witnesses counted in the round */
bool dirty[2];      /* a counted reply did not report a clean handover */
byte wait[2];       /* time left before the first send */
byte work[2];       /* time left of the work on the server */

/* Witnesses. */
byte promised[WITNESSES] = NOBODY;
byte promise[WITNESSES];  /* time left of the promise */
byte unclean[WITNESSES];  /* time left in which former work may run */
byte quiet[WITNESSES];    /* time left in which nothing is granted */
/* Release of holder 0 to a witness: 0 none, 1 in transit, 2 in transit and
   older than the last grant of the witness to holder 0. The releases of holder
   1 arrive at once or are lost, which keeps the model small. */
byte release[WITNESSES];

byte h, w, n;

#define MAY_SEND(aHolder) (lease[aHolder] > 0 && wait[aHolder] == 0)
#define DOWN(aTime) if :: aTime > 0 -> aTime-- :: else fi

inline Tick() {
  h = 0;
  do
  :: h < 2 -> DOWN(lease[h]); DOWN(round[h]); DOWN(wait[h]); DOWN(work[h]); h++
  :: else -> break
  od;
  w = 0;
  do
  :: w < WITNESSES ->
     DOWN(quiet[w]);
     DOWN(unclean[w]);
     if
     :: promise[w] == 1 ->
        /* Expired without a release. */
        promise[w] = 0;
        promised[w] = NOBODY;
        unclean[w] = OVERRUN
     :: promise[w] > 1 -> promise[w]--
     :: else
     fi;
     w++
  :: else -> break
  od;
  h = 0; w = 0
}

inline Begin(aHolder) {
  round[aHolder] = LEASE;
#ifndef FAULT_old_replies
  granted[aHolder] = 0;
  dirty[aHolder] = 0
#endif
}

inline Promise(aHolder, aWitness) {
  promised[aWitness] = aHolder;
  promise[aWitness] = LEASE;
  if
  :: aHolder == 0 && release[aWitness] == 1 -> release[aWitness] = 2
  :: else
  fi
}

/* The witness promises and the holder counts its reply. */
inline Grant(aHolder, aWitness) {
#ifdef FAULT_held_last
  n = (unclean[aWitness] > 0 && promise[aWitness] == 0 -> 1 : 0);
#else
  n = (unclean[aWitness] > 0 -> 1 : 0);
#endif
  Promise(aHolder, aWitness);
  granted[aHolder] = granted[aHolder] | (1 << aWitness);
  dirty[aHolder] = dirty[aHolder] || n;
  n = (granted[aHolder] & 1) + ((granted[aHolder] >> 1) & 1) +
      ((granted[aHolder] >> 2) & 1);
  if
  :: n >= QUORUM ->
     if
     :: lease[aHolder] == 0 ->
#ifdef FAULT_no_wait
        wait[aHolder] = 0
#else
        wait[aHolder] = (dirty[aHolder] -> OVERRUN : 0)
#endif
     :: else
     fi;
     lease[aHolder] = round[aHolder];
#ifdef FAULT_no_expiry_check
     holding[aHolder] = 1;
#endif
     round[aHolder] = 0;
#ifndef FAULT_old_replies
     granted[aHolder] = 0;
#endif
     dirty[aHolder] = 0
  :: else
  fi;
  n = 0
}

inline HandOver(aHolder) {
  lease[aHolder] = 0;
#ifdef FAULT_no_expiry_check
  holding[aHolder] = 0;
#endif
  round[aHolder] = 0;
  granted[aHolder] = 0;
  dirty[aHolder] = 0
}

inline Free(aWitness) {
  promised[aWitness] = NOBODY;
  promise[aWitness] = 0
}

inline Restart(aWitness) {
  Free(aWitness);
  unclean[aWitness] = LEASE + OVERRUN;
#ifndef FAULT_no_quiet
  quiet[aWitness] = LEASE;
#endif
  release[aWitness] = 0
}

#ifdef FAULT_old_replies
#define COUNTS(aHolder, aWitness) true
#else
#define COUNTS(aHolder, aWitness) !(granted[aHolder] & (1 << aWitness))
#endif
#define GRANTS(aHolder, aWitness) \
  round[aHolder] > 0 && COUNTS(aHolder, aWitness) && quiet[aWitness] == 0 && \
  (promised[aWitness] == NOBODY || promised[aWitness] == aHolder)

#ifdef FAULT_no_expiry_check
#define SENDS(aHolder) holding[aHolder] && wait[aHolder] == 0
#else
#define SENDS(aHolder) MAY_SEND(aHolder)
#endif

#ifdef FAULT_release_with_work
#define HANDS_OVER(aHolder) MAY_SEND(aHolder)
#else
#define HANDS_OVER(aHolder) MAY_SEND(aHolder) && work[aHolder] == 0
#endif

#ifdef FAULT_stale_release
#define VALID_RELEASE(aWitness) \
  release[aWitness] > 0 && promised[aWitness] == 0
#else
#define VALID_RELEASE(aWitness) \
  release[aWitness] == 1 && promised[aWitness] == 0
#endif

/* Each step is a single transition, which limits the search depth. */
#define HOLDER(H) \
  :: d_step { round[H] < LEASE -> Begin(H) } \
  :: d_step { \
       SENDS(H) -> \
       assert(work[1 - H] == 0); /* G1 */ \
       assert(!MAY_SEND(1 - H)); /* G2 */ \
       work[H] = WORK \
     } \
  :: d_step { work[H] > 0 -> work[H] = 0 }

#define PAIR(H, W) \
  :: d_step { GRANTS(H, W) -> Grant(H, W) } \
  :: d_step { GRANTS(H, W) -> Promise(H, W) } /* the reply is lost */

#define WITNESS(W) \
  :: d_step { release[W] > 0 -> release[W] = 0 } /* lost */ \
  :: d_step { VALID_RELEASE(W) -> Free(W); release[W] = 0 } \
  :: d_step { Restart(W) }

init {
  do
  :: d_step { Tick() }
  HOLDER(0)
  HOLDER(1)
  PAIR(0, 0)
  PAIR(0, 1)
  PAIR(0, 2)
  PAIR(1, 0)
  PAIR(1, 1)
  PAIR(1, 2)
  WITNESS(0)
  WITNESS(1)
  WITNESS(2)
  :: d_step {
       HANDS_OVER(0) ->
       HandOver(0);
       release[0] = 1;
       release[1] = 1;
       release[2] = 1
     }
  :: atomic {
       HANDS_OVER(1) ->
       HandOver(1);
       do
       :: w < WITNESSES ->
          if
          :: promised[w] == 1 -> Free(w)
          :: skip /* lost */
          fi;
          w++
       :: else -> break
       od;
       w = 0
     }
  od
}
