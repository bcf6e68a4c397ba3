#include "briarreel/error.h"
#include "common/clock.h"
#include "common/http_client.h"
#include "common/http_server.h"
#include "common/log.h"
#include "node/blackboard.h"
#include "node/claims.h"
#include "node/conn_watch.h"
#include "node/control.h"
#include "node/dispatch.h"
#include "node/forward.h"
#include "node/listeners.h"
#include "node/node.h"
#include "node/node_settings.h"
#include "node/rates.h"

#include <civetweb.h>
#include <errno.h>
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "main"

/* Longer than POOL_IDLE_MS, so that the client side closes idle connections first. */
#define KEEP_ALIVE_MS 60000
#define POOL_IDLE_MS 20000
#define ADMIN_WORKERS 8
#define STOP_POLL_MS 20

/** Command-line options. */
struct options {
	/** Allocated by popt. */
	char *settings;
	int check;
	int version;
};

enum listener {
	LISTEN_CALLER,
	LISTEN_PEER,
	LISTEN_LOCAL,
	LISTEN_ADMIN,
	LISTENERS
};

static bool parse_options(int argc, const char **argv, struct options *opts, int *status)
{
	struct poptOption table[] = {
		{"settings", 's', POPT_ARG_STRING, &opts->settings, 0, "settings file", "FILE"},
		{"check-config", 'c', POPT_ARG_NONE, &opts->check, 0,
		 "check the settings file and exit", NULL},
		{"version", 'V', POPT_ARG_NONE, &opts->version, 0, "print the version and exit",
		 NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext ctx = poptGetContext("briarreeld", argc, argv, table, 0);
	int ret = poptGetNextOpt(ctx);
	bool proceed = false;

	*status = 1;
	if (ret < -1) {
		fprintf(stderr, "briarreeld: %s: %s\n", poptBadOption(ctx, 0), poptStrerror(ret));
	} else if (opts->version) {
		printf("briarreeld %s\n", BR_VERSION);
		*status = 0;
	} else if (!opts->settings || poptPeekArg(ctx)) {
		fprintf(stderr, "briarreeld: usage: briarreeld --settings FILE\n");
	} else {
		proceed = true;
	}
	poptFreeContext(ctx);
	return proceed;
}

static struct http_pool *create_pool(const struct node_settings *s, uint32_t max_idle)
{
	struct http_pool_config cfg = {.max_idle_per_peer = max_idle,
				       .max_idle_ms = POOL_IDLE_MS,
				       .connect_timeout_ms = s->connect_timeout_ms,
				       .max_body_bytes = s->max_body_bytes};

	return http_pool_create(&cfg);
}

static int create_components(struct node *node, struct br_error *err)
{
	const struct node_settings *s = node->settings;

	br_copy_text(node->id.text, sizeof(node->id.text), s->peer_address);
	node->incarnation = clock_wall_ms();
	node->board = blackboard_create();
	node->peer_pool = create_pool(s, s->peer_workers);
	node->target_pool = create_pool(s, s->peer_workers);
	node->watch = conn_watch_create();
	node->dispatch = dispatch_create(node);
	node->forward = forward_create(node);
	node->claims = claims_create(node);
	node->rates = rates_create(node);
	if (!node->board || !node->peer_pool || !node->target_pool || !node->watch ||
	    !node->dispatch || !node->forward || !node->claims || !node->rates)
		return br_error_set(err, -ENOMEM, BR_STEP_NONE, NULL, "out of memory");
	return control_create(node, err) ? 0 : err->code;
}

static void destroy_components(struct node *node)
{
	control_destroy(node->control);
	rates_destroy(node->rates);
	claims_destroy(node->claims);
	forward_destroy(node->forward);
	dispatch_destroy(node->dispatch);
	conn_watch_destroy(node->watch);
	http_pool_destroy(node->target_pool);
	http_pool_destroy(node->peer_pool);
	blackboard_destroy(node->board);
}

static int start_listeners(struct node *node, struct http_server *servers[LISTENERS],
			   struct br_error *err)
{
	const struct node_settings *s = node->settings;
	const struct {
		const char *address;
		uint32_t workers;
		http_handler handler;
	} specs[LISTENERS] = {
		[LISTEN_CALLER] = {s->caller_address, s->caller_workers, caller_handle},
		[LISTEN_PEER] = {s->peer_listen_address[0] ? s->peer_listen_address
							   : s->peer_address,
				 s->peer_workers, peer_handle},
		[LISTEN_LOCAL] = {s->local_address, s->local_workers, local_handle},
		[LISTEN_ADMIN] = {s->admin_address, ADMIN_WORKERS, admin_handle},
	};

	for (int i = 0; i < LISTENERS; i++) {
		struct http_server_config cfg = {.listen = specs[i].address,
						 .workers = specs[i].workers,
						 .keep_alive_ms = KEEP_ALIVE_MS};

		servers[i] = http_server_create(&cfg, specs[i].handler, node, err);
		if (!servers[i])
			return err->code;
	}
	return 0;
}

/*
 * Serves until all accepted requests have ended and the leave is complete, for at most
 * stop_timeout_s.
 */
static void stop_gracefully(struct node *node)
{
	uint64_t end_us = clock_now_us() + (uint64_t)node->settings->stop_timeout_s * BR_US_PER_S;

	atomic_store(&node->stopping, true);
	control_leave(node->control);
	while (clock_now_us() < end_us) {
		if (control_leave_complete(node->control) && !atomic_load(&node->active_requests) &&
		    !dispatch_active_requests(node->dispatch))
			return;
		clock_sleep_ms(STOP_POLL_MS);
	}
	log_warn("Stopped with %u requests in progress after %u s.",
		 atomic_load(&node->active_requests), node->settings->stop_timeout_s);
}

static void *close_listener(void *arg)
{
	http_server_destroy(arg);
	return NULL;
}

/* CivetWeb takes up to 2 s to stop while connections are idle, so listeners stop in parallel. */
static void close_listeners(struct http_server *servers[LISTENERS])
{
	pthread_t threads[LISTENERS];
	bool started[LISTENERS];

	for (int i = 0; i < LISTENERS; i++) {
		started[i] = !pthread_create(&threads[i], NULL, close_listener, servers[i]);
		if (!started[i])
			http_server_destroy(servers[i]);
	}
	for (int i = 0; i < LISTENERS; i++)
		if (started[i])
			pthread_join(threads[i], NULL);
}

static int run(const struct node_settings *settings)
{
	struct http_server *servers[LISTENERS] = {NULL};
	struct node node = {.settings = settings};
	struct br_error err = {0};
	sigset_t signals;
	int sig;
	int ret;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	mg_init_library(MG_FEATURES_DEFAULT);
	ret = create_components(&node, &err);
	if (!ret)
		ret = start_listeners(&node, servers, &err);
	if (ret) {
		log_err("Cannot start: %s: %s: %s.", br_step_name(err.step), err.peer, err.detail);
		return 1;
	}
	log_notice("Node %s of zone %s is ready; callers connect to %s.", node.id.text,
		   settings->zone, settings->caller_address);
	sigwait(&signals, &sig);
	log_notice("Signal %d: stopping.", sig);
	stop_gracefully(&node);
	log_info("Closing listeners.");
	close_listeners(servers);
	destroy_components(&node);
	log_notice("Stopped.");
	return 0;
}

int main(int argc, const char **argv)
{
	static struct node_settings settings;
	struct options opts = {0};
	struct br_error err = {0};
	int status;

	if (!parse_options(argc, argv, &opts, &status)) {
		free(opts.settings);
		return status;
	}
	if (sodium_init() < 0) {
		fprintf(stderr, "briarreeld: cannot initialise libsodium\n");
		return 1;
	}
	status = node_settings_read(opts.settings, &settings, &err) ? 1 : 0;
	if (status)
		fprintf(stderr, "briarreeld: %s\n", err.detail);
	else if (opts.check)
		printf("%s: ok\n", opts.settings);
	free(opts.settings);
	if (status || opts.check)
		return status;
	log_init("briarreeld", (enum log_level)settings.log_level);
	return run(&settings);
}
