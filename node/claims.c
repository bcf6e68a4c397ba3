#include "node/claims.h"

#include "briarreel/error.h"
#include "briarreel/view.h"
#include "common/clock.h"
#include "common/http_server.h"
#include "common/log.h"
#include "node/blackboard.h"
#include "node/claim_fetch.h"
#include "node/claim_slots.h"
#include "node/conn_watch.h"
#include "node/counters.h"
#include "node/forward.h"
#include "node/node.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "claims"

#define MESSAGE_TIMEOUT_MS 500
#define MESSAGE_MAX_BYTES 4096

/** Operation of a registrar message. */
enum claim_op {
	CLAIM_OP_CLAIM,
	CLAIM_OP_MOVE,
	CLAIM_OP_RELEASE,
	CLAIM_OPS
};

static const char *const op_names[CLAIM_OPS] = {
	[CLAIM_OP_CLAIM] = "claim",
	[CLAIM_OP_MOVE] = "move",
	[CLAIM_OP_RELEASE] = "release",
};

/** A request to a registrar. */
struct claim_message {
	enum claim_op op;
	/** See struct call; it is sent as the field "account". */
	char scope[BR_NAME_BYTES];
	char id[BR_REQUEST_ID_BYTES];
	uint32_t slot;
	/** Claims the id as a first attempt; see br_registrar_claim(). */
	bool first;
	/** For a move or release: the attempt that holds the claim. */
	struct br_attempt_id from;
	struct br_claim_location location;
};

struct claims {
	struct node *node;
	struct claim_slots *slots;
	struct claim_fetcher *fetcher;
};

struct claims *claims_create(struct node *node)
{
	struct claims *cl = calloc(1, sizeof(*cl));

	if (!cl)
		return NULL;
	cl->node = node;
	cl->slots = claim_slots_create(node);
	if (cl->slots)
		cl->fetcher = claim_fetcher_create(node, cl->slots);
	if (!cl->fetcher) {
		claims_destroy(cl);
		return NULL;
	}
	return cl;
}

void claims_destroy(struct claims *cl)
{
	if (!cl)
		return;
	claim_fetcher_destroy(cl->fetcher);
	claim_slots_destroy(cl->slots);
	free(cl);
}

/* Executes a message on the registrar of this node. */
static void run_local(struct claims *cl, const struct claim_message *m,
		      struct br_claim_reply *reply)
{
	struct br_claim_key key = {.account = m->scope, .id = m->id};
	uint64_t now_us = clock_now_us();
	struct br_registrar *r = claim_slots_lock(cl->slots, m->slot, now_us);

	*reply = (struct br_claim_reply){.result = BR_CLAIM_NOT_HOLDER};
	if (!r)
		return;
	switch (m->op) {
	case CLAIM_OP_CLAIM:
		*reply = br_registrar_claim(r, m->slot, &key, m->first, &m->location, now_us);
		break;
	case CLAIM_OP_MOVE:
		*reply = br_registrar_move(r, m->slot, &key, &m->from, &m->location, now_us);
		break;
	case CLAIM_OP_RELEASE:
		br_registrar_release(r, m->slot, &key, &m->from, now_us);
		reply->result = BR_CLAIM_RELEASED;
		break;
	case CLAIM_OPS:
		break;
	}
	claim_slots_unlock(cl->slots);
	counter_add(reply->result == BR_CLAIM_GRANTED ? COUNTER_REGISTRAR_CLAIMS
						      : COUNTER_REGISTRAR_REFUSED,
		    1);
	/* The right to the slot may have ended if the process was paused after the first check. */
	if (!claim_slots_may_register(cl->slots, m->slot, clock_now_us()))
		reply->result = BR_CLAIM_NOT_HOLDER;
}

static void add_text(struct json_object *obj, const char *key, const char *text)
{
	json_object_object_add(obj, key, json_object_new_string(text));
}

static void encode_location(struct json_object *obj, const struct br_claim_location *location)
{
	char attempt[BR_ATTEMPT_ID_BYTES];

	br_attempt_id_format(&location->attempt, attempt);
	add_text(obj, "attempt", attempt);
	add_text(obj, "node", location->node.text);
	json_object_object_add(obj, "incarnation",
			       json_object_new_int64((int64_t)location->incarnation));
}

static const char *get_text(struct json_object *obj, const char *key)
{
	struct json_object *v;

	if (!json_object_object_get_ex(obj, key, &v) || !json_object_is_type(v, json_type_string))
		return "";
	return json_object_get_string(v);
}

static int64_t get_number(struct json_object *obj, const char *key)
{
	struct json_object *v;

	return json_object_object_get_ex(obj, key, &v) ? json_object_get_int64(v) : 0;
}

