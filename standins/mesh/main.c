/*
 * Stand-in for the platform around mesh nodes: the store, one target, and the operator's calls
 * that change them while a test runs.
 */
#include "standins/mesh/http.h"
#include "standins/mesh/kv.h"

#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define RUNS_MAX 4096
#define ID_BYTES 80
#define BEAT_MS 300
#define SLOW_MS 400
#define HANG_S 30
#define HANG_POLL_MS 20

static const char *target_addr, *report_addr, *target_id = "i-1", *service = "svc";
static int slots = 8;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char runs[RUNS_MAX][ID_BYTES];
static char last_head[HTTP_HEAD_BYTES];
static size_t n_runs;
/** Runs whose caller closed the connection. */
static int n_left;
/** State in the target's reports; empty to send none. */
static char state[32] = "ready";

static void sleep_ms(long ms)
{
	struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};

	nanosleep(&ts, NULL);
}

static void note_run(const struct http_in *in, const char *id)
{
	pthread_mutex_lock(&lock);
	snprintf(runs[n_runs % RUNS_MAX], ID_BYTES, "%s", id);
	n_runs++;
	snprintf(last_head, sizeof(last_head), "%s", in->head);
	pthread_mutex_unlock(&lock);
}

static int count_runs(const char *id)
{
	int n = 0;

	pthread_mutex_lock(&lock);
	for (size_t i = 0; i < n_runs && i < RUNS_MAX; i++)
		n += !*id || !strcmp(runs[i], id);
	pthread_mutex_unlock(&lock);
	return n;
}

static bool ends(const char *text, const char *suffix)
{
	size_t a = strlen(text), b = strlen(suffix);

	return a >= b && !strcmp(text + a - b, suffix);
}

/* Runs for long, and notes it if the caller closes the connection meanwhile. */
static void hang(int fd)
{
	char byte;

	for (int i = 0; i < HANG_S * 1000 / HANG_POLL_MS; i++) {
		if (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
			pthread_mutex_lock(&lock);
			n_left++;
			pthread_mutex_unlock(&lock);
			return;
		}
		sleep_ms(HANG_POLL_MS);
	}
}

/* The last part of the path says how the target behaves. */
static bool handle_target(int fd, const struct http_in *in)
{
	char id[ID_BYTES] = "", expected[ID_BYTES] = "", fields[256], text[512];

	if (!strcmp(in->target, "/health")) {
		snprintf(fields, sizeof(fields), "X-Instance-Id: %s\r\nX-Server-Load: 0,0,%d\r\n",
			 target_id, slots);
		return http_answer(fd, 200, fields, "");
	}
	http_in_field(in, "X-Attempt-Id", id, sizeof(id));
	http_in_field(in, "X-Expected-Instance", expected, sizeof(expected));
	snprintf(fields, sizeof(fields), "X-Attempt-Id: %s\r\nX-Server-Seal: seal.%s\r\n", id,
		 target_id);
	if (*expected && strcmp(expected, target_id) != 0)
		return http_answer(fd, 421, "X-Instance-Id: other\r\n", "");
	/* A target of another id than the first one refuses what the first one fails. */
	if (ends(in->target, "/shed") ||
	    (ends(in->target, "-or-shed") && strcmp(target_id, "i-1") != 0))
		return http_answer(fd, 503, "X-Not-Executed: 1\r\n", "");
	note_run(in, id);
	if (ends(in->target, "/lost") || ends(in->target, "/lost-or-shed"))
		return false;
	if (ends(in->target, "/hang")) {
		hang(fd);
		return false;
	}
	if (ends(in->target, "/slow"))
		sleep_ms(SLOW_MS);
	if (ends(in->target, "/error") || ends(in->target, "/error-or-shed"))
		return http_answer(fd, 500, fields, "failed");
	if (ends(in->target, "/unsealed")) {
		snprintf(fields, sizeof(fields), "X-Attempt-Id: %s\r\n", id);
		return http_answer(fd, 200, fields, "no seal");
	}
	if (ends(in->target, "/eof") || ends(in->target, "/reset")) {
		int n = snprintf(text, sizeof(text), "HTTP/1.1 200 OK\r\n%s\r\nbody", fields);

		if (ends(in->target, "/reset"))
			http_reset(fd);
		http_send(fd, text, (size_t)n);
		return false;
	}
	if (!strcmp(in->method, "HEAD")) {
		int n = snprintf(text, sizeof(text),
				 "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\n", fields);

		return http_send(fd, text, (size_t)n);
	}
	if (ends(in->target, "/extra") && http_answer(fd, 200, fields, "first"))
		return http_answer(fd, 200, fields, "second");
	return http_answer(fd, 200, fields, in->body_len ? in->body : "ok");
}

