#ifndef DECIDE_OWNER_H
#define DECIDE_OWNER_H

#include "decide.h"

/* Assignment of keys to daemons by rendezvous hashing. */
int32_t owner_pick(const char *const *members, uint32_t count, const char *key);
uint32_t owner_rank(const char *const *members, uint32_t count,
    const char *self, const char *key);

/* Division of keys into buckets. */
uint32_t key_bucket(const char *key, uint32_t buckets);

#endif
