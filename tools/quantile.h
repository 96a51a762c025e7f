#ifndef QUANTILE_H
#define QUANTILE_H

#include <glib.h>
#include <stdint.h>

/* Quantiles of samples; both functions sort the samples in place. */
double quantile(GArray *samples, double fraction);
double median(double *samples, uint32_t count);

#endif
