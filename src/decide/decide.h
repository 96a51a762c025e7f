#ifndef DECIDE_H
#define DECIDE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The decisions.  Plain values and the time go in, plain values come out:
 * no sockets, no encoding, no clock, and randomness only from a passed seed.
 */

#define US_PER_SECOND INT64_C(1000000)

#define GROUP_DATABASES_MAX 9
#define RANKS 3

/* A place in the log of a group.  A bare index orders nothing. */
typedef struct position {
	uint64_t term;
	uint64_t index;
} position_t;

int32_t position_compare(position_t, position_t);

/* What is known of one database, and when the question was put. */
typedef struct db_view {
	bool known;
	bool primary; /* by its own word */
	bool leaving;
	uint64_t promised; /* it refuses older terms */
	position_t last;   /* the last entry of its log */
	int64_t asked_us;
} db_view_t;

void view_update(db_view_t *, const db_view_t *heard);

/* Acknowledgement: hold.c */
bool hold_confirmed(const db_view_t *, uint32_t count, position_t, int64_t);
uint32_t majority_of(uint32_t count);

/* How long the belief in a primary lasts: lease.c */
typedef struct lease {
	uint64_t term;
	int64_t until_us;
	uint64_t barred;   /* a change of the primary of this term was begun */
	int64_t barred_us; /* when that was last seen */
} lease_t;

/* How long a lease lasts after the questions that it rests on. */
typedef struct lease_span {
	int64_t short_us; /* unknown to whoever changes the primary */
	int64_t long_us;  /* can be asked to give the lease back */
	int64_t known_us; /* the latter, for questions from then on */
} lease_span_t;

bool lease_renew(lease_t *, const db_view_t *, uint32_t count, uint32_t primary,
    int64_t now_us, const lease_span_t *);
void lease_revoke(lease_t *, uint64_t term, int64_t now_us);
void lease_unlisted(lease_t *);

/* How long silence is borne, and what follows: silence.c */
typedef enum silence_verdict {
	SILENCE_NONE,
	SILENCE_PING,
	SILENCE_CONDEMN,
} silence_verdict_t;

typedef struct silence {
	int64_t heard_us;  /* the last sign of life */
	int64_t pinged_us; /* 0: no ping is open */
} silence_t;

void silence_heard(silence_t *, int64_t now_us);
silence_verdict_t silence_check(
    silence_t *, int64_t now_us, int64_t quiet_us, int64_t answer_us);

/* Connections to one database: budget.c */
typedef struct budget {
	uint32_t share;        /* this daemon may have open at once */
	uint32_t warm;         /* kept open while idle */
	uint32_t transactions; /* of the share, at most */
} budget_t;

budget_t budget_split(uint32_t limit, uint32_t slots);

/* Retries: retry.c */
typedef struct retry {
	int64_t tokens_milli;
} retry_t;

void retry_earn(retry_t *);
bool retry_spend(retry_t *);

/* Which version of a document is in force: version.c */
bool version_supersedes(uint64_t offered, uint64_t in_force);
bool version_to_judge(uint64_t team, uint64_t accepted, uint64_t judged);

#endif
