#include "seen.h"

#include "briarreel/types.h"
#include "standins/standin.h"

#define MAX_TEXTS 32

struct watched {
	char text[128];
	bool seen;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char *kept;
static size_t kept_len;
static size_t kept_cap;
static size_t kept_max;
static bool overflowed;
static struct watched watched[MAX_TEXTS];
static size_t n_watched;

void seen_init(size_t max_bytes, const char *texts)
{
	char *copy = texts ? strdup(texts) : NULL;
	char *save;

	kept_max = max_bytes;
	for (char *t = copy ? strtok_r(copy, ",", &save) : NULL; t && n_watched < MAX_TEXTS;
	     t = strtok_r(NULL, ",", &save))
		br_copy_text(watched[n_watched++].text, sizeof(watched[0].text), t);
	free(copy);
}

static char *request_bytes(struct mg_connection *conn, const char *body, size_t body_len,
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
	/* Ends the request, so that no text is found across two of them. */
	fputc('\0', f);
	fclose(f);
	return text;
}

static void keep(const char *text, size_t len)
{
	if (kept_len + len > kept_max) {
		overflowed = true;
		return;
	}
	while (kept_len + len > kept_cap) {
		kept_cap = kept_cap ? kept_cap * 2 : 65536;
		kept = realloc(kept, kept_cap);
		if (!kept)
			abort();
	}
	memcpy(kept + kept_len, text, len);
	kept_len += len;
}

void seen_add(struct mg_connection *conn, const char *body, size_t body_len)
{
	size_t len;
	char *text = request_bytes(conn, body, body_len, &len);

	pthread_mutex_lock(&lock);
	for (size_t i = 0; i < n_watched; i++)
		if (!watched[i].seen)
			watched[i].seen =
				memmem(text, len, watched[i].text, strlen(watched[i].text)) != NULL;
	keep(text, len);
	pthread_mutex_unlock(&lock);
	free(text);
}

bool seen_text(const char *text, bool *complete)
{
	bool seen;

	pthread_mutex_lock(&lock);
	seen = kept_len && memmem(kept, kept_len, text, strlen(text)) != NULL;
	*complete = !overflowed;
	for (size_t i = 0; i < n_watched; i++) {
		if (strcmp(watched[i].text, text) != 0)
			continue;
		seen = watched[i].seen;
		*complete = true;
	}
	pthread_mutex_unlock(&lock);
	return seen;
}
