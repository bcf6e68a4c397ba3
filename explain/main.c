/**
 * @file main.c
 * briarreel-explain: prints the nodes' log lines about one request, in order of time.
 */
#include "briarreel/version.h"
#include "common/json.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Size of the line buffer; a longer line is read as several. */
#define LINE_BYTES 65536
#define NODES_MAX 4096
#define NODE_BYTES 64

/** Exit statuses, as in briarreel-explain(1). */
enum exit_status {
	EXIT_FOUND = 0,
	EXIT_USAGE = 1,
	EXIT_UNREADABLE = 2,
	EXIT_ABSENT = 6,
};

/** A log line about the request. */
struct log_line {
	/** ISO 8601 in UTC, so that lines sort by comparing text. */
	char time[32];
	struct json_object *o;
};

/** The log lines about a request, and statistics of the log files. */
struct request_trace {
	/** Request id. */
	const char *id;
	struct log_line *lines;
	size_t n_lines;
	/** Nodes whose log lines were read. */
	char nodes[NODES_MAX][NODE_BYTES];
	size_t n_nodes, n_read, n_unreadable;
};

/* Whether a request id is id itself or that of a call made for it, "id.suffix". */
static bool belongs_to(const char *request, const char *id)
{
	size_t len = strlen(id);

	return !strncmp(request, id, len) && (!request[len] || request[len] == '.');
}

static void add_node(struct request_trace *trace, const char *node)
{
	for (size_t i = 0; i < trace->n_nodes; i++)
		if (!strcmp(trace->nodes[i], node))
			return;
	if (trace->n_nodes < NODES_MAX)
		snprintf(trace->nodes[trace->n_nodes++], NODE_BYTES, "%s", node);
}

static void add_line(struct request_trace *trace, struct json_object *o, const char *time)
{
	struct log_line *grown = realloc(trace->lines, (trace->n_lines + 1) * sizeof(*grown));

	if (!grown) {
		fprintf(stderr, "briarreel-explain: out of memory\n");
		exit(EXIT_UNREADABLE);
	}
	trace->lines = grown;
	grown[trace->n_lines].o = json_object_get(o);
	snprintf(grown[trace->n_lines++].time, sizeof(grown->time), "%s", time);
}

static void parse_line(struct request_trace *trace, const char *text)
{
	/* Log collectors may prefix the JSON object with text of their own. */
	const char *begin = strchr(text, '{');
	struct json_object *o = begin ? json_parse_object(begin, strcspn(begin, "\r\n")) : NULL;
	const char *time = o ? json_member_text(o, "time") : NULL;
	const char *node = o ? json_member_text(o, "node") : NULL;
	const char *request = o ? json_member_text(o, "request") : NULL;

	trace->n_read++;
	if (!time || !node) {
		trace->n_unreadable++;
	} else {
		add_node(trace, node);
		if (request && belongs_to(request, trace->id))
			add_line(trace, o, time);
	}
	json_object_put(o);
}

static int read_file(struct request_trace *trace, const char *path)
{
	static char text[LINE_BYTES];
	FILE *f = fopen(path, "r");

	if (!f) {
		fprintf(stderr, "briarreel-explain: cannot open %s\n", path);
		return EXIT_UNREADABLE;
	}
	while (fgets(text, sizeof(text), f))
		parse_line(trace, text);
	fclose(f);
	return EXIT_FOUND;
}

static int compare_time(const void *a, const void *b)
{
	const struct log_line *x = a, *y = b;

	return strcmp(x->time, y->time);
}

static void print_line(const struct log_line *l)
{
	static const char *const excluded_fields[] = {"time", "level", "node", "part", "event"};

	printf("%s %s %s.%s", l->time, json_member_text(l->o, "node"),
	       json_member_text(l->o, "part"), json_member_text(l->o, "event"));
	json_object_object_foreach(l->o, name, value)
	{
		bool excluded = false;

		for (size_t i = 0; i < sizeof(excluded_fields) / sizeof(excluded_fields[0]); i++)
			excluded |= !strcmp(name, excluded_fields[i]);
		if (!excluded && strcmp(json_object_get_string(value), "") != 0)
			printf(" %s=%s", name, json_object_to_json_string(value));
	}
	printf("\n");
}

static int print_trace(struct request_trace *trace)
{
	qsort(trace->lines, trace->n_lines, sizeof(*trace->lines), compare_time);
	for (size_t i = 0; i < trace->n_lines; i++) {
		print_line(&trace->lines[i]);
		json_object_put(trace->lines[i].o);
	}
	free(trace->lines);
	fprintf(stderr, "briarreel-explain: read %zu lines of %zu nodes:", trace->n_read,
		trace->n_nodes);
	for (size_t i = 0; i < trace->n_nodes; i++)
		fprintf(stderr, " %s", trace->nodes[i]);
	fprintf(stderr, "\n");
	if (trace->n_unreadable)
		fprintf(stderr, "briarreel-explain: %zu lines are not log lines of a node\n",
			trace->n_unreadable);
	if (trace->n_lines)
		return EXIT_FOUND;
	fprintf(stderr,
		"briarreel-explain: no line about request %s: the log of a node is missing, or its "
		"lines were dropped (event log.dropped)\n",
		trace->id);
	return EXIT_ABSENT;
}

int main(int argc, const char **argv)
{
	static struct request_trace trace;
	int version = 0, status = EXIT_FOUND;
	struct poptOption options[] = {
		{"version", 'V', POPT_ARG_NONE, &version, 0, "print the version", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext popt = poptGetContext("briarreel-explain", argc, argv, options, 0);
	const char *path;
	int rc;

	poptSetOtherOptionHelp(popt, "[OPTION...] REQUEST FILE...");
	rc = poptGetNextOpt(popt);
	if (version) {
		printf("briarreel-explain %s\n", BR_VERSION);
		poptFreeContext(popt);
		return EXIT_FOUND;
	}
	trace.id = rc < -1 ? NULL : poptGetArg(popt);
	if (!trace.id || !*trace.id || !poptPeekArg(popt)) {
		fprintf(stderr, "briarreel-explain: REQUEST and FILE are required; see --help\n");
		poptFreeContext(popt);
		return EXIT_USAGE;
	}
	while (!status && (path = poptGetArg(popt)) != NULL)
		status = read_file(&trace, path);
	if (!status)
		status = print_trace(&trace);
	poptFreeContext(popt);
	return status;
}
