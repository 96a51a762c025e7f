#include "placement.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/*
 * Load it answers: more daemons than a database has connections, and open
 * transactions that hold a connection each.  Owners are spread over the zones,
 * so that the loss of a zone leaves owners and most statements stay in the zone
 * of their client.
 */

/* Connections per database that make a daemon worth a place as an owner. */
#define OWNER_CONNECTIONS 12

/*
 * Smallest share of a database's connections with which every daemon has its
 * own: the control connection, and some for statements.  In a small fleet,
 * whose daemons' leases and status requests cost little, one is enough.
 */
#define DIRECT_CONNECTIONS 4
#define SMALL_FLEET_DAEMONS 12
#define SMALL_FLEET_CONNECTIONS 2

/* Smallest number of owners, so that the loss of one leaves another. */
#define OWNERS_MIN 2

/*
 * Mean number of groups that a daemon owns at most, as far as OWNERS_MIN allows
 * it.  Each group costs an owner connections and status requests.
 */
#define GROUPS_OWNED_MAX 8

/*
 * Number of daemons of a zone that watch the store for the others, and the size
 * of a zone from which on the others do not.
 */
#define WATCHERS_PER_ZONE 2
#define WATCHED_ZONE_DAEMONS 5

/* Number of zones that are told apart; further ones count as the last. */
#define ZONES_MAX 64

/* The zones of the daemons, most preferred by a group first. */
typedef struct zone_order {
	const char *names[ZONES_MAX];
	uint64_t hashes[ZONES_MAX];
	uint32_t count;
} zone_order_t;

/*
 * Return the hash of a name for a key.
 */
static uint64_t
hash_of(const char *name, uint64_t key)
{
	return XXH64(name, strlen(name), key);
}

/*
 * Return the hash of a group's name.
 */
static uint64_t
group_key(const char *group)
{
	return XXH64(group, strlen(group), 0);
}

/*
 * Return the score of a daemon for a key.  The daemon with the highest score is
 * chosen, with a probability in proportion to the weights.
 */
static double
score_of(const placement_daemon_t *daemon, uint64_t key)
{
	double uniform =
	    ((double)(hash_of(daemon->name, key) >> 11) + 0.5) / 0x1p53;

	return -daemon->weight / log(uniform);
}

/*
 * Return the number of owners of a group whose databases accept a number of
 * connections each.  If each daemon can have its share, and there are few
 * groups or daemons, all are owners.
 */
uint32_t
placement_owners(uint32_t connections_max, uint32_t daemons, uint32_t groups)
{
	uint32_t owners = connections_max / OWNER_CONNECTIONS;
	uint32_t share = daemons <= SMALL_FLEET_DAEMONS
	    ? SMALL_FLEET_CONNECTIONS
	    : DIRECT_CONNECTIONS;
	bool few_groups =
	    daemons <= SMALL_FLEET_DAEMONS || groups <= GROUPS_OWNED_MAX;

	if (few_groups && daemons * share <= connections_max)
		return daemons;
	if (groups > 0 && owners > daemons * GROUPS_OWNED_MAX / groups)
		owners = daemons * GROUPS_OWNED_MAX / groups;
	if (owners < OWNERS_MIN)
		owners = OWNERS_MIN;
	return owners < daemons ? owners : daemons;
}

/*
 * Sort the zones of the daemons by the group's preference.
 */
static void
zones_sort(const placement_daemon_t *daemons, uint32_t count, uint64_t key,
    zone_order_t *order)
{
	uint32_t i, j;

	order->count = 0;
	for (i = 0; i < count && order->count < ZONES_MAX; i++) {
		uint64_t hash = hash_of(daemons[i].zone, key);

		for (j = 0; j < order->count &&
		     strcmp(order->names[j], daemons[i].zone) != 0;
		     j++)
			;
		if (j < order->count)
			continue;
		for (j = order->count++; j > 0 && order->hashes[j - 1] < hash;
		     j--) {
			order->names[j] = order->names[j - 1];
			order->hashes[j] = order->hashes[j - 1];
		}
		order->names[j] = daemons[i].zone;
		order->hashes[j] = hash;
	}
}

/*
 * Return the number of daemons that watch the store for the others, or 0 if
 * each daemon of this zone watches it.
 */
