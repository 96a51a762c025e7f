#ifndef FIGURES_H
#define FIGURES_H

#include <glib.h>
#include <stdint.h>

/* Quantiles of samples; each sorts what it is given. */
double quantile(GArray *samples, double share);
double median(double *samples, uint32_t count);

#endif