static bool decode_location(struct json_object *obj, struct br_claim_location *location)
{
	location->incarnation = (uint64_t)get_number(obj, "incarnation");
	return br_copy_text(location->node.text, sizeof(location->node.text),
			    get_text(obj, "node")) &&
	       !br_attempt_id_parse(get_text(obj, "attempt"), &location->attempt);
}

static const char *op_name(enum claim_op op)
{
	return op < CLAIM_OPS ? op_names[op] : "";
}

static struct json_object *encode_message(const struct claim_message *m)
{
	struct json_object *obj = json_object_new_object();
	char from[BR_ATTEMPT_ID_BYTES];

	add_text(obj, "op", op_name(m->op));
	add_text(obj, "account", m->scope);
	add_text(obj, "id", m->id);
	json_object_object_add(obj, "slot", json_object_new_int((int32_t)m->slot));
	json_object_object_add(obj, "first", json_object_new_boolean(m->first));
	if (m->op != CLAIM_OP_CLAIM) {
		br_attempt_id_format(&m->from, from);
		add_text(obj, "from", from);
	}
	if (m->op != CLAIM_OP_RELEASE)
		encode_location(obj, &m->location);
	return obj;
}

static bool decode_message(const char *text, struct claim_message *m)
{
	struct json_object *obj = json_tokener_parse(text);
	struct json_object *first;
	bool ok = false;
	int op;

	memset(m, 0, sizeof(*m));
	for (op = 0; op < CLAIM_OPS; op++)
		if (!strcmp(get_text(obj, "op"), op_names[op]))
			break;
	m->op = (enum claim_op)op;
	m->slot = (uint32_t)get_number(obj, "slot");
	m->first =
		json_object_object_get_ex(obj, "first", &first) && json_object_get_boolean(first);
	ok = op < CLAIM_OPS && m->slot < BR_SLOTS_MAX && get_text(obj, "id")[0] &&
	     br_copy_text(m->scope, sizeof(m->scope), get_text(obj, "account")) &&
	     br_copy_text(m->id, sizeof(m->id), get_text(obj, "id")) &&
	     (op == CLAIM_OP_CLAIM || !br_attempt_id_parse(get_text(obj, "from"), &m->from)) &&
	     (op == CLAIM_OP_RELEASE || decode_location(obj, &m->location));
	json_object_put(obj);
	return ok;
}

void claims_handle_message(struct claims *cl, struct mg_connection *conn)
{
	struct http_header type = {.name = "Content-Type", .value = "application/json"};
	struct claim_message m;
	struct br_claim_reply reply;
	struct http_reply http = {.status = 200, .headers = &type, .n_headers = 1};
	struct json_object *obj;
	char *body;
	size_t len;

	if (http_server_read_body(conn, MESSAGE_MAX_BYTES, &body, &len) ||
	    !decode_message(body, &m)) {
		counter_add(COUNTER_PEER_REJECTED, 1);
		free(body);
		http_server_reply_text(conn, 400, "malformed registrar message\n");
		return;
	}
	free(body);
	run_local(cl, &m, &reply);
	obj = json_object_new_object();
	json_object_object_add(obj, "result", json_object_new_int((int32_t)reply.result));
	json_object_object_add(obj, "retry_after_us",
			       json_object_new_int64((int64_t)reply.retry_after_us));
	if (reply.result == BR_CLAIM_RUNS_AT || reply.result == BR_CLAIM_DISPATCHING)
		encode_location(obj, &reply.location);
	http.body = json_object_to_json_string(obj);
	http.body_len = strlen(http.body);
	http_server_reply(conn, &http);
	json_object_put(obj);
}

static int decode_reply(const char *text, struct br_claim_reply *reply)
{
	struct json_object *obj = json_tokener_parse(text);
	int ret = 0;

	memset(reply, 0, sizeof(*reply));
	reply->result = (enum br_claim_result)get_number(obj, "result");
	reply->retry_after_us = (uint64_t)get_number(obj, "retry_after_us");
	if (!obj || (int)reply->result < 0 || reply->result > BR_CLAIM_RELEASED)
		ret = -EBADMSG;
	else if (reply->result == BR_CLAIM_RUNS_AT && !decode_location(obj, &reply->location))
		ret = -EBADMSG;
	json_object_put(obj);
	return ret;
}

static int run_remote(struct claims *cl, const struct br_node_id *holder,
		      const struct claim_message *m, uint32_t timeout_ms,
		      struct br_claim_reply *reply)
{
	struct http_request req = {.method = "POST", .target = "/briarreel/registrar"};
	struct json_object *obj = encode_message(m);
	struct http_response resp;
	struct br_error err;
	int ret;

	forward_add_mesh_token(cl->node->forward, &req);
	req.body = json_object_to_json_string(obj);
	req.body_len = strlen(req.body);
	ret = http_pool_exchange(cl->node->peer_pool, holder->text, &req, timeout_ms, &resp, &err);
	json_object_put(obj);
	if (ret) {
		log_info("Registrar %s: %s: %s.", err.peer, br_step_name(err.step), err.detail);
		return ret;
	}
	ret = resp.status == 200 ? decode_reply(resp.body, reply) : -EBADMSG;
	http_response_free(&resp);
	return ret;
}

