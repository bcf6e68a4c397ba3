#include "node/transport.h"

#include "briarreel/error.h"
#include "common/clock.h"
#include "node/counters.h"

#include <errno.h>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVER_CONTEXTS 16
#define MAX_CONNS 512
#define MAX_MESSAGE_BYTES (8U << 20)
#define IDLE_CLOSE_US (30 * BR_US_PER_S)

struct server_context {
	struct transport *t;
	nng_ctx ctx;
	nng_aio *aio;
	/** True while a request waits for transport_reply(). */
	atomic_bool pending;
	bool sending;
};

/** A connection to a peer; closed once it has no requests and has failed or is idle. */
struct conn {
	char peer[BR_NODE_ID_BYTES];
	nng_socket socket;
	atomic_uint active_requests;
	atomic_bool failed;
	uint64_t last_used_us;
};

struct client_request {
	struct transport *t;
	struct conn *conn;
	nng_ctx ctx;
	nng_aio *aio;
	uint64_t token;
	uint32_t timeout_ms;
	bool sent;
	struct client_request *next_done;
};

struct transport {
	transport_deliver deliver;
	void *user_data;
	nng_socket rep;
	struct server_context contexts[SERVER_CONTEXTS];
	struct conn *conns[MAX_CONNS];
	size_t n_conns;
	/** Finished requests to free later, as an nng callback cannot free its own aio. */
	pthread_mutex_t done_lock;
	struct client_request *done;
	atomic_uint in_flight;
};

static void deliver(struct transport *t, enum transport_event_type type, uint64_t token,
		    nng_msg *msg)
{
	struct transport_event *ev = calloc(1, sizeof(*ev));

	if (!ev)
		abort();
	ev->type = type;
	ev->token = token;
	if (msg) {
		ev->body_len = nng_msg_len(msg);
		ev->body = malloc(ev->body_len + 1);
		if (!ev->body)
			abort();
		memcpy(ev->body, nng_msg_body(msg), ev->body_len);
		counter_add(COUNTER_CONTROL_RECEIVED, 1);
		counter_add(COUNTER_CONTROL_RECEIVED_BYTES, ev->body_len);
		nng_msg_free(msg);
	}
	t->deliver(t->user_data, ev);
}

void transport_event_free(struct transport_event *ev)
{
	if (!ev)
		return;
	free(ev->body);
	free(ev);
}

static void server_callback(void *arg)
{
	struct server_context *s = arg;
	int ret = nng_aio_result(s->aio);

	if (ret == NNG_ECLOSED || ret == NNG_ECANCELED)
		return;
	if (s->sending || ret) {
		/* After a failed send the message still belongs to the aio. */
		if (s->sending && ret)
			nng_msg_free(nng_aio_get_msg(s->aio));
		s->sending = false;
		nng_ctx_recv(s->ctx, s->aio);
		return;
	}
	atomic_store(&s->pending, true);
	deliver(s->t, TRANSPORT_REQUEST, (uint64_t)(s - s->t->contexts), nng_aio_get_msg(s->aio));
}

static nng_msg *make_message(const void *body, size_t len)
{
	nng_msg *msg;

	if (nng_msg_alloc(&msg, 0))
		return NULL;
	if (nng_msg_append(msg, body, len)) {
		nng_msg_free(msg);
		return NULL;
	}
	counter_add(COUNTER_CONTROL_SENT, 1);
	counter_add(COUNTER_CONTROL_SENT_BYTES, len);
	return msg;
}

void transport_reply(struct transport *t, uint64_t token, const void *body, size_t len)
{
	struct server_context *s = &t->contexts[token];
	nng_msg *msg;

	if (token >= SERVER_CONTEXTS || !atomic_exchange(&s->pending, false))
		return;
	msg = make_message(body, len);
	if (!msg) {
		nng_ctx_recv(s->ctx, s->aio);
		return;
	}
	s->sending = true;
	nng_aio_set_msg(s->aio, msg);
	nng_ctx_send(s->ctx, s->aio);
}

struct transport *transport_create(const char *address, transport_deliver deliver_cb,
				   void *user_data, struct br_error *err)
{
	struct transport *t = calloc(1, sizeof(*t));
	char url[80];
	int ret;

	if (!t) {
		br_error_set(err, -ENOMEM, BR_STEP_CONNECT, address, "out of memory");
		return NULL;
	}
	t->deliver = deliver_cb;
	t->user_data = user_data;
	pthread_mutex_init(&t->done_lock, NULL);
	snprintf(url, sizeof(url), "tcp://%s", address);
	ret = nng_rep0_open(&t->rep);
	if (!ret)
		ret = nng_socket_set_size(t->rep, NNG_OPT_RECVMAXSZ, MAX_MESSAGE_BYTES);
	if (!ret)
		ret = nng_listen(t->rep, url, NULL, 0);
	if (ret) {
		br_error_set(err, -EADDRINUSE, BR_STEP_CONNECT, address, "cannot listen: %s",
			     nng_strerror(ret));
		free(t);
		return NULL;
	}
	for (size_t i = 0; i < SERVER_CONTEXTS; i++) {
		struct server_context *s = &t->contexts[i];

		s->t = t;
		if (nng_ctx_open(&s->ctx, t->rep) || nng_aio_alloc(&s->aio, server_callback, s))
			abort();
		nng_ctx_recv(s->ctx, s->aio);
	}
	return t;
}

