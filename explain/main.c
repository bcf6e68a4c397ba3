/**
 * @file main.c
 * briarreel-explain: prints what the nodes' logs say of one request, in order of time.
 */
#include "briarreel/version.h"
#include "common/json.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

struct line {
	/** Sorts the lines: the time stamp is ISO 8601 in UTC. */
	char time[32];
	struct json_object *o;
};

struct story {
	const char *id;
	struct line *lines;
	size_t n_lines;
	char nodes[NODES_MAX][NODE_BYTES];
	size_t n_nodes, n_read, n_unreadable;
};

/* The request itself, or a call that was made for it. */
static bool concerns(const char *request, const char *id)
{
	size_t len = strlen(id);

	return !strncmp(request, id, len) && (!request[len] || request[len] == '.');
}

static void note_node(struct story *s, const char *node)
{
	for (size_t i = 0; i < s->n_nodes; i++)
		if (!strcmp(s->nodes[i], node))
			return;
	if (s->n_nodes < NODES_MAX)
		snprintf(s->nodes[s->n_nodes++], NODE_BYTES, "%s", node);
}

static void keep(struct story *s, struct json_object *o, const char *time)
{
	struct line *more = realloc(s->lines, (s->n_lines + 1) * sizeof(*more));

	if (!more) {
		fprintf(stderr, "briarreel-explain: out of memory\n");
		exit(EXIT_UNREADABLE);
	}
	s->lines = more;
	more[s->n_lines].o = json_object_get(o);
	snprintf(more[s->n_lines++].time, sizeof(more->time), "%s", time);
}

static void take_line(struct story *s, const char *text)
{
	/* Collectors may put something before the object. */
	const char *begin = strchr(text, '{');
	struct json_object *o = begin ? json_parse_object(begin, strcspn(begin, "\r\n")) : NULL;
	const char *time = o ? json_member_text(o, "time") : NULL;
	const char *node = o ? json_member_text(o, "node") : NULL;
	const char *request = o ? json_member_text(o, "request") : NULL;

	s->n_read++;
	if (!time || !node) {
		s->n_unreadable++;
	} else {
		note_node(s, node);
		if (request && concerns(request, s->id))
			keep(s, o, time);
	}
	json_object_put(o);
}

static int read_file(struct story *s, const char *path)
{
	static char text[LINE_BYTES];
	FILE *f = fopen(path, "r");

	if (!f) {
		fprintf(stderr, "briarreel-explain: %s: cannot be read\n", path);
		return EXIT_UNREADABLE;
	}
	while (fgets(text, sizeof(text), f))
		take_line(s, text);
	fclose(f);
	return EXIT_FOUND;
}

static int by_time(const void *a, const void *b)
{
	const struct line *x = a, *y = b;

	return strcmp(x->time, y->time);
}

static void print_line(const struct line *l)
{
	static const char *const head[] = {"time", "level", "node", "part", "event"};

	printf("%s %s %s.%s", l->time, json_member_text(l->o, "node"),
	       json_member_text(l->o, "part"), json_member_text(l->o, "event"));
	json_object_object_foreach(l->o, name, value)
	{
		bool shown = false;

		for (size_t i = 0; i < sizeof(head) / sizeof(head[0]); i++)
			shown |= !strcmp(name, head[i]);
		if (!shown && strcmp(json_object_get_string(value), "") != 0)
			printf(" %s=%s", name, json_object_to_json_string(value));
	}
	printf("\n");
}

static int print_story(struct story *s)
{
	qsort(s->lines, s->n_lines, sizeof(*s->lines), by_time);
	for (size_t i = 0; i < s->n_lines; i++) {
		print_line(&s->lines[i]);
		json_object_put(s->lines[i].o);
	}
	free(s->lines);
	fprintf(stderr, "briarreel-explain: %zu lines of %zu nodes:", s->n_read, s->n_nodes);
	for (size_t i = 0; i < s->n_nodes; i++)
		fprintf(stderr, " %s", s->nodes[i]);
	fprintf(stderr, "\n");
	if (s->n_unreadable)
		fprintf(stderr, "briarreel-explain: %zu lines are no log lines of a node\n",
			s->n_unreadable);
	if (s->n_lines)
		return EXIT_FOUND;
	fprintf(stderr,
		"briarreel-explain: no line names request %s: the log of a node is missing, or its "
		"lines were dropped (event log.dropped)\n",
		s->id);
	return EXIT_ABSENT;
}

int main(int argc, const char **argv)
{
	static struct story story;
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
	story.id = rc < -1 ? NULL : poptGetArg(popt);
	if (!story.id || !*story.id || !poptPeekArg(popt)) {
		fprintf(stderr, "briarreel-explain: needs a request and log files; see --help\n");
		poptFreeContext(popt);
		return EXIT_USAGE;
	}
	while (!status && (path = poptGetArg(popt)) != NULL)
		status = read_file(&story, path);
	if (!status)
		status = print_story(&story);
	poptFreeContext(popt);
	return status;
}
