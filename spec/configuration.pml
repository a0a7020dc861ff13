/*
 * Configuration versions of the instances of a fleet (docs/design.md, 4.3).
 *
 * Three instances, two versions, a quorum of two. Versions are published in
 * order. The service may answer with any published version, also an old one.
 * Instances pull from each other. An instance may restart with empty memory. It
 * is then fresh and asks its peers, of which only those answer that are not
 * fresh themselves. An answer may be lost, or arrive after a further restart of
 * the instance that asked.
 *
 * G1  The version in force never decreases within one run of an instance.
 * G2  A fresh instance does not act under a version below one that a quorum
 *     has had in force since before it started.
 *
 * All steps are atomic and may happen in any order, which covers delays and
 * pauses. Documents are represented by their version numbers.
 */
// FAULT accept_lower an instance takes whatever the service answers
// FAULT no_quorum a fresh instance acts as soon as it has a document
// FAULT old_answers answers to an earlier run of the asker count
// FAULT few_answers one answer fewer than it takes to meet every quorum

#define N 3
#define QUORUM 2
/* Answers that intersect every quorum: N - QUORUM + 1. */
#ifdef FAULT_few_answers
#define ANSWERS 1
#else
#define ANSWERS 2
#endif
#define VERSIONS 2
#define RESTARTS 2

byte published = 1;
byte inForce[N] = 1;
bool fresh[N];
/* The run of an instance; restarts are bounded to keep the model finite. */
byte runs[N];
byte restarts;
/* heard[x*N+y]: x has an answer from y that counts. */
bool heard[N * N];
/* The answer of y in transit to x, 0 for none, and the run of x that asked. */
byte answer[N * N];
byte answerRun[N * N];
/* held[x*N+y]: version that y has had in force since before x started; for
   y = x the version in the memory that x lost. */
byte held[N * N];

byte x, y, k, n, v;

inline Adopt(aInstance, aVersion) {
#ifdef FAULT_accept_lower
  if
  :: aVersion > 0 ->
#else
  if
  :: aVersion > inForce[aInstance] ->
#endif
     assert(aVersion >= inForce[aInstance]); /* G1 */
     inForce[aInstance] = aVersion
  :: else
  fi
}

inline Restart(aInstance) {
  restarts++;
  runs[aInstance]++;
  k = 0;
  do
  :: k < N ->
     /* The lost memory of this instance counts towards what a quorum had. */
     held[aInstance * N + k] = (fresh[k] -> 0 : inForce[k]);
     heard[aInstance * N + k] = 0;
     if
     :: k != aInstance -> held[k * N + aInstance] = 0
     :: else
     fi;
     k++
  :: else -> break
  od;
  fresh[aInstance] = 1;
  inForce[aInstance] = 0
}

/* Asserts that no quorum has had a version above that of the instance in force
   since before the instance started. */
inline CheckFloor(aInstance) {
  v = VERSIONS;
  do
  :: v > inForce[aInstance] ->
     n = 0;
     k = 0;
     do
     :: k < N ->
        if
        :: held[aInstance * N + k] >= v -> n++
        :: else
        fi;
        k++
     :: else -> break
     od;
     assert(n < QUORUM); /* G2 */
     v--
  :: else -> break
  od
}

init {
  do
  :: atomic { published < VERSIONS -> published++ }
  :: atomic {
       /* The service answers, possibly with an old version. */
       select(x : 0 .. N - 1);
       select(v : 1 .. VERSIONS);
       if
       :: v <= published -> Adopt(x, v)
       :: else
       fi;
       v = 0; x = 0
     }
  :: atomic {
       /* x pulls from y. */
       select(x : 0 .. N - 1);
       select(y : 0 .. N - 1);
       if
       :: inForce[y] > inForce[x] -> Adopt(x, inForce[y])
       :: else
       fi;
       x = 0; y = 0
     }
  :: atomic {
       restarts < RESTARTS ->
       select(x : 0 .. N - 1);
       Restart(x);
       x = 0; k = 0
     }
  :: atomic {
       /* y answers x; an earlier answer in transit is lost. */
       select(x : 0 .. N - 1);
       select(y : 0 .. N - 1);
       if
       :: x != y && fresh[x] && !fresh[y] ->
          answer[x * N + y] = inForce[y];
          answerRun[x * N + y] = runs[x]
       :: else
       fi;
       x = 0; y = 0
     }
  :: atomic {
       /* An answer arrives. */
       select(x : 0 .. N - 1);
       select(y : 0 .. N - 1);
       if
#ifdef FAULT_old_answers
       :: fresh[x] && answer[x * N + y] > 0 ->
#else
       :: fresh[x] && answer[x * N + y] > 0 &&
          answerRun[x * N + y] == runs[x] ->
#endif
          heard[x * N + y] = 1;
          Adopt(x, answer[x * N + y]);
          answer[x * N + y] = 0;
          answerRun[x * N + y] = 0
       :: else
       fi;
       x = 0; y = 0
     }
  :: atomic {
       /* A fresh instance has enough answers and acts from now on. */
       select(x : 0 .. N - 1);
       n = 0;
       k = 0;
       do
       :: k < N -> n = n + heard[x * N + k]; k++
       :: else -> break
       od;
       if
#ifdef FAULT_no_quorum
       :: fresh[x] && inForce[x] > 0 ->
#else
       :: fresh[x] && inForce[x] > 0 && n >= ANSWERS ->
#endif
          CheckFloor(x);
          fresh[x] = 0;
          k = 0;
          do
          :: k < N ->
             held[x * N + k] = 0;
             heard[x * N + k] = 0;
             k++
          :: else -> break
          od
       :: else
       fi;
       x = 0; k = 0; n = 0; v = 0
     }
  od
}
