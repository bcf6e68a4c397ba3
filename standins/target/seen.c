#include "seen.h"

#include "briarreel/types.h"
#include "standins/standin.h"

#define MAX_TEXTS 32

struct watched_text {
	char text[128];
	bool seen;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char *recorded;
static size_t recorded_len;
static size_t recorded_cap;
static size_t recorded_max;
static bool overflowed;
static struct watched_text watched_texts[MAX_TEXTS];
static size_t n_watched;

void seen_init(size_t max_bytes, const char *watch_texts)
{
	char *copy = watch_texts ? strdup(watch_texts) : NULL;
	char *save;

	recorded_max = max_bytes;
	for (char *t = copy ? strtok_r(copy, ",", &save) : NULL; t && n_watched < MAX_TEXTS;
	     t = strtok_r(NULL, ",", &save))
		br_copy_text(watched_texts[n_watched++].text, sizeof(watched_texts[0].text), t);
	free(copy);
}

static char *format_request(struct mg_connection *conn, const char *body, size_t body_len,
			    size_t *len)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	char *text = NULL;
	FILE *f = open_memstream(&text, len);

	if (!f)
		abort();
	fprintf(f, "%s %s?%s %s\n", ri->request_method, ri->request_uri,
		ri->query_string ? ri->query_string : "", ri->local_uri);
	for (int i = 0; i < ri->num_headers; i++)
		fprintf(f, "%s: %s\n", ri->http_headers[i].name, ri->http_headers[i].value);
	if (body_len)
		fwrite(body, 1, body_len, f);
	/* Separates the requests, so that no text matches across two of them. */
	fputc('\0', f);
	fclose(f);
	return text;
}

static void append_recorded(const char *text, size_t len)
{
	if (recorded_len + len > recorded_max) {
		overflowed = true;
		return;
	}
	while (recorded_len + len > recorded_cap) {
		recorded_cap = recorded_cap ? recorded_cap * 2 : 65536;
		recorded = realloc(recorded, recorded_cap);
		if (!recorded)
			abort();
	}
	memcpy(recorded + recorded_len, text, len);
	recorded_len += len;
}

void seen_add_request(struct mg_connection *conn, const char *body, size_t body_len)
{
	size_t len;
	char *text = format_request(conn, body, body_len, &len);

	pthread_mutex_lock(&lock);
	for (size_t i = 0; i < n_watched; i++)
		if (!watched_texts[i].seen)
			watched_texts[i].seen = memmem(text, len, watched_texts[i].text,
						       strlen(watched_texts[i].text)) != NULL;
	append_recorded(text, len);
	pthread_mutex_unlock(&lock);
	free(text);
}

bool seen_find_text(const char *text, bool *complete)
{
	bool seen;

	pthread_mutex_lock(&lock);
	seen = recorded_len && memmem(recorded, recorded_len, text, strlen(text)) != NULL;
	*complete = !overflowed;
	for (size_t i = 0; i < n_watched; i++) {
		if (strcmp(watched_texts[i].text, text) != 0)
			continue;
		seen = watched_texts[i].seen;
		*complete = true;
	}
	pthread_mutex_unlock(&lock);
	return seen;
}
