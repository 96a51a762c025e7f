#include "quantile.h"

#include <stdlib.h>

/*
 * Compare two doubles, for sorting.
 */
static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/*
 * Return the quantile of the samples at a fraction between 0 and 1: 0.5 is the
 * median, 1 the maximum.  Returns 0 when there are no samples.
 */
double
quantile(GArray *samples, double fraction)
{
	if (samples->len == 0)
		return 0;
	g_array_sort(samples, compare_doubles);
	return g_array_index(
	    samples, double, (uint32_t)(fraction * (samples->len - 1)));
}

/*
 * Return the median of the samples; count must not be 0.
 */
double
median(double *samples, uint32_t count)
{
	qsort(samples, count, sizeof(samples[0]), compare_doubles);
	return samples[count / 2];
}
