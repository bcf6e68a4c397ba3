/**
 * @file main.c
 * Stand-in for the environment of mesh nodes: the platform's store, one target, and the operator's
 * calls with which a test changes them.
 */
#include "standins/mesh/http.h"
#include "standins/mesh/kv.h"

#include <inttypes.h>
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
#define ID_BYTES 256
#define REPORT_INTERVAL_MS 300
#define SLOW_MS 400
#define HANG_S 30
#define LONG_ANSWER_BYTES 9000000
#define HANG_POLL_MS 20

static const char *target_addr, *report_addr, *target_id = "i-1", *service = "svc";
static int slots = 8;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char run_ids[RUNS_MAX][ID_BYTES];
static char last_request_head[HTTP_HEAD_BYTES];
static size_t n_runs;
/** Requests whose caller closed the connection while they ran. */
static int n_disconnected;
/**
 * State sent in the target's reports; no reports are sent while it is empty or "left". The target is
 * healthy while it is "ready" or empty.
 */
static char state[32] = "ready";
/** The target's health answers are no HTTP, or say that it is ready although it is not. */
static bool health_is_odd, health_is_false;
/** Start of the target's incarnation, in milliseconds since the Unix epoch. */
static uint64_t started_ms = 1000;

static void sleep_ms(long ms)
{
	struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};

	nanosleep(&ts, NULL);
}

static void record_run(const struct http_req *req, const char *id)
{
	pthread_mutex_lock(&lock);
	snprintf(run_ids[n_runs % RUNS_MAX], ID_BYTES, "%s", id);
	n_runs++;
	snprintf(last_request_head, sizeof(last_request_head), "%s", req->head);
	pthread_mutex_unlock(&lock);
}

static int count_runs(const char *id)
{
	int n = 0;

	pthread_mutex_lock(&lock);
	for (size_t i = 0; i < n_runs && i < RUNS_MAX; i++)
		n += !*id || !strcmp(run_ids[i], id);
	pthread_mutex_unlock(&lock);
	return n;
}

static bool has_suffix(const char *text, const char *suffix)
{
	size_t a = strlen(text), b = strlen(suffix);

	return a >= b && !strcmp(text + a - b, suffix);
}

/* Runs for up to HANG_S seconds; ends early and is counted if the caller closes the connection. */
static void hang_until_closed(int fd)
{
	char byte;

	for (int i = 0; i < HANG_S * 1000 / HANG_POLL_MS; i++) {
		if (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
			pthread_mutex_lock(&lock);
			n_disconnected++;
			pthread_mutex_unlock(&lock);
			return;
		}
		sleep_ms(HANG_POLL_MS);
	}
}

static bool answer_health(int fd)
{
	bool healthy, odd;
	char fields[512];

	pthread_mutex_lock(&lock);
	healthy = health_is_false || !*state || !strcmp(state, "ready");
	odd = health_is_odd;
	pthread_mutex_unlock(&lock);
	snprintf(fields, sizeof(fields), "X-Instance-Id: %s\r\nX-Server-Load: 0,0,%d\r\n%s",
		 target_id, slots, odd ? "X-Field: \x01\r\n" : "");
	return http_answer(fd, healthy ? 200 : 503, fields, "");
}

/* Sends an answer that is too long for the buffers of the kernel. */
static bool send_long_answer(int fd, const char *fields)
{
	static const char body[LONG_ANSWER_BYTES];
	char head[1024];
	int n = snprintf(head, sizeof(head), "HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n",
			 fields, sizeof(body));

	return http_send(fd, head, (size_t)n) && http_send(fd, body, sizeof(body));
}

/* Sends bytes until the node closes the connection. */
static bool send_endlessly(int fd, const char *first)
{
	char bytes[4096];

	memset(bytes, 'x', sizeof(bytes));
	if (!http_send(fd, first, strlen(first)))
		return false;
	while (http_send(fd, bytes, sizeof(bytes)))
		;
	return false;
}

/** An answer that a path selects; its text is a format for the fields of a sound one. */
struct odd_answer {
	const char *suffix, *format;
};

