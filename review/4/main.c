/*
 * Clients that send further safe requests before the first one is answered, and read the answers
 * slowly. Each client reads steadily and would have all its answers before its deadline. Without the
 * disruption they send the same requests one after the other and read as slowly.
 */
#include "review/common/stage.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 2
#define REQUESTS_PER_CLIENT 4
#define BODY_BYTES 6000000
/* About 4.8 s for the four answers of a client. */
#define READ_BYTES_PER_S 5000000
#define WORK_MS 100
#define DEADLINE_MS 8000
#define RCVBUF_BYTES 65536

static const char config[] =
	"{\"version\":\"00000001\",\"baseVersion\":\"00000000\",\"resources\":["
	"{\"entryKind\":\"routes\",\"metadata\":{\"name\":\"r-lots\"},\"specification\":{\"host\":"
	"\"lots.example\",\"prefix\":\"/lots/\",\"kind\":\"safe\",\"timeout\":\"10000ms\","
	"\"latencyTarget\":\"1500ms\",\"priority\":1,\"service\":\"batchdesk\",\"attempts\":2,"
	"\"public\":true}},"
	"{\"entryKind\":\"services\",\"metadata\":{\"name\":\"batchdesk\"},\"specification\":{"
	"\"healthPath\":\"/health\",\"connectionLimit\":346,\"protocol\":\"h1\",\"tls\":false}},"
	"{\"entryKind\":\"limits\",\"metadata\":{},\"specification\":{\"headerBytes\":16384,"
	"\"bodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}]}";

static struct machine *entry, *other;
static int n_lost, n_whole, n_run;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static bool serve(int fd, const struct http_req *req)
{
	static char body[BODY_BYTES];
	char id[STAGE_TEXT] = "", head[512];
	int n, len = strstr(req->target, "/small") ? 2 : BODY_BYTES;

	if (!strcmp(req->target, "/health"))
		return http_answer(fd, 200, "X-Instance-Id: i-1\r\nX-Server-Load: 0,0,41\r\n", "");
	http_req_field(req, "X-Attempt-Id", id, sizeof(id));
	record("server i-1 runs request %s", id);
	sleep_ms(WORK_MS);
	n = snprintf(head, sizeof(head),
		     "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Attempt-Id: %s\r\n"
		     "X-Server-Seal: seal.i-1\r\n\r\n",
		     len, id);
	if (!http_send(fd, head, (size_t)n) || !http_send(fd, body, (size_t)len)) {
		record("server i-1 could not send its whole answer to %s", id);
		return false;
	}
	record("server i-1 has sent its whole answer to %s", id);
	if (len == BODY_BYTES) {
		pthread_mutex_lock(&lock);
		n_run++;
		pthread_mutex_unlock(&lock);
	}
	return true;
}

static void *beats(void *arg)
{
	for (unsigned long long seq = 1;; seq++) {
		beat(other->control, "i-1", "batchdesk", other->application, 41, "ready", seq,
		     1700000000000);
		sleep_ms(1500);
	}
	return arg;
}

static bool ask(int fd, const char *path, const char *id)
{
	record("request %s is sent", id);
	return client_send(fd,
			   "GET /lots/%s HTTP/1.1\r\nHost: lots.example\r\nX-Attempt-Id: %s\r\n"
			   "X-Deadline-Milliseconds: %d\r\n\r\n",
			   path, id, DEADLINE_MS);
}

static void *client(void *arg)
{
	int c = (int)(intptr_t)arg, fd = client_open(entry->outbound, RCVBUF_BYTES);
	struct answer a = {0};
	uint64_t sent_ms;
	char id[24];

	/* A short request first, so that the connection is a kept one. */
	snprintf(id, sizeof(id), "%d-first", c);
	ask(fd, "small", id);
	client_read(fd, &a, 5000, 0);
	record("client %d has status %d for %s", c, a.status, id);
	if (!a.whole)
		return NULL;
	sent_ms = now_ms();
	for (int i = 1; stage_trouble() && i <= REQUESTS_PER_CLIENT; i++) {
		snprintf(id, sizeof(id), "%d-%d", c, i);
		ask(fd, "all", id);
	}
	for (int i = 1; i <= REQUESTS_PER_CLIENT; i++) {
		uint64_t spent;

		if (!stage_trouble()) {
			snprintf(id, sizeof(id), "%d-%d", c, i);
			sent_ms = now_ms();
			ask(fd, "all", id);
		}
		spent = now_ms() - sent_ms;
		if (!a.closed)
			client_read(fd, &a, spent < DEADLINE_MS ? DEADLINE_MS - spent : 0,
				    READ_BYTES_PER_S);
		else
			a = (struct answer){.closed = true};
		record("client %d has status %d and %zu of %zu body bytes of the answer to %d-%d, "
		       "%llu ms after it was sent%s",
		       c, a.status, a.received, a.announced, c, i,
		       (unsigned long long)(now_ms() - sent_ms),
		       a.closed ? "; the connection has ended" : "");
		pthread_mutex_lock(&lock);
		if (a.status == 200 && a.whole)
			n_whole++;
		else if (a.closed)
			n_lost++;
		pthread_mutex_unlock(&lock);
	}
	close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t thread, clients[CLIENTS];

	if (argc < 2)
		return CASE_NOT_RUN;
	stage_begin(argv[1]);
	stage_store();
	stage_config(config);
	entry = stage_machine(1, "sask-a", "kilnbook");
	other = stage_machine(2, "sask-a", "batchdesk");
	http_serve(other->application, serve);
	stage_start(entry, true);
	stage_start(other, true);
	pthread_create(&thread, NULL, beats, NULL);
	stage_wait_ready(entry);
	stage_wait_ready(other);
	/* Past stableWindow. */
	sleep_ms(5000);
	for (int c = 0; c < CLIENTS; c++)
		pthread_create(&clients[c], NULL, client, (void *)(intptr_t)(c + 1));
	for (int c = 0; c < CLIENTS; c++)
		pthread_join(clients[c], NULL);
	record("run to the end by the server: %d of %d; whole answers: %d; without a whole answer, "
	       "the connection closed: %d",
	       n_run, CLIENTS * REQUESTS_PER_CLIENT, n_whole, n_lost);
	if (n_whole + n_lost != CLIENTS * REQUESTS_PER_CLIENT)
		stage_end(CASE_NOT_RUN);
	/* The rule allows three. */
	stage_end(n_lost > 3 ? CASE_BROKEN : CASE_HELD);
}
