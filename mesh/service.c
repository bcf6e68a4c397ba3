#include "mesh/service.h"

#include "briarreel/error.h"
#include "mesh/config_watch.h"
#include "mesh/event_log.h"
#include "mesh/left_record.h"
#include "mesh/metrics.h"
#include "mesh/request.h"
#include "mesh/target.h"
#include "mesh/target_search.h"
#include "platform/decode.h"
#include "platform/store.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define HEADER_MAX_BYTES 8192
#define BODY_MAX_BYTES 65536
#define METRICS_PATH "/metrics"
#define LISTENERS 3

struct service_server {
	struct board *board;
	uv_tcp_t listeners[LISTENERS];
	LIST_HEAD(, service_conn) conns;
};

struct service_conn {
	struct service_server *server;
	struct http_conn *conn;
	LIST_ENTRY(service_conn) link;
	/** The acknowledgement of a leaving waits until it outlives this process. */
	struct left_wait wait;
};

static void send_answer(struct service_conn *sc, uint16_t status, const char *type,
			struct buf *body)
{
	struct buf b = {0};

	buf_printf(&b, "HTTP/1.1 %u %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n", status,
		   http_reason(status), type, body->len);
	buf_append(&b, body->data, body->len);
	buf_free(body);
	http_conn_send(sc->conn, &b);
}

static void send_json_answer(struct service_conn *sc, uint16_t status)
{
	struct buf body = {0};

	buf_append_text(&body, "{}");
	send_answer(sc, status, "application/json", &body);
}

/* A node that can't read the newest configuration goes on with the one before, and says so. */
static void answer_readiness(struct service_conn *sc)
{
	const struct board *board = sc->server->board;
	struct buf body = {0};

	buf_append_text(&body, board->config_unreadable ? "{\"config\":\"unreadable\"}" : "{}");
	send_answer(sc, board->config && !board->stopping ? 200 : 503, "application/json", &body);
}

/*
 * An acknowledged leaving binds also the next process of this node. Where neither the store nor another node
 * has it, the target is told that it was not taken, and leaves by itself later.
 */
static void answer_leaving(struct service_conn *sc)
{
	bool kept = left_record_outlives(sc->server->board->left_record);

	if (!kept)
		EVENT(EVENT_WARNING, "left", "not_acknowledged",
		      EVENT_TEXT("target", target_status(sc->server->board->target)->id),
		      EVENT_NUMBER("store_unreachable", sc->server->board->store_unreachable));
	send_json_answer(sc, kept ? 200 : 503);
}

static void on_wait_over(struct left_wait *w)
{
	struct service_conn *sc =
		(struct service_conn *)((char *)w - offsetof(struct service_conn, wait));

	answer_leaving(sc);
}

/* Acknowledges a leaving once the next process of this node would know it too. */
static void acknowledge_leaving(struct service_conn *sc)
{
	sc->wait.done = on_wait_over;
	if (!left_record_wait(sc->server->board->left_record, &sc->wait))
		send_json_answer(sc, 200);
}

/* Answers go out in the order of the calls, so that a further call ends the wait. */
static void end_acknowledgement(struct service_conn *sc)
{
	if (!sc->wait.waiting)
		return;
	left_record_cancel(sc->server->board->left_record, &sc->wait);
	answer_leaving(sc);
}

static void handle_report(struct service_conn *sc, const struct http_msg *m, const char *id)
{
	struct board *board = sc->server->board;
	struct target_report report = {0};
	struct br_error err = {0};

	if (platform_decode_report(m->body.data, m->body.len, &report, &err)) {
		EVENT(EVENT_WARNING, "target", "report_unreadable", EVENT_TEXT("target", id),
		      EVENT_TEXT("error", err.detail));
		send_json_answer(sc, 400);
		return;
	}
	br_copy_text(report.id, sizeof(report.id), id);
	if (!target_report(board->target, &report)) {
		send_json_answer(sc, 400);
		return;
	}
	if (target_needs_confirmation(board->target))
		target_search_start(board->target_search);
	if (report.state == REPORTED_DRAINING)
		acknowledge_leaving(sc);
	else
		send_json_answer(sc, 200);
}

static void on_message(struct http_conn *c, struct http_msg *m)
{
	struct service_conn *sc = http_conn_owner(c);
	struct board *board = sc->server->board;
	char id[BR_NAME_BYTES];
	struct buf body = {0};

	end_acknowledgement(sc);
	if (!strcmp(http_msg_target(m), METRICS_PATH)) {
		metrics_write(board, &body);
		send_answer(sc, 200, "text/plain; version=0.0.4", &body);
		http_msg_destroy(m);
		return;
	}
	switch (platform_parse_call(m, id, sizeof(id))) {
	case PLATFORM_CALL_READY:
		answer_readiness(sc);
		break;
	case PLATFORM_CALL_REPORT:
		handle_report(sc, m, id);
		break;
	case PLATFORM_CALL_LEAVE:
		target_leave(board->target, id);
		acknowledge_leaving(sc);
		break;
	case PLATFORM_CALL_UNKNOWN:
		send_json_answer(sc, 404);
		break;
	}
	http_msg_destroy(m);
}

static void free_conn(struct service_conn *sc)
{
	left_record_cancel(sc->server->board->left_record, &sc->wait);
	LIST_REMOVE(sc, link);
	free(sc);
}

static void on_closed(struct http_conn *c, int err)
{
	(void)err;
	free_conn(http_conn_owner(c));
}

static const struct http_conn_ops service_ops = {.message = on_message, .closed = on_closed};

static void on_accept(uv_stream_t *listener, int status)
{
	struct service_server *s = listener->data;
	struct http_limits limits = {.header_bytes = HEADER_MAX_BYTES,
				     .body_bytes = BODY_MAX_BYTES};
	struct service_conn *sc;

	if (status)
		return;
	sc = xcalloc(1, sizeof(*sc));
	sc->server = s;
	sc->conn = http_conn_accept(listener, &service_ops, &limits, sc);
	if (!sc->conn) {
		free(sc);
		return;
	}
	LIST_INSERT_HEAD(&s->conns, sc, link);
}

struct service_server *service_server_create(struct board *board)
{
	const struct mesh_settings *set = board->settings;
	struct service_server *s = xcalloc(1, sizeof(*s));
	struct sockaddr_in addrs[LISTENERS] = {set->ready_addr, set->report_addr, set->peer_addr};

	addrs[2].sin_port = htons(set->metrics_port);
	s->board = board;
	for (int i = 0; i < LISTENERS; i++) {
		if (http_listen(board->loop, &s->listeners[i], &addrs[i], on_accept, s)) {
			free(s);
			return NULL;
		}
	}
	return s;
}

void service_server_destroy(struct service_server *s)
{
	if (!s)
		return;
	for (int i = 0; i < LISTENERS; i++)
		uv_close((uv_handle_t *)&s->listeners[i], NULL);
	for (struct service_conn *next, *c = LIST_FIRST(&s->conns); c; c = next) {
		next = LIST_NEXT(c, link);
		http_conn_close(c->conn);
		free_conn(c);
	}
}
