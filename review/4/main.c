/*
 * A server leaves, the node beside it is killed and starts again, and a heartbeat that the server
 * had sent before it left arrives late, at the new process.
 */
#include "review/common/stage.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 2
#define REQUEST_INTERVAL_MS 40
#define WORK_MS 120
#define CLIENTS 4
/* All from the acknowledgement of the server's leaving. */
#define KILL_MS 400
#define START_MS 700
#define LATE_BEAT_MS 2500
#define SERVER_ENDS_MS 9000
/* The last heartbeat is sent this long before the server leaves. */
#define LAST_BEAT_BEFORE_MS 200
#define DRAIN_MS 2000
#define STABLE_WINDOW_MS 3000
#define BORN 1700000000000ULL

static const char config[] =
	"{\"version\":\"00000001\",\"baseVersion\":\"00000000\",\"resources\":["
	"{\"entryKind\":\"routes\",\"metadata\":{\"name\":\"r-status\"},\"specification\":{"
	"\"host\":\"status.example\",\"prefix\":\"/status/\",\"kind\":\"unsafe\",\"timeout\":"
	"\"5000ms\",\"latencyTarget\":\"1500ms\",\"priority\":1,\"service\":\"batchdesk\","
	"\"attempts\":2,\"public\":true}},"
	"{\"entryKind\":\"services\",\"metadata\":{\"name\":\"batchdesk\"},\"specification\":{"
	"\"healthPath\":\"/health\",\"connectionLimit\":346,\"protocol\":\"h1\",\"tls\":false}},"
	"{\"entryKind\":\"limits\",\"metadata\":{},\"specification\":{\"headerBytes\":16384,"
	"\"bodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}]}";

