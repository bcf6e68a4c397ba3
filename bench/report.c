/**
 * @file report.c
 * Reads what bench/lane.sh wrote and prints a table, a JSON file and one line for each required
 * value of design.md 1.2: bench_report DIR OUT.json
 */
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BIN_MS 100
#define PHASES_MAX 16
#define BINS_MAX 1024
/* Goodput of a phase is counted from here on, so that the phase before does not show. */
#define SETTLE_MS 1000
#define RECOVERED 0.95
#define WINDOW_BINS 10
/* Windows that start within this time must all be good; the last one ends 2 s after the first. */
#define KEPT_BINS 10
#define NOT_MEASURED (-1.0)

struct phase {
	const char *name;
	uint32_t start_ms;
	uint32_t end_ms;
};

/** One case on one side. */
struct run {
	bool present;
	struct json_object *plan, *load, *extra;
	struct phase phases[PHASES_MAX];
	uint32_t n_phases;
	uint32_t good[BINS_MAX];
	uint32_t due[BINS_MAX];
	double capacity;
};

/** Sums over streams. */
struct sums {
	double requests, ok, over_rate, overload, other, unsent;
};

enum side {
	BRIARREEL,
	BASELINE,
	SIDES
};

static const char *const deployments[] = {"franchise", "verband"};
static const char *const side_names[] = {"briarreel", "baseline"};
static const char *dir;
static struct json_object *out_rows;
static struct json_object *out_required;
static const char *deployment;

static struct json_object *read_json(const char *side, const char *name, const char *part)
{
	char path[512];

	snprintf(path, sizeof(path), "%s/%s.%s.%s.%s.json", dir, deployment, side, name, part);
	return json_object_from_file(path);
}

static double number(struct json_object *o, const char *key)
{
	return json_object_get_double(json_object_object_get(o, key));
}

static void read_phases(struct run *r)
{
	struct json_object *list = json_object_object_get(r->plan, "phases");
	uint32_t at_ms = 0;

	r->n_phases = (uint32_t)json_object_array_length(list);
	if (r->n_phases > PHASES_MAX)
		r->n_phases = PHASES_MAX;
	for (uint32_t i = 0; i < r->n_phases; i++) {
		struct json_object *o = json_object_array_get_idx(list, i);

		r->phases[i].name = json_object_get_string(json_object_object_get(o, "name"));
		r->phases[i].start_ms = at_ms;
		at_ms += (uint32_t)number(o, "duration_ms");
		r->phases[i].end_ms = at_ms;
	}
}

static void add_bins(struct json_object *stream, const char *key, uint32_t *bins)
{
	struct json_object *list = json_object_object_get(stream, key);
	size_t n = json_object_array_length(list);

	for (size_t i = 0; i < n && i < BINS_MAX; i++)
		bins[i] += (uint32_t)json_object_get_int(json_object_array_get_idx(list, i));
}

static void read_run(struct run *r, enum side side, const char *name)
{
	struct json_object *list;

	memset(r, 0, sizeof(*r));
	r->plan = read_json(side_names[side], name, "plan");
	r->load = read_json(side_names[side], name, "load");
	r->extra = read_json(side_names[side], name, "extra");
	r->present = r->plan && r->load && r->extra;
	if (!r->present)
		return;
	read_phases(r);
	r->capacity = number(r->extra, "capacity");
	list = json_object_object_get(r->load, "streams");
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		add_bins(json_object_array_get_idx(list, i), "goodput_per_100ms", r->good);
		add_bins(json_object_array_get_idx(list, i), "due_per_100ms", r->due);
	}
}

static void free_run(struct run *r)
{
	json_object_put(r->plan);
	json_object_put(r->load);
	json_object_put(r->extra);
}

/* Sums over the streams of a phase (all if NULL) whose name contains part (all if NULL). */
static struct sums sum_streams(const struct run *r, const char *phase, const char *part)
{
	struct json_object *list = json_object_object_get(r->load, "streams");
	struct sums s = {0};

	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *o = json_object_array_get_idx(list, i);
		struct json_object *reasons = json_object_object_get(o, "not_run_by_reason");
		const char *name = json_object_get_string(json_object_object_get(o, "stream"));
		const char *p = json_object_get_string(json_object_object_get(o, "phase"));

