#include "owner.h"

#include <string.h>
#include <xxhash.h>

/*
 * Return the weight of a member for a key.
 */
static uint64_t
weight_of(const char *member, const char *key)
{
	uint64_t seed = XXH64(key, strlen(key), 0);

	return XXH64(member, strlen(member), seed);
}

/*
 * Return the owner of a key, which is the member with the highest weight for
 * it, or -1 when there are no members.  Daemons that know the same members
 * agree on the owner.  While they know different ones they may disagree, which
 * costs time but never correctness.
 */
int32_t
owner_pick(const char *const *members, uint32_t count, const char *key)
{
	uint64_t weight, best_weight = 0;
	int32_t best = -1;
	uint32_t i;

	for (i = 0; i < count; i++) {
		weight = weight_of(members[i], key);
		if (best < 0 || weight > best_weight ||
		    (weight == best_weight &&
			strcmp(members[i], members[best]) < 0)) {
			best = (int32_t)i;
			best_weight = weight;
		}
	}
	return best;
}

/*
 * Return the place of a member in the order of weights for a key: 0 for the
 * owner, 1 for the member that follows if the owner leaves, and so on.
 */
uint32_t
owner_rank(const char *const *members, uint32_t count, const char *self,
    const char *key)
{
	uint64_t own = weight_of(self, key);
	uint32_t i, rank = 0;

	for (i = 0; i < count; i++) {
		if (strcmp(members[i], self) != 0 &&
		    weight_of(members[i], key) > own)
			rank++;
	}
	return rank;
}

/*
 * Return the bucket, from 0 to buckets - 1, that a key hashes to.
 */
uint32_t
key_bucket(const char *key, uint32_t buckets)
{
	return (uint32_t)(XXH64(key, strlen(key), 0) % buckets);
}