/* Writes a file's text as the configuration. */
static bool put_config(const char *path)
{
	static char text[HTTP_BODY_BYTES];
	FILE *f = fopen(path, "r");
	size_t n;

	if (!f)
		return false;
	n = fread(text, 1, sizeof(text) - 1, f);
	fclose(f);
	text[n] = '\0';
	kv_put("op/config", text);
	return true;
}

static bool handle_operator(int fd, const struct http_in *in)
{
	const char *what = in->target + strlen("/operator/");
	char text[HTTP_HEAD_BYTES];

	if (!strncmp(what, "config/", 7)) {
		if (!put_config(what + 7))
			return http_answer(fd, 404, "", "");
	} else if (!strcmp(what, "compact")) {
		kv_compact();
	} else if (!strncmp(what, "fault/", 6)) {
		kv_set_fault(!strcmp(what + 6, "refuse")   ? KV_REFUSES
			     : !strcmp(what + 6, "silent") ? KV_SILENT
							   : KV_SOUND);
	} else if (!strncmp(what, "state/", 6)) {
		pthread_mutex_lock(&lock);
		snprintf(state, sizeof(state), "%s", strcmp(what + 6, "mute") ? what + 6 : "");
		pthread_mutex_unlock(&lock);
	} else if (!strncmp(what, "runs", 4)) {
		snprintf(text, sizeof(text), "runs %d\n",
			 count_runs(what[4] == '/' ? what + 5 : ""));
		return http_answer(fd, 200, "", text);
	} else if (!strcmp(what, "left")) {
		pthread_mutex_lock(&lock);
		snprintf(text, sizeof(text), "left %d\n", n_left);
		pthread_mutex_unlock(&lock);
		return http_answer(fd, 200, "", text);
	} else if (!strcmp(what, "head")) {
		pthread_mutex_lock(&lock);
		snprintf(text, sizeof(text), "%s", last_head);
		pthread_mutex_unlock(&lock);
		return http_answer(fd, 200, "", text);
	}
	return http_answer(fd, 200, "", "");
}

static bool handle_store(int fd, const struct http_in *in)
{
	if (!strncmp(in->target, "/operator/", strlen("/operator/")))
		return handle_operator(fd, in);
	return kv_handle(fd, in);
}

static void beat(unsigned int sequence)
{
	char path[128], body[512], now[32];

	pthread_mutex_lock(&lock);
	snprintf(now, sizeof(now), "%s", state);
	pthread_mutex_unlock(&lock);
	if (!*now)
		return;
	snprintf(path, sizeof(path), "/instances/%s", target_id);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\",\"version\":\"v1\","
		 "\"slots\":%d,\"state\":\"%s\",\"coldRemaining\":\"0ms\",\"sequence\":%u,"
		 "\"born\":1000}",
		 service, target_addr, slots, now, sequence);
	http_call_once(report_addr, "PUT", path, body);
}

static void on_term(int signum)
{
	(void)signum;
	_exit(0);
}

int main(int argc, const char **argv)
{
	char *store_addr = NULL;
	struct poptOption options[] = {
		{"store", 0, POPT_ARG_STRING, &store_addr, 0, "store and operator", "ADDR"},
		{"target", 0, POPT_ARG_STRING, &target_addr, 0, "target", "ADDR"},
		{"report", 0, POPT_ARG_STRING, &report_addr, 0, "where the target reports", "ADDR"},
		{"id", 0, POPT_ARG_STRING, &target_id, 0, "the target's id", "ID"},
		{"service", 0, POPT_ARG_STRING, &service, 0, "the target's service", "NAME"},
		{"slots", 0, POPT_ARG_INT, &slots, 0, "the target's slots", "N"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext popt = poptGetContext("standin-mesh", argc, argv, options, 0);

	if (poptGetNextOpt(popt) < -1 || !store_addr || !target_addr || !report_addr) {
		fprintf(stderr, "standin-mesh: needs --store, --target and --report\n");
		return 2;
	}
	poptFreeContext(popt);
	signal(SIGTERM, on_term);
	http_serve(store_addr, handle_store);
	http_serve(target_addr, handle_target);
	for (unsigned int sequence = 1;; sequence++) {
		beat(sequence);
		sleep_ms(BEAT_MS);
	}
}