		if ((phase && strcmp(p, phase) != 0) || (part && !strstr(name, part)))
			continue;
		s.requests += number(o, "requests");
		s.ok += number(o, "answered_ok");
		s.over_rate += number(reasons, "over-rate");
		s.overload += number(reasons, "overload") + number(reasons, "queue-full");
		s.unsent += number(o, "unsent");
	}
	s.other = s.requests - s.ok - s.over_rate - s.overload - s.unsent;
	return s;
}

static const struct phase *find_phase(const struct run *r, const char *name)
{
	for (uint32_t i = 0; i < r->n_phases; i++)
		if (!strcmp(r->phases[i].name, name))
			return &r->phases[i];
	return NULL;
}

static double sum_bins(const uint32_t *bins, uint32_t from, uint32_t to)
{
	double sum = 0;

	for (uint32_t i = from; i < to && i < BINS_MAX; i++)
		sum += bins[i];
	return sum;
}

/* Good answers a second in a phase, without its beginning. */
static double goodput(const struct run *r, const char *name)
{
	const struct phase *p = r->present ? find_phase(r, name) : NULL;
	uint32_t from, to;

	if (!p)
		return NOT_MEASURED;
	from = (p->start_ms + SETTLE_MS) / BIN_MS;
	to = p->end_ms / BIN_MS;
	return to > from ? sum_bins(r->good, from, to) * 1000 / ((to - from) * BIN_MS)
			 : NOT_MEASURED;
}

static double goodput_of_capacity(const struct run *r, const char *name, double slowed)
{
	double g = goodput(r, name);

	return g < 0 ? g : g / (r->capacity / slowed);
}

static double goodput_of_demand(const struct run *r, const char *phase)
{
	struct sums s;

	if (!r->present)
		return NOT_MEASURED;
	s = sum_streams(r, phase, NULL);
	return s.requests > 0 ? s.ok / s.requests : NOT_MEASURED;
}

static bool window_good(const struct run *r, uint32_t bin, double before)
{
	double due = sum_bins(r->due, bin, bin + WINDOW_BINS);

	return due > 0 && sum_bins(r->good, bin, bin + WINDOW_BINS) >= RECOVERED * before * due;
}

/*
 * Seconds from the start of the phase to the first window from which on goodput is back. Goodput
 * is compared as a part of the demand: the arrivals alone vary by more than 5% from one window of
 * 1 s to the next. Without recovery the answer is the length of the phase.
 */
static double recovery_s(const struct run *r, const char *before, const char *after)
{
	const struct phase *b = r->present ? find_phase(r, before) : NULL;
	const struct phase *a = r->present ? find_phase(r, after) : NULL;
	double ratio;

	if (!a || !b || !sum_bins(r->good, b->start_ms / BIN_MS, b->end_ms / BIN_MS))
		return NOT_MEASURED;
	ratio = sum_bins(r->good, (b->start_ms + SETTLE_MS) / BIN_MS, b->end_ms / BIN_MS) /
		sum_bins(r->due, (b->start_ms + SETTLE_MS) / BIN_MS, b->end_ms / BIN_MS);
	for (uint32_t t = a->start_ms / BIN_MS; t + KEPT_BINS + WINDOW_BINS <= a->end_ms / BIN_MS;
	     t++) {
		uint32_t kept = 0;

		while (kept <= KEPT_BINS && window_good(r, t + kept, ratio))
			kept++;
		if (kept > KEPT_BINS)
			return ((double)t * BIN_MS - a->start_ms) / 1000.0;
	}
	return (a->end_ms - a->start_ms) / 1000.0;
}

/* Smallest part of its requests that an account got answered; greedy is left out. */
static double worst_account(const struct run *r, const char *phase, const char *prefix, int greedy)
{
	double worst = NOT_MEASURED;

	if (!r->present)
		return worst;
	for (int i = 1; i <= 8; i++) {
		char part[16];
		struct sums s;

		snprintf(part, sizeof(part), "%s%d.", prefix, i);
		s = sum_streams(r, phase, part);
		if (i != greedy && s.requests > 0 && (worst < 0 || s.ok / s.requests < worst))
			worst = s.ok / s.requests;
	}
	return worst;
}

static double part_ok(const struct run *r, const char *phase, const char *part)
{
	struct sums s;

	if (!r->present)
		return NOT_MEASURED;
	s = sum_streams(r, phase, part);
	return s.requests > 0 ? s.ok / s.requests : NOT_MEASURED;
}

