#ifndef CASES_H
#define CASES_H

#include <glib.h>
#include <stdint.h>

/*
 * Add one test for each element of a table of cases.  The first member of an
 * element must be the name of its case.  The name ends the path of the test,
 * with hyphens for spaces.
 */
static inline void
cases_add(const char *path, const void *table, uint32_t count,
    uint64_t element_bytes, GTestDataFunc test)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		const char *const *element =
		    (const char *const *)((const char *)table +
			i * element_bytes);
		char *name = g_strconcat(path, "/", *element, NULL);

		g_strdelimit(name, " ", '-');
		g_test_add_data_func(name, element, test);
		g_free(name);
	}
}

#define CASES(path, table, test) \
	cases_add(path, table, G_N_ELEMENTS(table), sizeof((table)[0]), test)

#endif
