#ifndef CASES_H
#define CASES_H

#include <glib.h>
#include <stdint.h>

/*
 * Add one test for each case of a table; the table's elements begin with
 * the name of the case.
 */
static inline void
cases_add(const char *path, const void *table, uint32_t count,
    uint64_t size_bytes, GTestDataFunc test)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		const char *const *c =
		    (const char *const *)((const char *)table + i * size_bytes);
		char *name = g_strconcat(path, "/", *c, NULL);

		g_strdelimit(name, " ", '-');
		g_test_add_data_func(name, c, test);
		g_free(name);
	}
}

#define CASES(path, table, test) \
	cases_add(path, table, G_N_ELEMENTS(table), sizeof((table)[0]), test)

#endif