/* Percent of requests refused for their rate although their account was within it. */
static double wrongful_percent(const struct run *r, const char *phase, int greedy)
{
	double refused = 0, requests = 0;

	if (!r->present)
		return NOT_MEASURED;
	for (int i = 1; i <= 8; i++) {
		char part[16];
		struct sums s;

		if (i == greedy)
			continue;
		snprintf(part, sizeof(part), "%d.p", i);
		s = sum_streams(r, phase, part);
		refused += s.over_rate;
		requests += s.requests;
	}
	return requests > 0 ? 100 * refused / requests : NOT_MEASURED;
}

/* Requests of priority 0 refused for overload in a phase in which lower ones were answered. */
static double top_shed(const struct run *r, const char *phase)
{
	struct sums top, p2, p5;

	if (!r->present)
		return NOT_MEASURED;
	top = sum_streams(r, phase, ".p0");
	p2 = sum_streams(r, phase, ".p2");
	p5 = sum_streams(r, phase, ".p5");
	return p2.ok + p5.ok > 0 ? top.overload : 0;
}

/* Requests that ended as unknown or with an error of a target, in percent of all. */
static double failed_percent(const struct run *r)
{
	struct json_object *list;
	struct sums s;
	double failed = 0;

	if (!r->present)
		return NOT_MEASURED;
	s = sum_streams(r, NULL, NULL);
	list = json_object_object_get(r->load, "streams");
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *o = json_object_array_get_idx(list, i);

		failed += number(o, "unknown") + number(o, "answered") - number(o, "answered_ok");
	}
	return s.requests > 0 ? 100 * failed / s.requests : NOT_MEASURED;
}

static double deep_runs(const struct run *r, bool per_good)
{
	struct sums s;

	if (!r->present)
		return NOT_MEASURED;
	s = sum_streams(r, NULL, NULL);
	if (per_good && s.ok <= 0)
		return NOT_MEASURED;
	return number(r->extra, "deep_runs") / (per_good ? s.ok : s.requests);
}

static void text_of(char *dst, size_t bytes, double v)
{
	if (v < 0)
		snprintf(dst, bytes, "-");
	else
		snprintf(dst, bytes, "%.3f", v);
}

static void row(const char *name, const char *measure, double ours, double baseline)
{
	struct json_object *o = json_object_new_object();
	double ratio = baseline > 0 && ours >= 0 ? ours / baseline : NOT_MEASURED;
	char a[24], b[24], c[24];

	text_of(a, sizeof(a), ours);
	text_of(b, sizeof(b), baseline);
	text_of(c, sizeof(c), ratio);
	printf("%-10s %-12s %-52s %10s %10s %8s\n", deployment, name, measure, a, b, c);
	json_object_object_add(o, "deployment", json_object_new_string(deployment));
	json_object_object_add(o, "case", json_object_new_string(name));
	json_object_object_add(o, "measure", json_object_new_string(measure));
	json_object_object_add(o, "briarreel", ours < 0 ? NULL : json_object_new_double(ours));
	json_object_object_add(o, "baseline",
			       baseline < 0 ? NULL : json_object_new_double(baseline));
	json_object_array_add(out_rows, o);
}

static void required(const char *what, double value, double limit, bool at_least)
{
	bool met = at_least ? value >= limit : value <= limit;
	struct json_object *o;

	if (value < 0)
		return;
	printf("%-6s %-10s %-66s %s %g, measured %.3f\n", met ? "met" : "MISSED", deployment, what,
	       at_least ? "at least" : "at most", limit, value);
	o = json_object_new_object();
	json_object_object_add(o, "deployment", json_object_new_string(deployment));
	json_object_object_add(o, "what", json_object_new_string(what));
	json_object_object_add(o, "limit", json_object_new_double(limit));
	json_object_object_add(o, "measured", json_object_new_double(value));
	json_object_object_add(o, "met", json_object_new_boolean(met));
	json_object_array_add(out_required, o);
}

static void report_steady(struct run *r, const char *name)
{
	row(name, "goodput / capacity", goodput_of_capacity(&r[0], name, 1),
	    goodput_of_capacity(&r[1], name, 1));
	row(name, "goodput / demand", goodput_of_demand(&r[0], name),
	    goodput_of_demand(&r[1], name));
	row(name, "worst account, part answered", worst_account(&r[0], name, "a", 0),
	    worst_account(&r[1], name, "a", 0));
	row(name, "wrongful refusals, percent", wrongful_percent(&r[0], name, 0), NOT_MEASURED);
}

