#include "burn/report.h"

#include "briarreel/burn.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Size and margins of the plot in SVG user units. */
#define WIDTH 720
#define HEIGHT 260
#define MARGIN_LEFT 56
#define MARGIN_RIGHT 16
#define MARGIN_TOP 16
#define MARGIN_BOTTOM 32

/* The palette of Okabe and Ito, whose colours colour-blind readers can distinguish. */
static const char *const colours[] = {"#0072b2", "#d55e00", "#009e73", "#cc79a7",
				      "#e69f00", "#56b4e9", "#000000", "#8c6d31"};

int report_history_init(struct report_history *h, uint32_t max_series)
{
	memset(h, 0, sizeof(*h));
	h->max_series = max_series;
	h->rates = calloc((size_t)REPORT_MAX_POINTS * max_series, sizeof(double));
	return h->rates ? 0 : -ENOMEM;
}

void report_history_free(struct report_history *h)
{
	free(h->rates);
	h->rates = NULL;
}

/* Removes every second point, so that the plot covers the whole run in bounded memory. */
static void halve_points(struct report_history *h)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < h->n_points; i += 2, n++) {
		h->at_us[n] = h->at_us[i];
		memmove(h->rates + (size_t)n * h->max_series, h->rates + (size_t)i * h->max_series,
			h->max_series * sizeof(double));
	}
	h->n_points = n;
}

void report_history_add(struct report_history *h, const struct br_burn *b, uint64_t now_us)
{
	double *row;

	if (h->n_points == REPORT_MAX_POINTS)
		halve_points(h);
	row = h->rates + (size_t)h->n_points * h->max_series;
	memset(row, 0, h->max_series * sizeof(double));
	for (size_t i = 0; i < br_burn_n_series(b) && i < h->max_series; i++) {
		struct br_burn_series s = br_burn_series_at(b, i);

		row[i] = br_burn_rate(b, &s, BR_BURN_5M, now_us);
	}
	h->at_us[h->n_points++] = now_us;
}

void report_text(FILE *out, const struct br_burn *b, uint64_t now_us)
{
	fprintf(out, "%-20s %-20s %12s %10s %9s %9s %9s %9s  %s\n", "account", "service", "good 3d",
		"bad 3d", "burn 5m", "burn 1h", "burn 6h", "burn 3d", "alert");
	for (size_t i = 0; i < br_burn_n_series(b); i++) {
		struct br_burn_series s = br_burn_series_at(b, i);
		struct br_burn_counts c = br_burn_counts(b, &s, BR_BURN_3D, now_us);

		fprintf(out,
			"%-20s %-20s %12" PRIu64 " %10" PRIu64 " %9.2f %9.2f %9.2f %9.2f  %s\n",
			s.account, s.service, c.good, c.bad,
			br_burn_rate(b, &s, BR_BURN_5M, now_us),
			br_burn_rate(b, &s, BR_BURN_1H, now_us),
			br_burn_rate(b, &s, BR_BURN_6H, now_us),
			br_burn_rate(b, &s, BR_BURN_3D, now_us),
			br_burn_alert_name(br_burn_alert(b, &s, now_us)));
	}
	fflush(out);
}

static void put_escaped(FILE *out, const char *text)
{
	for (; *text; text++) {
		switch (*text) {
		case '&':
			fputs("&amp;", out);
			break;
		case '<':
			fputs("&lt;", out);
			break;
		case '>':
			fputs("&gt;", out);
			break;
		case '"':
			fputs("&quot;", out);
			break;
		default:
			/* XML does not allow control characters. */
			fputc((unsigned char)*text < ' ' ? '?' : *text, out);
		}
	}
}

/* Upper end of the plot's scale: the highest rate, at least 1, plus 10%. */
static double plot_max_rate(const struct report_history *h)
{
	double max = 1;

	for (size_t i = 0; i < (size_t)h->n_points * h->max_series; i++)
		if (h->rates[i] > max)
			max = h->rates[i];
	return max * 1.1;
}

static double plot_x(const struct report_history *h, uint32_t point)
{
	uint64_t span = h->at_us[h->n_points - 1] - h->at_us[0];
	double fraction = span ? (double)(h->at_us[point] - h->at_us[0]) / (double)span : 1;

	return MARGIN_LEFT + fraction * (WIDTH - MARGIN_LEFT - MARGIN_RIGHT);
}

static double plot_y(double rate, double max)
{
	return HEIGHT - MARGIN_BOTTOM - rate / max * (HEIGHT - MARGIN_TOP - MARGIN_BOTTOM);
}

/* Draws a horizontal line at a rate and labels it. */
static void put_grid_line(FILE *out, double rate, double max, const char *dash)
{
	double y = plot_y(rate, max);

	fprintf(out,
		"<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#999\"%s/>\n"
		"<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%.4g</text>\n",
		MARGIN_LEFT, y, WIDTH - MARGIN_RIGHT, y, dash, MARGIN_LEFT - 6, y + 4, rate);
}

