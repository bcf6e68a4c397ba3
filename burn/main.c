/**
 * @file main.c
 * briarreel-burn: reports the error budget burn of each account and service from nodes' counters.
 */
#include "briarreel/burn.h"
#include "briarreel/error.h"
#include "briarreel/version.h"
#include "burn/collect.h"
#include "burn/report.h"
#include "common/clock.h"
#include "common/http_client.h"
#include "common/log.h"
#include "common/settings.h"

#include <errno.h>
#include <popt.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "burn"
#define MAX_NODES 256
#define MAX_SERIES 1024
#define MAX_COUNTERS 262144
#define REQUEST_TIMEOUT_MS 2000
#define MAX_BODY_BYTES (16UL << 20)

enum {
	EXIT_DONE = 0,
	EXIT_USAGE = 1,
	/** No node answered the last reading, the page could not be written, or out of memory. */
	EXIT_FAILED = 2,
};

static char *nodes_text;
static char *html_path;
static double objective = 99.9;
static int interval_s = 10;
static int count = 1;
static int count_first;
static int version;

static const struct poptOption options[] = {
	{"nodes", 'n', POPT_ARG_STRING, &nodes_text, 0, "admin addresses of nodes",
	 "IP:PORT[,...]"},
	{"interval-s", 'i', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &interval_s, 0,
	 "time between two readings, in seconds", "N"},
	{"count", 'c', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &count, 0,
	 "number of reports after the first reading; 0: no limit", "N"},
	{"objective", 'o', POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT, &objective, 0,
	 "percentage of requests that must be good", "PERCENT"},
	{"since-start", 's', POPT_ARG_NONE, &count_first, 0,
	 "also count earlier requests, as if they arrived at the first reading", NULL},
	{"html", 0, POPT_ARG_STRING, &html_path, 0,
	 "write an HTML page with a plot to FILE after each report", "FILE"},
	{"version", 'V', POPT_ARG_NONE, &version, 0, "print the version", NULL},
	POPT_AUTOHELP POPT_TABLEEND};

struct app {
	const char *nodes[MAX_NODES];
	uint32_t n_nodes;
	uint32_t objective_ppm;
	struct br_burn *burn;
	struct collector *collector;
	struct http_pool *pool;
	struct report_history history;
};

static int usage(poptContext ctx, const char *reason)
{
	log_err("%s", reason);
	poptPrintUsage(ctx, stderr, 0);
	return EXIT_USAGE;
}

static bool split_nodes(struct app *app)
{
	char *strtok_state = NULL;

	if (!nodes_text)
		return false;
	for (char *p = strtok_r(nodes_text, ",", &strtok_state); p;
	     p = strtok_r(NULL, ",", &strtok_state)) {
		if (app->n_nodes == MAX_NODES || !settings_is_address(p))
			return false;
		app->nodes[app->n_nodes++] = p;
	}
	return app->n_nodes > 0;
}

/* Reads the counters of a node; logs a warning and returns false if that fails. */
static bool read_node(struct app *app, const char *node)
{
	struct http_request req = {.method = "GET", .target = "/briarreel/counters"};
	struct http_response resp = {0};
	struct br_error err = {0};
	uint32_t skipped;

	if (http_pool_exchange(app->pool, node, &req, REQUEST_TIMEOUT_MS, &resp, &err)) {
		log_warn("%s: %s: %s", node, br_step_name(err.step), err.detail);
		return false;
	}
	if (resp.status != 200 || !resp.body) {
		log_warn("%s: answered with status %d", node, resp.status);
		http_response_free(&resp);
		return false;
	}
	skipped = collector_add(app->collector, node, resp.body, count_first, clock_now_us());
	if (skipped)
		log_warn("%s: %u counter lines skipped", node, skipped);
	http_response_free(&resp);
	return true;
}

/* Reads the counters of all nodes and returns how many answered. */
static uint32_t read_nodes(struct app *app)
{
	uint32_t answered = 0;

	for (uint32_t i = 0; i < app->n_nodes; i++)
		answered += read_node(app, app->nodes[i]);
	report_history_add(&app->history, app->burn, clock_now_us());
	return answered;
}

/* Writes the page to a temporary file and renames it, so that readers never see a partial page. */
static bool write_page(const struct app *app)
{
	char temp[4096];
	bool ok = br_copy_text(temp, sizeof(temp) - 4, html_path);
	FILE *f;

	strcat(temp, ".new");
	f = ok ? fopen(temp, "we") : NULL;
	if (f) {
		report_html(f, app->burn, &app->history, app->objective_ppm, clock_now_us());
		ok = !ferror(f);
		ok = !fclose(f) && ok && !rename(temp, html_path);
	}
	if (!f || !ok)
		log_err("%s: cannot write the page: %s", html_path, strerror(errno));
	return f && ok;
}

static int run(struct app *app)
{
	uint32_t answered = read_nodes(app);
	bool written = true;

	for (int i = 0; !count || i < count; i++) {
		if (i || !count_first) {
			clock_sleep_ms((uint32_t)interval_s * 1000);
			answered = read_nodes(app);
		}
		report_text(stdout, app->burn, clock_now_us());
		if (html_path)
			written = write_page(app);
	}
	return answered && written ? EXIT_DONE : EXIT_FAILED;
}

static int start(struct app *app)
{
	struct http_pool_config cfg = {.max_idle_per_peer = 1,
				       .max_idle_ms = 5000,
				       .connect_timeout_ms = REQUEST_TIMEOUT_MS,
				       .max_body_bytes = MAX_BODY_BYTES};
	int status = EXIT_FAILED;

	app->burn = br_burn_create(app->objective_ppm, MAX_SERIES);
	app->pool = http_pool_create(&cfg);
	if (app->burn)
		app->collector = collector_create(app->burn, MAX_COUNTERS);
	if (app->pool && app->collector && !report_history_init(&app->history, MAX_SERIES))
		status = run(app);
	else
		log_err("out of memory");
	report_history_free(&app->history);
	collector_destroy(app->collector);
	br_burn_destroy(app->burn);
	http_pool_destroy(app->pool);
	return status;
}

static int parse_and_run(poptContext ctx, struct app *app)
{
	int c = poptGetNextOpt(ctx);

	if (c < -1)
		return usage(ctx, poptStrerror(c));
	if (version) {
		printf("briarreel-burn %s\n", br_version());
		return EXIT_DONE;
	}
	if (poptPeekArg(ctx) || !split_nodes(app))
		return usage(
			ctx,
			"--nodes must be 1 to 256 IPv4 addresses with ports, separated by commas");
	if (interval_s < 1 || interval_s > 3600 || count < 0)
		return usage(ctx, "--interval-s must be 1 to 3600, --count at least 0");
	if (!(objective >= 0.0001 && objective <= 99.9999))
		return usage(ctx, "--objective must be a percentage from 0.0001 to 99.9999");
	app->objective_ppm = (uint32_t)(objective * 1e4 + 0.5);
	return start(app);
}

int main(int argc, const char **argv)
{
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	struct app *app = calloc(1, sizeof(*app));
	int status = EXIT_FAILED;

	log_init("briarreel-burn", LOG_LEVEL_INFO);
	if (app)
		status = parse_and_run(ctx, app);
	poptFreeContext(ctx);
	free(nodes_text);
	free(html_path);
	free(app);
	return status;
}