static void report_surge(struct run *r, const char *name)
{
	double slow = r[0].present ? number(r[0].extra, "slow_factor") : 1;

	if (slow < 1)
		slow = 1;
	row(name, "goodput / capacity, before", goodput_of_capacity(&r[0], "before", 1),
	    goodput_of_capacity(&r[1], "before", 1));
	row(name, "goodput / capacity, demand 4 x capacity",
	    goodput_of_capacity(&r[0], "overload", 1), goodput_of_capacity(&r[1], "overload", 1));
	row(name, "goodput / slowed capacity, same demand, deep service slow",
	    goodput_of_capacity(&r[0], "slow", slow), goodput_of_capacity(&r[1], "slow", slow));
	row(name, "recovery, s", recovery_s(&r[0], "before", "after"),
	    recovery_s(&r[1], "before", "after"));
	row(name, "part answered in overload, priority 0", part_ok(&r[0], "overload", ".p0"),
	    part_ok(&r[1], "overload", ".p0"));
	row(name, "part answered in overload, priority 2", part_ok(&r[0], "overload", ".p2"),
	    part_ok(&r[1], "overload", ".p2"));
	row(name, "part answered in overload, priority 5", part_ok(&r[0], "overload", ".p5"),
	    part_ok(&r[1], "overload", ".p5"));
	row(name, "priority 0 refused for overload, requests",
	    top_shed(&r[0], "overload") + top_shed(&r[0], "slow"), NOT_MEASURED);
	row(name, "wrongful refusals, percent", wrongful_percent(&r[0], NULL, 0), NOT_MEASURED);
	row(name, "runs at the deepest service / request", deep_runs(&r[0], false),
	    deep_runs(&r[1], false));
	row(name, "runs at the deepest service / good answer", deep_runs(&r[0], true),
	    deep_runs(&r[1], true));
}

static void report_greedy(struct run *r, const char *name)
{
	row(name, "goodput / capacity", goodput_of_capacity(&r[0], "greedy", 1),
	    goodput_of_capacity(&r[1], "greedy", 1));
	row(name, "worst account within its rate, part answered",
	    worst_account(&r[0], "greedy", "a", 1), worst_account(&r[1], "greedy", "a", 1));
	row(name, "wrongful refusals, percent", wrongful_percent(&r[0], "greedy", 1), NOT_MEASURED);
}

static void report_fault(struct run *r, const char *name)
{
	row(name, "goodput / demand, before", goodput_of_demand(&r[0], "before"),
	    goodput_of_demand(&r[1], "before"));
	row(name, "goodput / demand, during", goodput_of_demand(&r[0], "during"),
	    goodput_of_demand(&r[1], "during"));
	row(name, "goodput / demand, after", goodput_of_demand(&r[0], "after"),
	    goodput_of_demand(&r[1], "after"));
	row(name, "recovery after the start of the fault, s", recovery_s(&r[0], "before", "during"),
	    recovery_s(&r[1], "before", "during"));
	row(name, "recovery after its end, s", recovery_s(&r[0], "before", "after"),
	    recovery_s(&r[1], "before", "after"));
	row(name, "requests cut or failed, percent", failed_percent(&r[0]), failed_percent(&r[1]));
	row(name, "wrongful refusals, percent", wrongful_percent(&r[0], NULL, 0), NOT_MEASURED);
}

