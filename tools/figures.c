#include "figures.h"

#include <stdlib.h>

/*
 * Order doubles.
 */
static int
double_compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/*
 * The sample below which this share of them lies, 0 of none.
 */
double
quantile(GArray *samples, double share)
{
	if (samples->len == 0)
		return 0;
	g_array_sort(samples, double_compare);
	return g_array_index(
	    samples, double, (uint32_t)(share * (samples->len - 1)));
}

/*
 * The sample in the middle.
 */
double
median(double *samples, uint32_t count)
{
	qsort(samples, count, sizeof(samples[0]), double_compare);
	return samples[count / 2];
}