static const struct odd_answer odd_answers[] = {
	{"/status-000", "HTTP/1.1 000 OK\r\n%sContent-Length: 2\r\n\r\nok"},
	{"/blank-in-name", "HTTP/1.1 200 OK\r\n%sX Field: v\r\nContent-Length: 2\r\n\r\nok"},
	{"/control-in-name", "HTTP/1.1 200 OK\r\n%sX\x01"
			     "Field: v\r\nContent-Length: 2\r\n\r\nok"},
	{"/control-before-name", "HTTP/1.1 200 OK\r\n%s\rContent-Length: 2\r\n\r\nok"},
	{"/control-in-value", "HTTP/1.1 200 OK\r\n%sX-Field: \x01\r\nContent-Length: 2\r\n\r\nok"},
	{"/cut-head", "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n"},
	{"/long-chunk", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n"
			"2\r\nokay0\r\n\r\n"},
	{"/odd-trailer", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n"
			 "2\r\nok\r\n0\r\nX T: v\r\n\r\n"},
	{"/broken-refusal", "HTTP/1.1 503 Busy\r\n%sX-Not-Executed: 1\r\nX\tField: v\r\n"
			    "Content-Length: 0\r\n\r\n"},
	{"/refusal-000", "HTTP/1.1 000 Busy\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
	{"/trailer", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n"
		     "1;a=b\r\no\r\n1\r\nk\r\n0\r\nX-T: v\r\n\r\n"},
	{"/not-modified", "HTTP/1.1 304 Not Modified\r\n%sContent-Length: 1234\r\n\r\n"},
	{"/status-299", "HTTP/1.1 299 \r\n%sContent-Length: 2\r\n\r\nok"},
};

/* Sends the answer that the path selects; false if it selects none. */
static bool send_odd_answer(int fd, const char *path, const char *fields)
{
	char text[2048];

	for (size_t i = 0; i < sizeof(odd_answers) / sizeof(odd_answers[0]); i++) {
		const struct odd_answer *a = &odd_answers[i];

		if (!has_suffix(path, a->suffix))
			continue;
		snprintf(text, sizeof(text), a->format, fields);
		http_send(fd, text, strlen(text));
		return true;
	}
	return false;
}

/* The end of the path selects the target's behaviour. */
static bool handle_target(int fd, const struct http_req *req)
{
	char id[ID_BYTES] = "", expected[ID_BYTES] = "", fields[512], text[1024];

	if (!strcmp(req->target, "/health"))
		return answer_health(fd);
	http_req_field(req, "X-Attempt-Id", id, sizeof(id));
	http_req_field(req, "X-Expected-Instance", expected, sizeof(expected));
	snprintf(fields, sizeof(fields), "X-Attempt-Id: %s\r\nX-Server-Seal: seal.%s\r\n", id,
		 target_id);
	if (*expected && strcmp(expected, target_id) != 0)
		return http_answer(fd, 421, "X-Instance-Id: other\r\n", "");
	/* "/lost-or-shed" and "/error-or-shed" fail at the target i-1; all others shed them. */
	if (has_suffix(req->target, "/shed") ||
	    (has_suffix(req->target, "-or-shed") && strcmp(target_id, "i-1") != 0))
		return http_answer(fd, 503, "X-Not-Executed: 1\r\n", "");
	record_run(req, id);
	if (has_suffix(req->target, "/lost") || has_suffix(req->target, "/lost-or-shed"))
		return false;
	if (has_suffix(req->target, "/hang")) {
		hang_until_closed(fd);
		return false;
	}
	if (has_suffix(req->target, "/slow"))
		sleep_ms(SLOW_MS);
	if (has_suffix(req->target, "/endless-head"))
		return send_endlessly(fd, "HTTP/1.1 200 OK\r\nX-Field: ");
	if (has_suffix(req->target, "/endless-body"))
		return send_endlessly(fd, "HTTP/1.1 200 OK\r\n\r\n");
	if (has_suffix(req->target, "/endless-bytes"))
		return send_endlessly(fd, "x");
	if (send_odd_answer(fd, req->target, fields))
		return false;
	if (has_suffix(req->target, "/long"))
		return send_long_answer(fd, fields);
	if (has_suffix(req->target, "/error") || has_suffix(req->target, "/error-or-shed"))
		return http_answer(fd, 500, fields, "failed");
	if (has_suffix(req->target, "/unsealed")) {
		snprintf(fields, sizeof(fields), "X-Attempt-Id: %s\r\n", id);
		return http_answer(fd, 200, fields, "no seal");
	}
	if (has_suffix(req->target, "/eof") || has_suffix(req->target, "/reset")) {
		int n = snprintf(text, sizeof(text), "HTTP/1.1 200 OK\r\n%s\r\nbody", fields);

		if (has_suffix(req->target, "/reset"))
			http_reset_on_close(fd);
		http_send(fd, text, (size_t)n);
		return false;
	}
	if (!strcmp(req->method, "HEAD")) {
		int n = snprintf(text, sizeof(text),
				 "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\n", fields);

		return http_send(fd, text, (size_t)n);
	}
	if (has_suffix(req->target, "/extra") && http_answer(fd, 200, fields, "first"))
		return http_answer(fd, 200, fields, "second");
	return http_answer(fd, 200, fields, req->body_len ? req->body : "ok");
}

/* Writes the text of a file to the store as the configuration; false if it cannot be opened. */
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

/* A target that has left and is ready again has started again. */
static void set_state(const char *text)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	pthread_mutex_lock(&lock);
	if (!strcmp(state, "left") && !strcmp(text, "ready"))
		started_ms = (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
	snprintf(state, sizeof(state), "%s", text);
	pthread_mutex_unlock(&lock);
}

static bool handle_operator(int fd, const struct http_req *req)
{
	const char *command = req->target + strlen("/operator/");
	char text[HTTP_HEAD_BYTES];

	if (!strncmp(command, "config/", 7)) {
		if (!put_config(command + 7))
			return http_answer(fd, 404, "", "");
	} else if (!strcmp(command, "compact")) {
		kv_compact();
	} else if (!strcmp(command, "copy")) {
		kv_copy();
	} else if (!strcmp(command, "restore")) {
		if (!kv_restore())
			return http_answer(fd, 409, "", "");
	} else if (!strncmp(command, "fault/", 6)) {
		kv_set_fault(!strcmp(command + 6, "refuse")   ? KV_UNAVAILABLE
			     : !strcmp(command + 6, "silent") ? KV_SILENT
							      : KV_HEALTHY);
	} else if (!strncmp(command, "state/", 6)) {
		set_state(strcmp(command + 6, "mute") ? command + 6 : "");
	} else if (!strncmp(command, "health/", 7)) {
		pthread_mutex_lock(&lock);
		health_is_odd = !strcmp(command + 7, "odd");
		health_is_false = !strcmp(command + 7, "false");
		pthread_mutex_unlock(&lock);
	} else if (!strncmp(command, "runs", 4)) {
		snprintf(text, sizeof(text), "runs %d\n",
			 count_runs(command[4] == '/' ? command + 5 : ""));
		return http_answer(fd, 200, "", text);
	} else if (!strcmp(command, "left")) {
		pthread_mutex_lock(&lock);
		snprintf(text, sizeof(text), "left %d\n", n_disconnected);
		pthread_mutex_unlock(&lock);
		return http_answer(fd, 200, "", text);
	} else if (!strcmp(command, "head")) {
		pthread_mutex_lock(&lock);
		snprintf(text, sizeof(text), "%s", last_request_head);
		pthread_mutex_unlock(&lock);
		return http_answer(fd, 200, "", text);
	}
	return http_answer(fd, 200, "", "");
}

static bool handle_store(int fd, const struct http_req *req)
{
	if (!strncmp(req->target, "/operator/", strlen("/operator/")))
		return handle_operator(fd, req);
	return kv_handle(fd, req);
}

static void send_report(unsigned int sequence)
{
	char path[128], body[512], current_state[32];
	uint64_t incarnation_ms;

	pthread_mutex_lock(&lock);
	snprintf(current_state, sizeof(current_state), "%s", state);
	incarnation_ms = started_ms;
	pthread_mutex_unlock(&lock);
	if (!*current_state || !strcmp(current_state, "left"))
		return;
	snprintf(path, sizeof(path), "/instances/%s", target_id);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\",\"version\":\"v1\","
		 "\"slots\":%d,\"state\":\"%s\",\"coldRemaining\":\"0ms\",\"sequence\":%u,"
		 "\"born\":%" PRIu64 "}",
		 service, target_addr, slots, current_state, sequence, incarnation_ms);
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
		{"store", 0, POPT_ARG_STRING, &store_addr, 0,
		 "address of the store and of the operator's calls", "ADDR"},
		{"target", 0, POPT_ARG_STRING, &target_addr, 0, "target", "ADDR"},
		{"report", 0, POPT_ARG_STRING, &report_addr, 0,
		 "address to which the target reports", "ADDR"},
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
		send_report(sequence);
		sleep_ms(REPORT_INTERVAL_MS);
	}
}