static struct machine *entry, *beside[SERVERS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* Time of the acknowledgement; 0 before. in_touch_ms: the node beside the server is in touch again. */
static volatile uint64_t acked_ms, in_touch_ms;
static volatile bool leaving, ended, stop;
static int n_late, n_late_in_touch, n_sent, n_answered, n_lost;

static bool serve(int s, int fd, const struct http_req *req)
{
	char id[24] = "", expected[24] = "", own[8], text[256];
	uint64_t now = now_ms();

	snprintf(own, sizeof(own), "i-%d", s + 1);
	if (!strcmp(req->target, "/health")) {
		snprintf(text, sizeof(text), "X-Instance-Id: %s\r\nX-Server-Load: 0,0,41\r\n", own);
		record("server %s answers a health check with %d", own,
		       s == 0 && leaving ? 503 : 200);
		return http_answer(fd, s == 0 && leaving ? 503 : 200, text, "");
	}
	http_req_field(req, "X-Attempt-Id", id, sizeof(id));
	if (http_req_field(req, "X-Expected-Instance", expected, sizeof(expected)) &&
	    strcmp(expected, own) != 0)
		return http_answer(fd, 421, "X-Instance-Id: other\r\n", "");
	if (s == 0 && acked_ms) {
		bool late = now > acked_ms + DRAIN_MS, counts = late && now > in_touch_ms;

		record("server i-1 runs request %s, %llu ms after its leaving was acknowledged%s",
		       id, (unsigned long long)(now - acked_ms),
		       counts ? ": LATE, all machines in touch"
		       : late ? ": late, a machine out of touch"
			      : "");
		pthread_mutex_lock(&lock);
		n_late += late;
		n_late_in_touch += counts;
		pthread_mutex_unlock(&lock);
	}
	sleep_ms(WORK_MS);
	if (s == 0 && ended) {
		record("server i-1 has ended: request %s is lost", id);
		pthread_mutex_lock(&lock);
		n_lost++;
		pthread_mutex_unlock(&lock);
		return false;
	}
	snprintf(text, sizeof(text), "X-Attempt-Id: %s\r\nX-Server-Seal: seal.%s\r\n", id, own);
	return http_answer(fd, 200, text, "ok");
}

static bool serve_first(int fd, const struct http_req *req)
{
	return serve(0, fd, req);
}

static bool serve_second(int fd, const struct http_req *req)
{
	return serve(1, fd, req);
}

static void *beats_second(void *arg)
{
	for (unsigned long long seq = 1; !stop; seq++) {
		beat(beside[1]->control, "i-2", "batchdesk", beside[1]->application, 41, "ready",
		     seq, BORN);
		sleep_ms(1500);
	}
	return arg;
}

static void *client(void *arg)
{
	int c = (int)(intptr_t)arg, fd = -1;

	for (int i = 0; !stop; i++) {
		struct answer a = {0};

		if (fd < 0)
			fd = client_open(entry->outbound, 0);
		client_send(fd,
			    "POST /status/2f HTTP/1.1\r\nHost: status.example\r\n"
			    "X-Attempt-Id: %d-%d\r\nX-Deadline-Milliseconds: 5000\r\n"
			    "Content-Length: 4\r\n\r\nslot",
			    c, i);
		client_read(fd, &a, 6000, 0);
		if (a.status != 200)
			record("client %d gets %d for request %d-%d", c, a.status, c, i);
		pthread_mutex_lock(&lock);
		n_sent++;
		n_answered += a.status == 200;
		pthread_mutex_unlock(&lock);
		if (a.closed || !a.status) {
			close(fd);
			fd = -1;
		}
		sleep_ms(REQUEST_INTERVAL_MS);
	}
	return NULL;
}

static void wait_until(uint64_t ms)
{
	while (now_ms() < acked_ms + ms)
		sleep_ms(2);
}

int main(int argc, char **argv)
{
	pthread_t thread, asking[CLIENTS];
	unsigned long long seq;
	int status;

	if (argc < 2)
		return CASE_NOT_RUN;
	stage_begin(argv[1]);
	stage_store();
	stage_config(config);
	entry = stage_machine(1, "sask-a", "kilnbook");
	beside[0] = stage_machine(2, "sask-a", "batchdesk");
	beside[1] = stage_machine(3, "sask-b", "batchdesk");
	http_serve(beside[0]->application, serve_first);
	http_serve(beside[1]->application, serve_second);
	stage_start(entry, true);
	stage_start(beside[0], true);
	stage_start(beside[1], true);
	pthread_create(&thread, NULL, beats_second, NULL);
	stage_wait_ready(entry);
	stage_wait_ready(beside[0]);
	stage_wait_ready(beside[1]);
	/* Past stableWindow, and both servers have reported by then. */
	for (seq = 1; seq <= 4; seq++) {
		status = beat(beside[0]->control, "i-1", "batchdesk", beside[0]->application, 41,
			      "ready", seq, BORN);
		record("server i-1 sends heartbeat %llu, ready: %d", seq, status);
		sleep_ms(1500);
	}
	for (int c = 0; c < CLIENTS; c++)
		pthread_create(&asking[c], NULL, client, (void *)(intptr_t)(c + 1));
	sleep_ms(1000);
	record("server i-1 sends heartbeat %llu, ready; it is held up on the way", seq);
	sleep_ms(LAST_BEAT_BEFORE_MS);
	leaving = true;
	status = http_call_once(beside[0]->control, "DELETE", "/instances/i-1", "");
	if (status != 200)
		stage_end(CASE_NOT_RUN);
	acked_ms = now_ms();
	record("server i-1 says that it leaves: DELETE /instances/i-1 is acknowledged");
	if (stage_trouble()) {
		wait_until(KILL_MS);
		stage_signal(beside[0], SIGKILL);
		stage_wait_end(beside[0], 1000);
		wait_until(START_MS);
		stage_start(beside[0], false);
		in_touch_ms = now_ms() + STABLE_WINDOW_MS;
	}
	wait_until(LATE_BEAT_MS);
	status = beat(beside[0]->control, "i-1", "batchdesk", beside[0]->application, 41, "ready",
		      seq, BORN);
	record("heartbeat %llu of server i-1 arrives, %d ms late: %d", seq,
	       LATE_BEAT_MS + LAST_BEAT_BEFORE_MS, status);
	wait_until(SERVER_ENDS_MS);
	record("server i-1 ends");
	ended = true;
	sleep_ms(500);
	stop = true;
	for (int c = 0; c < CLIENTS; c++)
		pthread_join(asking[c], NULL);
	record("sent: %d; answered 200: %d; run by the server that had left, later than drain: %d, "
	       "of "
	       "these with all machines in touch: %d; lost as it ended: %d",
	       n_sent, n_answered, n_late, n_late_in_touch, n_lost);
	if (n_answered < n_sent / 2)
		stage_end(CASE_NOT_RUN);
	stage_end(n_late_in_touch ? CASE_BROKEN : CASE_HELD);
}