static int run_message(struct claims *cl, const struct claim_message *m, uint32_t timeout_ms,
		       struct br_claim_reply *reply)
{
	struct br_slot_holder holder;

	if (!blackboard_slot_holder(cl->node->board, m->slot, &holder))
		return -EHOSTUNREACH;
	if (br_node_id_equal(&holder.node, &cl->node->id)) {
		run_local(cl, m, reply);
		return 0;
	}
	return run_remote(cl, &holder.node, m, timeout_ms, reply);
}

static void fill_message(struct claims *cl, const struct call *c, struct claim_message *m)
{
	struct br_claim_key key = {.account = c->scope, .id = c->request_id};
	uint32_t n_slots = blackboard_n_slots(cl->node->board);

	br_copy_text(m->scope, sizeof(m->scope), c->scope);
	br_copy_text(m->id, sizeof(m->id), c->request_id);
	m->slot = n_slots ? br_registrar_slot_of(&key, n_slots) : 0;
}

/*
 * Maximum age of a request that is claimed as a first attempt. A takeover takes at least one lease
 * term, so no younger request can have been overtaken by a repeat under a former registrar.
 */
static uint64_t half_lease_term_us(struct claims *cl)
{
	struct br_view *view = blackboard_config(cl->node->board);
	uint64_t term_us = view ? (uint64_t)br_view_mesh(view)->lease_term_ms * BR_US_PER_MS : 0;

	br_view_put(view);
	return term_us / 2;
}

static bool within_half_lease_term(struct claims *cl, const struct call *c)
{
	return clock_now_us() - c->arrived_us < half_lease_term_us(cl);
}

/*
 * Returns true if the call is a declared first attempt of which no repeat can have run under a
 * former registrar. The age of a request does not include its wait in the accept queue, so its
 * connection must still be open: a caller closes it before it repeats the request.
 */
static bool is_proven_first(struct claims *cl, struct call *c)
{
	return c->first_attempt && within_half_lease_term(cl, c) && !call_cancelled(c) && c->conn &&
	       !conn_watch_is_closed(c->conn);
}

static int send_claim(struct claims *cl, const struct call *c, const struct claim_message *m,
		      struct br_claim_reply *reply)
{
	uint32_t remaining_ms = call_remaining_ms(c, clock_now_us());

	return run_message(
		cl, m, remaining_ms < MESSAGE_TIMEOUT_MS ? remaining_ms + 1 : MESSAGE_TIMEOUT_MS,
		reply);
}

int claims_claim(struct claims *cl, struct call *c, const struct br_attempt_id *from,
		 const struct br_claim_location *location, struct br_claim_reply *reply)
{
	struct claim_message m = {.op = from ? CLAIM_OP_MOVE : CLAIM_OP_CLAIM,
				  .location = *location};
	int ret;

	if (from)
		m.from = *from;
	fill_message(cl, c, &m);
	ret = send_claim(cl, c, &m, reply);
	if (!ret && reply->result == BR_CLAIM_NO_HISTORY && !from && is_proven_first(cl, c)) {
		m.first = true;
		ret = send_claim(cl, c, &m, reply);
		/*
		 * The request is too old by now, so a repeat may have run. The claim is not
		 * released, because a release would mark the id as free.
		 */
		if (!within_half_lease_term(cl, c)) {
			reply->result = BR_CLAIM_RELEASED;
			return 0;
		}
	}
	/*
	 * The registrar may still receive a claim after an error. A claim as a first attempt is not
	 * released, for the same reason as above.
	 */
	if (ret && !m.first)
		claims_release(cl, c, &location->attempt);
	return ret;
}

void claims_release(struct claims *cl, const struct call *c, const struct br_attempt_id *attempt)
{
	struct claim_message m = {.op = CLAIM_OP_RELEASE, .from = *attempt};
	struct br_claim_reply reply;

	fill_message(cl, c, &m);
	run_message(cl, &m, MESSAGE_TIMEOUT_MS, &reply);
}

void claims_update_slots(struct claims *cl, const struct br_slots *slots, uint64_t autonomy_us,
			 uint64_t now_us)
{
	claim_slots_update(cl->slots, slots, autonomy_us, now_us);
}

bool claims_handed_over(struct claims *cl)
{
	return claim_slots_handed_over(cl->slots);
}

void claims_handle_fetch(struct claims *cl, struct mg_connection *conn)
{
	claim_fetch_serve(cl->node, cl->slots, conn);
}

void claims_tick(struct claims *cl, uint64_t now_us)
{
	claim_slots_tick(cl->slots, now_us);
}