static void put_axes(FILE *out, const struct report_history *h, double max)
{
	uint64_t span_us = h->at_us[h->n_points - 1] - h->at_us[0];

	put_grid_line(out, 0, max, "");
	put_grid_line(out, max / 1.1, max, " stroke-dasharray=\"1 4\"");
	/* The burn rates of the alert rules that lie within the plot. */
	if (max > 6)
		put_grid_line(out, 6, max, " stroke-dasharray=\"4 3\"");
	if (max > 14.4)
		put_grid_line(out, 14.4, max, " stroke-dasharray=\"4 3\"");
	if (max < 6)
		put_grid_line(out, 1, max, " stroke-dasharray=\"4 3\"");
	fprintf(out,
		"<text x=\"%d\" y=\"%d\">-%.0f s</text>\n"
		"<text x=\"%d\" y=\"%d\" text-anchor=\"end\">now</text>\n",
		MARGIN_LEFT, HEIGHT - 10, (double)span_us / 1e6, WIDTH - MARGIN_RIGHT, HEIGHT - 10);
}

static void put_plot(FILE *out, const struct br_burn *b, const struct report_history *h)
{
	size_t n = br_burn_n_series(b) < h->max_series ? br_burn_n_series(b) : h->max_series;
	double max = plot_max_rate(h);

	if (!h->n_points)
		return;
	fprintf(out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" width=\"%d\" "
		"height=\"%d\" role=\"img\" aria-label=\"Burn rate over 5 minutes\">\n",
		WIDTH, HEIGHT, WIDTH, HEIGHT);
	put_axes(out, h, max);
	for (size_t s = 0; s < n; s++) {
		struct br_burn_series series = br_burn_series_at(b, s);

		fprintf(out, "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"%s\" points=\"",
			colours[s % (sizeof(colours) / sizeof(colours[0]))]);
		for (uint32_t i = 0; i < h->n_points; i++)
			fprintf(out, "%.1f,%.1f ", plot_x(h, i),
				plot_y(h->rates[(size_t)i * h->max_series + s], max));
		fputs("\"><title>", out);
		put_escaped(out, series.account);
		fputs(" / ", out);
		put_escaped(out, series.service);
		fputs("</title></polyline>\n", out);
	}
	fputs("</svg>\n", out);
}

static void put_row(FILE *out, const struct br_burn *b, size_t i, uint64_t now_us)
{
	struct br_burn_series s = br_burn_series_at(b, i);
	struct br_burn_counts c = br_burn_counts(b, &s, BR_BURN_3D, now_us);
	const char *alert = br_burn_alert_name(br_burn_alert(b, &s, now_us));

	fprintf(out, "<tr class=\"%s\"><td><span style=\"color:%s\">&#9632;</span> ", alert,
		colours[i % (sizeof(colours) / sizeof(colours[0]))]);
	put_escaped(out, s.account);
	fputs("</td><td>", out);
	put_escaped(out, s.service);
	fprintf(out, "</td><td>%" PRIu64 "</td><td>%" PRIu64 "</td>", c.good, c.bad);
	for (int w = 0; w < BR_BURN_WINDOWS; w++)
		fprintf(out, "<td>%.2f</td>", br_burn_rate(b, &s, w, now_us));
	fprintf(out, "<td>%s</td></tr>\n", alert);
}

void report_html(FILE *out, const struct br_burn *b, const struct report_history *h,
		 uint32_t objective_ppm, uint64_t now_us)
{
	fprintf(out,
		"<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"/>\n"
		"<title>briarreel error budget burn</title>\n"
		"<style>body{font:14px sans-serif;margin:24px}text{font:11px sans-serif}"
		"table{border-collapse:collapse}td,th{padding:3px 10px;text-align:right;"
		"border-bottom:1px solid #ddd}td:nth-child(-n+2),th:nth-child(-n+2)"
		"{text-align:left}.page{background:#fbd5d0}.ticket{background:#fdf0c8}</style>"
		"</head><body>\n<h1>Error budget burn</h1>\n"
		"<p>Objective %.4f%%. Plot: burn rate over 5 minutes at each reading; 1 uses up "
		"the budget exactly within its period.</p>\n",
		objective_ppm / 1e4);
	put_plot(out, b, h);
	fputs("<table><thead><tr><th>account</th><th>service</th><th>good 3d</th><th>bad 3d</th>",
	      out);
	for (int w = 0; w < BR_BURN_WINDOWS; w++)
		fprintf(out, "<th>burn %s</th>", br_burn_window_name(w));
	fputs("<th>alert</th></tr></thead><tbody>\n", out);
	for (size_t i = 0; i < br_burn_n_series(b); i++)
		put_row(out, b, i, now_us);
	fputs("</tbody></table>\n</body></html>\n", out);
}