uint32_t
placement_watchers(
    const placement_daemon_t *daemons, uint32_t count, uint32_t self)
{
	zone_order_t order;
	uint32_t i, in_zone = 0;

	for (i = 0; i < count; i++)
		in_zone += strcmp(daemons[i].zone, daemons[self].zone) == 0;
	if (in_zone < WATCHED_ZONE_DAEMONS)
		return 0;
	zones_sort(daemons, count, 0, &order);
	return order.count * WATCHERS_PER_ZONE;
}

/*
 * Return the place of a zone in the order, or the last one if it is not there.
 */
static uint32_t
zone_place(const zone_order_t *order, const char *zone)
{
	uint32_t i;

	for (i = 0; i + 1 < order->count && strcmp(order->names[i], zone) != 0;
	     i++)
		;
	return i;
}

/*
 * Return the number of owners in the zone at a place of the order.
 */
static uint32_t
owners_in_zone(const zone_order_t *order, uint32_t place, uint32_t owners)
{
	return owners / order->count + (place < owners % order->count);
}

/*
 * Return the number of daemons of a zone that are preferred to a daemon for a
 * key.  skip_avoided: leave out those to be avoided.
 */
static uint32_t
rank_in_zone(const placement_daemon_t *daemons, uint32_t count, uint32_t daemon,
    uint64_t key, bool skip_avoided)
{
	const char *zone = daemons[daemon].zone;
	double score = score_of(&daemons[daemon], key);
	uint32_t i, rank = 0;

	for (i = 0; i < count; i++) {
		if (i == daemon || (skip_avoided && daemons[i].avoid) ||
		    strcmp(daemons[i].zone, zone) != 0)
			continue;
		rank += score_of(&daemons[i], key) > score;
	}
	return rank;
}

/*
 * Tell whether a daemon is an owner of a group.
 */
bool
placement_is_owner(const placement_daemon_t *daemons, uint32_t count,
    uint32_t self, const char *group, uint32_t owners)
{
	uint64_t key = group_key(group);
	zone_order_t order;
	uint32_t place;

	if (owners >= count)
		return true;
	zones_sort(daemons, count, key, &order);
	place = zone_place(&order, daemons[self].zone);
	return rank_in_zone(daemons, count, self, key, false) <
	    owners_in_zone(&order, place, owners);
}

/*
 * Choose among the first few daemons of a zone that are not to be avoided: this
 * daemon if it is one of them, otherwise one by a hash of both.
 */
static int32_t
choose_in_zone(const placement_daemon_t *daemons, uint32_t count, uint32_t self,
    const char *zone, uint32_t owners, uint64_t key)
{
	uint64_t own_key = hash_of(daemons[self].name, key), best_hash = 0;
	int32_t best = PLACEMENT_NONE;
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint64_t hash;

		if (daemons[i].avoid || strcmp(daemons[i].zone, zone) != 0 ||
		    rank_in_zone(daemons, count, i, key, true) >= owners)
			continue;
		if (i == self)
			return (int32_t)i;
		hash = hash_of(daemons[i].name, own_key);
		if (best == PLACEMENT_NONE || hash > best_hash) {
			best = (int32_t)i;
			best_hash = hash;
		}
	}
	return best;
}

/*
 * Choose the daemon that this daemon sends the statements of a group to: itself
 * or an owner in its zone, otherwise one in another zone.  Daemons to be
 * avoided are replaced by the next ones in the order.  Returns PLACEMENT_NONE
 * if all are to be avoided.
 */
int32_t
placement_choose(const placement_daemon_t *daemons, uint32_t count,
    uint32_t self, const char *group, uint32_t owners)
{
	uint64_t key = group_key(group);
	int32_t chosen = PLACEMENT_NONE;
	zone_order_t order;
	uint32_t i, place, zones_with_owners;

	if (owners >= count && !daemons[self].avoid)
		return (int32_t)self;
	zones_sort(daemons, count, key, &order);
	zones_with_owners = owners < order.count ? owners : order.count;
	if (zones_with_owners == 0)
		return PLACEMENT_NONE;
	place = zone_place(&order, daemons[self].zone);
	if (place >= zones_with_owners)
		place = (uint32_t)(hash_of(daemons[self].name, key) %
		    zones_with_owners);
	for (i = 0; i < order.count && chosen == PLACEMENT_NONE; i++) {
		uint32_t in_zone = owners_in_zone(&order, place, owners);

		chosen = choose_in_zone(daemons, count, self,
		    order.names[place], in_zone > 0 ? in_zone : 1, key);
		place = (place + 1) % order.count;
	}
	return chosen;
}
