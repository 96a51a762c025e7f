#ifndef DECIDE_CONFIG_DELAY_H
#define DECIDE_CONFIG_DELAY_H

#include "decide.h"

/*
 * The waits within which a change of the configuration comes into force, in
 * ms.  docs/DESIGN.md adds them up.
 */
typedef struct config_delay {
	uint32_t apply_ms;      /* bound of the sums */
	uint32_t store_ms;      /* timeout of a call to the store */
	uint32_t watch_ms;      /* wait of a watch */
	uint32_t news_watch_ms; /* of a watch that other daemons rely on */
	/* time for which a daemon relies on what another one read */
	uint32_t news_valid_ms;
} config_delay_t;

/* Delay after a call to the store that was refused or not answered. */
#define STORE_RETRY_MS 250

void config_delay_fill(config_delay_t *);
uint32_t config_delay_own_ms(const config_delay_t *);
uint32_t config_delay_news_ms(const config_delay_t *);

#endif
