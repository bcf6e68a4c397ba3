#include "mesh/histogram.h"

#include <inttypes.h>

#define US_PER_S 1e6

static const uint64_t bounds_us[HISTOGRAM_BOUNDS] = {
	100,   250,    500,    1000,   2500,	5000,	 10000,	  25000,
	50000, 100000, 250000, 500000, 1000000, 2000000, 3000000, 5000000};

void histogram_record(struct histogram *h, uint64_t time_us)
{
	int i = 0;

	while (i < HISTOGRAM_BOUNDS && time_us > bounds_us[i])
		i++;
	h->counts[i]++;
	h->sum_us += time_us;
}

uint64_t histogram_quantile_us(const struct histogram *h, uint32_t permille)
{
	uint64_t n = 0, below = 0, lower_us = 0;
	double rank;

	for (int i = 0; i <= HISTOGRAM_BOUNDS; i++)
		n += h->counts[i];
	rank = (double)n * permille / 1000;
	for (int i = 0; n && i < HISTOGRAM_BOUNDS; i++) {
		uint64_t count = h->counts[i];

		if (count && (double)(below + count) >= rank)
			return lower_us + (uint64_t)((double)(bounds_us[i] - lower_us) *
						     (rank - (double)below) / (double)count);
		below += count;
		lower_us = bounds_us[i];
	}
	return n ? lower_us : 0;
}

void histogram_write(const struct histogram *h, const char *name, const char *label,
		     struct buf *out)
{
	const char *comma = *label ? "," : "";
	uint64_t n = 0;

	for (int i = 0; i < HISTOGRAM_BOUNDS; i++) {
		n += h->counts[i];
		buf_printf(out, "%s_bucket{%s%sle=\"%g\"} %" PRIu64 "\n", name, label, comma,
			   (double)bounds_us[i] / US_PER_S, n);
	}
	n += h->counts[HISTOGRAM_BOUNDS];
	buf_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n", name, label, comma, n);
	buf_printf(out, "%s_sum%s%s%s %.6f\n", name, *label ? "{" : "", label, *label ? "}" : "",
		   (double)h->sum_us / US_PER_S);
	buf_printf(out, "%s_count%s%s%s %" PRIu64 "\n", name, *label ? "{" : "", label,
		   *label ? "}" : "", n);
}
