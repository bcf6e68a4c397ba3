/**
 * @file main.c
 * Stand-in for a network path: a TCP relay with faults that are set over HTTP.
 */
#include "briarreel/error.h"
#include "common/http_server.h"
#include "common/log.h"
#include "relay.h"
#include "standins/standin.h"

#include <inttypes.h>

#define LOG_PREFIX "relay"
#define CONTROL_WORKERS 4
#define KEEP_ALIVE_MS 10000

struct mode_name {
	const char *name;
	enum relay_mode mode;
};

static const struct mode_name mode_names[] = {
	{"forward", RELAY_FORWARD},	{"drop", RELAY_DROP},	  {"drop-to", RELAY_DROP_TO},
	{"drop-from", RELAY_DROP_FROM}, {"refuse", RELAY_REFUSE},
};

static void handle_mode(struct mg_connection *conn)
{
	char name[16];

	standin_query(conn, "mode", name, sizeof(name));
	for (size_t i = 0; i < sizeof(mode_names) / sizeof(mode_names[0]); i++) {
		if (strcmp(name, mode_names[i].name) != 0)
			continue;
		if (relay_set_mode(mode_names[i].mode))
			http_server_reply_text(conn, 500, "cannot listen again\n");
		else
			http_server_reply_text(conn, 200, "ok\n");
		return;
	}
	http_server_reply_text(conn, 400, "unknown mode\n");
}

static void handle_stats(struct mg_connection *conn)
{
	struct relay_stats s;
	char text[192];

	relay_get_stats(&s);
	snprintf(text, sizeof(text),
		 "accepted %" PRIu64 "\nopen %" PRIu32 "\nsilent %" PRIu32 "\nbytes_to %" PRIu64
		 "\nbytes_from %" PRIu64 "\n",
		 s.accepted, s.open, s.silent, s.bytes_to, s.bytes_from);
	http_server_reply_text(conn, 200, text);
}

static void handle(struct mg_connection *conn, void *user_data)
{
	const char *path = mg_get_request_info(conn)->local_uri;
	char text[32];

	(void)user_data;
	if (!strcmp(path, "/standin/mode")) {
		handle_mode(conn);
	} else if (!strcmp(path, "/standin/blackhole")) {
		snprintf(text, sizeof(text), "{\"silent\":%" PRIu32 "}\n", relay_blackhole());
		http_server_reply_text(conn, 200, text);
	} else if (!strcmp(path, "/standin/delay")) {
		relay_set_delay((uint32_t)standin_query_u64(conn, "ms", 0));
		http_server_reply_text(conn, 200, "ok\n");
	} else if (!strcmp(path, "/standin/stats")) {
		handle_stats(conn);
	} else {
		http_server_reply_text(conn, 404, "no such path\n");
	}
}

int main(int argc, const char **argv)
{
	static char *listen;
	static char *to;
	static char *control;
	const struct poptOption table[] = {
		{"listen", 'l', POPT_ARG_STRING, &listen, 0, "address to listen on", "IP:PORT"},
		{"to", 't', POPT_ARG_STRING, &to, 0, "address to relay to", "IP:PORT"},
		{"control", 'c', POPT_ARG_STRING, &control, 0, "address of the control service",
		 "IP:PORT"},
		POPT_AUTOHELP POPT_TABLEEND};
	struct br_error err = {0};
	struct http_server *srv;
	sigset_t signals;

	standin_parse_options(argc, argv, table);
	if (!listen || !to || !control) {
		fprintf(stderr, "%s: --listen, --to and --control are required\n", argv[0]);
		return 2;
	}
	log_init("standin-relay", LOG_LEVEL_INFO);
	standin_block_signals(&signals);
	if (relay_start(listen, to, &err)) {
		log_err("%s: %s", listen, err.detail);
		return 1;
	}
	srv = http_server_create(&(struct http_server_config){.listen = control,
							      .workers = CONTROL_WORKERS,
							      .keep_alive_ms = KEEP_ALIVE_MS},
				 handle, NULL, &err);
	if (!srv) {
		log_err("%s: %s", control, err.detail);
		return 1;
	}
	log_info("listening on %s, to %s", listen, to);
	standin_wait_signal(&signals);
	http_server_destroy(srv);
	relay_stop();
	free(listen);
	free(to);
	free(control);
	return 0;
}