static void report_required(void)
{
	struct run steady, platform, greedy, surge, retry;

	read_run(&steady, BRIARREEL, "steady");
	read_run(&platform, BRIARREEL, "platform");
	read_run(&greedy, BRIARREEL, "greedy");
	read_run(&surge, BRIARREEL, "surge");
	read_run(&retry, BRIARREEL, "surgeretry");
	required("goodput / capacity while overloaded", goodput_of_capacity(&surge, "overload", 1),
		 0.9, true);
	required("goodput / capacity while overloaded, second run",
		 goodput_of_capacity(&retry, "overload", 1), 0.9, true);
	required("recovery, s", recovery_s(&surge, "before", "after"), 5, false);
	required("recovery while callers keep retrying, s", recovery_s(&retry, "before", "after"),
		 5, false);
	required("worst account within its rate, one account at ten times its rate",
		 worst_account(&greedy, "greedy", "a", 1), 0.9, true);
	required("wrongful refusals, percent, platform healthy",
		 wrongful_percent(&steady, "steady", 0), 0.1, false);
	required("wrongful refusals, percent, platform away",
		 wrongful_percent(&platform, "platform", 0), 1, false);
	required("priority 0 refused while lower ones were admitted, requests",
		 top_shed(&surge, "overload") + top_shed(&surge, "slow"), 0, false);
	required("priority 0 refused while lower ones were admitted, second run",
		 top_shed(&retry, "overload") + top_shed(&retry, "slow"), 0, false);
	free_run(&steady);
	free_run(&platform);
	free_run(&greedy);
	free_run(&surge);
	free_run(&retry);
}

static void report_case(const char *name, void (*fn)(struct run *, const char *))
{
	static struct run r[SIDES];

	read_run(&r[BRIARREEL], BRIARREEL, name);
	read_run(&r[BASELINE], BASELINE, name);
	if (r[BRIARREEL].present || r[BASELINE].present)
		fn(r, name);
	free_run(&r[BRIARREEL]);
	free_run(&r[BASELINE]);
}

static struct json_object *read_hop(void)
{
	char path[512];

	snprintf(path, sizeof(path), "%s/hop.json", dir);
	return json_object_from_file(path);
}

static void report_hop(struct json_object *hop)
{
	static const char *const names[] = {"added_one_hop_p50_ms", "added_one_hop_p99_ms",
					    "added_two_hop_p50_ms", "added_two_hop_p99_ms"};

	deployment = "both";
	for (int i = 0; hop && i < 4; i++)
		row("hop", names[i], number(hop, names[i]), NOT_MEASURED);
}

static void require_hop(struct json_object *hop)
{
	deployment = "both";
	if (!hop)
		return;
	required("added to a call at p99, ms, entry node = target's node",
		 number(hop, "added_one_hop_p99_ms"), 0.35, false);
	required("added to a call at p99, ms, over another node",
		 number(hop, "added_two_hop_p99_ms"), 0.35, false);
}

static int write_json(const char *file, struct json_object *hop)
{
	struct json_object *root = json_object_new_object();
	struct json_object *settings = json_object_new_object();
	char path[512];
	int ret;

	for (int i = 0; i < 2; i++) {
		struct json_object *extra;

		snprintf(path, sizeof(path), "%s/%s.settings.json", dir, deployments[i]);
		extra = json_object_from_file(path);
		if (extra)
			json_object_object_add(settings, deployments[i], extra);
	}
	snprintf(path, sizeof(path), "%s/run.json", dir);
	json_object_object_add(root, "run", json_object_from_file(path));
	json_object_object_add(root, "settings", settings);
	json_object_object_add(root, "rows", out_rows);
	json_object_object_add(root, "required", out_required);
	json_object_object_add(root, "hop", json_object_get(hop));
	ret = json_object_to_file_ext(file, root, JSON_C_TO_STRING_PRETTY);
	json_object_put(root);
	return ret ? 1 : 0;
}

int main(int argc, char **argv)
{
	struct json_object *hop;
	int ret;

	if (argc != 3) {
		fprintf(stderr, "usage: %s DIR OUT.json\n", argv[0]);
		return 2;
	}
	dir = argv[1];
	out_rows = json_object_new_array();
	out_required = json_object_new_array();
	hop = read_hop();
	printf("%-10s %-12s %-52s %10s %10s %8s\n", "deployment", "case", "measure", "briarreel",
	       "baseline", "ratio");
	for (int i = 0; i < 2; i++) {
		deployment = deployments[i];
		report_case("steady", report_steady);
		report_case("platform", report_steady);
		report_case("greedy", report_greedy);
		report_case("surge", report_surge);
		report_case("surgeretry", report_surge);
		report_case("zone", report_fault);
		report_case("coldstart", report_fault);
		report_case("replace", report_fault);
	}
	report_hop(hop);
	printf("\nRequired values (design.md 1.2)\n");
	for (int i = 0; i < 2; i++) {
		deployment = deployments[i];
		report_required();
	}
	require_hop(hop);
	ret = write_json(argv[2], hop);
	json_object_put(hop);
	return ret;
}
