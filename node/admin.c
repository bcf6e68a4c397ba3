#include "common/clock.h"
#include "common/http_server.h"
#include "node/blackboard.h"
#include "node/control.h"
#include "node/counters.h"
#include "node/dispatch.h"
#include "node/listeners.h"
#include "node/node.h"
#include "node/rates.h"

#include <civetweb.h>
#include <stdlib.h>
#include <string.h>

#define COUNTERS_BYTES (1U << 20)

static void reply_counters(struct node *node, struct mg_connection *conn)
{
	char *buf = malloc(COUNTERS_BYTES);
	size_t len;

	if (!buf) {
		http_server_reply_text(conn, 500, "out of memory\n");
		return;
	}
	len = counters_format(buf, COUNTERS_BYTES);
	len += dispatch_format_counters(node->dispatch, buf + len, COUNTERS_BYTES - len);
	len += control_format_counters(node->control, buf + len, COUNTERS_BYTES - len);
	len += rates_format_counters(node->rates, buf + len, COUNTERS_BYTES - len);
	buf[len < COUNTERS_BYTES ? len : COUNTERS_BYTES - 1] = '\0';
	http_server_reply_text(conn, 200, buf);
	free(buf);
}

static void reply_health(struct node *node, struct mg_connection *conn)
{
	struct target_info t;

	blackboard_target(node->board, &t);
	if (atomic_load(&node->stopping))
		http_server_reply_text(conn, 503, "stopping\n");
	else if (!blackboard_n_slots(node->board))
		http_server_reply_text(conn, 503, "no configuration\n");
	else
		http_server_reply_text(conn, 200, t.present ? "ok\n" : "ok, no target\n");
}

void admin_handle(struct mg_connection *conn, void *user_data)
{
	const char *path = mg_get_request_info(conn)->request_uri;
	struct node *node = user_data;

	if (!strcmp(path, "/briarreel/counters"))
		reply_counters(node, conn);
	else if (!strcmp(path, "/briarreel/healthz"))
		reply_health(node, conn);
	else
		http_server_reply_text(conn, 404, "not found\n");
}