static void client_callback(void *arg)
{
	struct client_request *r = arg;
	struct transport *t = r->t;
	int ret = nng_aio_result(r->aio);

	if (!ret && !r->sent) {
		r->sent = true;
		nng_ctx_recv(r->ctx, r->aio);
		return;
	}
	if (ret) {
		if (!r->sent)
			nng_msg_free(nng_aio_get_msg(r->aio));
		atomic_store(&r->conn->failed, true);
		counter_add(COUNTER_CONTROL_TIMEOUTS, 1);
	}
	deliver(t, ret ? TRANSPORT_FAILED : TRANSPORT_ANSWER, r->token,
		ret ? NULL : nng_aio_get_msg(r->aio));
	pthread_mutex_lock(&t->done_lock);
	r->next_done = t->done;
	t->done = r;
	pthread_mutex_unlock(&t->done_lock);
}

static void free_request(struct client_request *r)
{
	nng_aio_stop(r->aio);
	nng_ctx_close(r->ctx);
	nng_aio_free(r->aio);
	atomic_fetch_sub(&r->conn->active_requests, 1);
	atomic_fetch_sub(&r->t->in_flight, 1);
	free(r);
}

static void free_done(struct transport *t)
{
	struct client_request *r;

	pthread_mutex_lock(&t->done_lock);
	r = t->done;
	t->done = NULL;
	pthread_mutex_unlock(&t->done_lock);
	while (r) {
		struct client_request *next = r->next_done;

		free_request(r);
		r = next;
	}
}

static struct conn *open_conn(struct transport *t, const char *peer)
{
	struct conn *c;
	char url[80];

	if (t->n_conns == MAX_CONNS)
		return NULL;
	c = calloc(1, sizeof(*c));
	if (!c)
		return NULL;
	br_copy_text(c->peer, sizeof(c->peer), peer);
	snprintf(url, sizeof(url), "tcp://%s", peer);
	if (nng_req0_open(&c->socket)) {
		free(c);
		return NULL;
	}
	nng_socket_set_size(c->socket, NNG_OPT_RECVMAXSZ, MAX_MESSAGE_BYTES);
	/* Requests are repeated by the controllers, with sequence numbers, and not by nng. */
	nng_socket_set_ms(c->socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
	if (nng_dial(c->socket, url, NULL, NNG_FLAG_NONBLOCK)) {
		nng_close(c->socket);
		free(c);
		return NULL;
	}
	t->conns[t->n_conns++] = c;
	return c;
}

static struct conn *find_conn(struct transport *t, const char *peer)
{
	for (size_t i = 0; i < t->n_conns; i++)
		if (!atomic_load(&t->conns[i]->failed) && !strcmp(t->conns[i]->peer, peer))
			return t->conns[i];
	return open_conn(t, peer);
}

int transport_send(struct transport *t, const char *peer, const void *body, size_t len,
		   uint32_t timeout_ms, uint64_t token)
{
	struct client_request *r;
	nng_msg *msg;

	free_done(t);
	r = calloc(1, sizeof(*r));
	if (!r)
		return -ENOMEM;
	r->t = t;
	r->token = token;
	r->timeout_ms = timeout_ms;
	r->conn = find_conn(t, peer);
	if (!r->conn) {
		free(r);
		return -EMFILE;
	}
	msg = make_message(body, len);
	if (!msg || nng_ctx_open(&r->ctx, r->conn->socket)) {
		if (msg)
			nng_msg_free(msg);
		free(r);
		return -ENOMEM;
	}
	if (nng_aio_alloc(&r->aio, client_callback, r)) {
		nng_msg_free(msg);
		nng_ctx_close(r->ctx);
		free(r);
		return -ENOMEM;
	}
	atomic_fetch_add(&r->conn->active_requests, 1);
	atomic_fetch_add(&t->in_flight, 1);
	r->conn->last_used_us = clock_now_us();
	nng_aio_set_timeout(r->aio, (nng_duration)timeout_ms);
	nng_aio_set_msg(r->aio, msg);
	nng_ctx_send(r->ctx, r->aio);
	return 0;
}

void transport_tick(struct transport *t, uint64_t now_us)
{
	free_done(t);
	for (size_t i = 0; i < t->n_conns;) {
		struct conn *c = t->conns[i];
		bool idle = now_us - c->last_used_us > IDLE_CLOSE_US;

		if (atomic_load(&c->active_requests) || (!idle && !atomic_load(&c->failed))) {
			i++;
			continue;
		}
		nng_close(c->socket);
		free(c);
		t->conns[i] = t->conns[--t->n_conns];
	}
}

void transport_destroy(struct transport *t)
{
	if (!t)
		return;
	for (size_t i = 0; i < SERVER_CONTEXTS; i++) {
		nng_aio_stop(t->contexts[i].aio);
		nng_ctx_close(t->contexts[i].ctx);
		nng_aio_free(t->contexts[i].aio);
	}
	nng_close(t->rep);
	for (size_t i = 0; i < t->n_conns; i++)
		nng_close(t->conns[i]->socket);
	while (atomic_load(&t->in_flight)) {
		clock_sleep_ms(1);
		free_done(t);
	}
	for (size_t i = 0; i < t->n_conns; i++)
		free(t->conns[i]);
	pthread_mutex_destroy(&t->done_lock);
	free(t);
}
