/*
 * Seeded simulation of registrar and dedup with entry nodes, target nodes and slot holders. Guards
 * against a non-idempotent request id that runs twice, and against an attempt that runs although it
 * was reported not run. Both can come about when messages are lost, delayed or duplicated, also
 * across a restart at the same address, when processes restart without their state, and when slots
 * are taken over or handed over. Time is simulated.
 */
#include "tests/random/once_holders.h"

#include <criterion/criterion.h>
#include <string.h>
#include <time.h>

#define FIXED_SEEDS 1200

static void start_process(struct world *w, enum role role, uint32_t n)
{
	struct node *node = &w->nodes[role][n];
	struct br_dedup_config dedup = {.max_answer_bytes = w->small_tables ? 400 : 0,
					.max_attempts = w->small_tables ? 3 : 4096,
					.max_entry_nodes = 16};
	struct br_registrar_config registrar = {.n_slots = N_SLOTS,
						.max_claims = w->small_tables ? 8 : 4096};

	node->up = true;
	node->incarnation = WALL_START_MS + w->now_us / MS + 1;
	node->counter = 0;
	dedup.incarnation = node->incarnation;
	if (role == TARGET)
		node->dedup = br_dedup_create(&dedup);
	if (role == HOLDER)
		node->registrar = br_registrar_create(&registrar);
}

static void stop_process(struct world *w, enum role role, uint32_t n)
{
	struct node *node = &w->nodes[role][n];

	node->up = false;
	br_dedup_destroy(node->dedup);
	br_registrar_destroy(node->registrar);
	node->dedup = NULL;
	node->registrar = NULL;
	for (uint32_t i = 0; role == ENTRY && i < w->n_tasks; i++)
		if (w->tasks[i].entry == n)
			w->tasks[i].phase = ENDED;
	for (uint32_t i = 0; role == HOLDER && i < N_SLOTS; i++) {
		if (w->holder_of[i] != (int)n)
			continue;
		w->holder_of[i] = -1;
		if (chance(w, 20))
			schedule_expired_takeover(w, i);
		else
			push(w, (struct event){.kind = TAKEOVER, .slot = i},
			     TERM_US + random_below(w, 20 * S));
	}
}

static struct br_claim_key claim_key(struct world *w, uint32_t request)
{
	return (struct br_claim_key){.account = "acc", .id = w->requests[request].id};
}

/*
 * Starts a new attempt of a task at a random target. The entry node sometimes has a wrong
 * incarnation of the target.
 */
static void choose_attempt(struct world *w, struct task *t)
{
	struct node *entry = &w->nodes[ENTRY][t->entry];
	uint32_t n = (uint32_t)random_below(w, N_NODES);

	t->location.attempt.entry = node_id(ENTRY, t->entry);
	t->location.attempt.incarnation = t->incarnation;
	t->location.attempt.counter = ++entry->counter;
	t->location.node = node_id(TARGET, n);
	t->location.incarnation = w->nodes[TARGET][n].incarnation - (chance(w, 3) ? 1 : 0);
	t->tries = 0;
	BR_INVARIANT(w->n_attempts < MAX_ATTEMPTS);
	w->attempts[w->n_attempts++] =
		(struct attempt){.id = t->location.attempt, .request = t->request};
}

static void set_timer(struct world *w, struct task *t, uint64_t delay_us)
{
	struct event ev = {.kind = TIMER,
			   .role = ENTRY,
			   .node = t->entry,
			   .incarnation = t->incarnation,
			   .task = (uint32_t)(t - w->tasks),
			   .timer_no = ++t->timer_no};

	push(w, ev, delay_us);
}

static void send_to_holder(struct world *w, struct task *t, enum kind kind)
{
	struct br_claim_key key = claim_key(w, t->request);
	struct event ev = {.kind = kind,
			   .role = HOLDER,
			   .request = t->request,
			   .task = (uint32_t)(t - w->tasks),
			   .declared_first = t->claim_as_first && kind == CLAIM,
			   .location = t->location,
			   .previous = t->previous};
	int holder;

	ev.slot = br_registrar_slot_of(&key, N_SLOTS);
	holder = w->holder_of[ev.slot];
	ev.node =
		holder < 0 || chance(w, 5) ? (uint32_t)random_below(w, N_NODES) : (uint32_t)holder;
	/* Half of the claims are sent before a target is chosen. */
	if (kind == CLAIM && t->location.attempt.counter % 2)
		ev.location.node.text[0] = '\0';
	send(w, ev);
}

static void send_to_target(struct world *w, struct task *t)
{
	struct event ev = {.kind = RUN,
			   .role = TARGET,
			   .node = target_index(&t->location.node),
			   .request = t->request,
			   .task = (uint32_t)(t - w->tasks),
			   .attach_only = t->phase == ATTACHING,
			   .location = t->location};

	t->tries++;
	set_timer(w, t, S);
	send(w, ev);
}

static void note_not_run(struct world *w, struct task *t)
{
	struct attempt *a = find_attempt(w, &t->location.attempt);

	w->stats.not_run++;
	a->not_run = true;
	if (a->executed)
		report_failure(w, "request %u: an attempt that ran is reported not run",
			       t->request);
}

/* Ends a task whose attempt was not run, and releases its claim on the request id. */
static void end_not_run(struct world *w, struct task *t)
{
	note_not_run(w, t);
	send_to_holder(w, t, RELEASE);
	if (t->previous.counter && t->phase == MOVING) {
		t->location.attempt = t->previous;
		send_to_holder(w, t, RELEASE);
	}
	t->phase = ENDED;
}

/* Ends a declared first attempt that was handled too late. Its claim must not be released. */
static void end_late_first(struct world *w, struct task *t)
{
	note_not_run(w, t);
	w->stats.late_first++;
	t->phase = ENDED;
}

/* Handles proof that the attempt was not run: starts another one if retries are left. */
static void retry(struct world *w, struct task *t)
{
	if (!t->retries) {
		end_not_run(w, t);
		return;
	}
	note_not_run(w, t);
	t->retries--;
	t->previous = t->location.attempt;
	choose_attempt(w, t);
	t->phase = MOVING;
	send_to_holder(w, t, MOVE);
	set_timer(w, t, S);
}

static bool is_recent(struct world *w, const struct task *t)
{
	return w->now_us - t->arrived_us < TERM_US / 2;
}

static void dispatch(struct world *w, struct task *t)
{
	if (chance(w, 10)) {
		/* The connection could not be established. */
		retry(w, t);
		return;
	}
	t->phase = SENT;
	send_to_target(w, t);
}

static void on_start(struct world *w, const struct event *ev)
{
	struct task *t = &w->tasks[w->n_tasks++];

	BR_INVARIANT(w->n_tasks < MAX_TASKS);
	*t = (struct task){.phase = CLAIMING,
			   .request = ev->request,
			   .entry = ev->node,
			   .incarnation = w->nodes[ENTRY][ev->node].incarnation,
			   .arrived_us = w->now_us,
			   .declared_first = ev->declared_first,
			   .caller_closed = ev->caller_closed,
			   .retries = 2};
	choose_attempt(w, t);
	send_to_holder(w, t, CLAIM);
	set_timer(w, t, S);
}

static void on_claim_reply(struct world *w, const struct event *ev)
{
	struct task *t = &w->tasks[ev->task];
	bool set_target = t->phase == CLAIMING && t->location.attempt.counter % 2;

	if (t->phase > MOVING || !br_attempt_id_equal(&ev->location.attempt, &t->location.attempt))
		return;
	if (t->phase == CLAIMING && t->claim_as_first && !is_recent(w, t)) {
		end_late_first(w, t);
		return;
	}
	switch (ev->claim.result) {
	case BR_CLAIM_GRANTED:
		if (!set_target) {
			dispatch(w, t);
			return;
		}
		t->phase = MOVING;
		t->previous = t->location.attempt;
		send_to_holder(w, t, MOVE);
		set_timer(w, t, S);
		return;
	case BR_CLAIM_RUNS_AT:
		note_not_run(w, t);
		t->phase = ATTACHING;
		t->location = ev->claim.location;
		t->tries = 0;
		send_to_target(w, t);
		return;
	case BR_CLAIM_NO_HISTORY:
		w->stats.no_history++;
		if (!ev->declared_first && t->phase == CLAIMING && t->declared_first &&
		    !t->claim_as_first && !t->caller_closed && is_recent(w, t)) {
			t->claim_as_first = true;
			send_to_holder(w, t, CLAIM);
			set_timer(w, t, S);
			return;
		}
		break;
	case BR_CLAIM_FULL:
		w->stats.full++;
		break;
	case BR_CLAIM_DISPATCHING:
	case BR_CLAIM_NOT_HOLDER:
	case BR_CLAIM_RELEASED:
		break;
	}
	end_not_run(w, t);
}

static void on_run_reply(struct world *w, const struct event *ev)
{
	struct task *t = &w->tasks[ev->task];

	if ((t->phase != SENT && t->phase != ATTACHING) ||
	    !br_attempt_id_equal(&ev->location.attempt, &t->location.attempt))
		return;
	switch (ev->state) {
	case BR_DEDUP_NOT_RUN:
	case BR_DEDUP_FULL:
		if (t->phase == SENT)
			retry(w, t);
		else
			t->phase = ENDED;
		return;
	case BR_DEDUP_DONE:
		w->stats.collected += t->phase == ATTACHING;
		t->phase = ENDED;
		return;
	case BR_DEDUP_DONE_NO_ANSWER:
	case BR_DEDUP_STALE:
	case BR_DEDUP_WRONG_INCARNATION:
		t->phase = ENDED;
		return;
	case BR_DEDUP_NEW:
	case BR_DEDUP_RUNNING:
	case BR_DEDUP_ABSENT:
		return;
	}
}

static void on_timer(struct world *w, const struct event *ev)
{
	struct task *t = &w->tasks[ev->task];

	if (t->timer_no != ev->timer_no || t->phase == ENDED)
		return;
	if (t->phase == SENT || t->phase == ATTACHING) {
		if (t->tries < 6)
			send_to_target(w, t);
		else
			t->phase = ENDED;
		return;
	}
	if (t->phase == CLAIMING && t->claim_as_first) {
		end_late_first(w, t);
		return;
	}
	if (t->tries++) {
		end_not_run(w, t);
		return;
	}
	send_to_holder(w, t, t->phase == CLAIMING ? CLAIM : MOVE);
	set_timer(w, t, S);
}

static void on_holder_message(struct world *w, const struct event *ev)
{
	struct br_registrar *r = w->nodes[HOLDER][ev->node].registrar;
	struct br_claim_key key = claim_key(w, ev->request);
	struct event rep = *ev;

	if (ev->kind == RELEASE) {
		br_registrar_release(r, ev->slot, &key, &ev->location.attempt, w->now_us);
		return;
	}
	if (ev->kind == CLAIM)
		rep.claim = br_registrar_claim(r, ev->slot, &key, ev->declared_first, &ev->location,
					       w->now_us);
	else
		rep.claim = br_registrar_move(r, ev->slot, &key, &ev->previous, &ev->location,
					      w->now_us);
	rep.kind = CLAIM_REP;
	rep.role = ENTRY;
	rep.node = w->tasks[ev->task].entry;
	send(w, rep);
}

static void reply_run(struct world *w, const struct event *ev, enum br_dedup_state state)
{
	struct event rep = *ev;

	rep.kind = RUN_REP;
	rep.role = ENTRY;
	rep.node = w->tasks[ev->task].entry;
	rep.state = state;
	send(w, rep);
}

/* Checks that a stored answer belongs to the request. */
static void check_answer(struct world *w, const struct event *ev, struct br_answer *answer)
{
	const char *id = w->requests[ev->request].id;
	const void *body;
	size_t len;

	if (!answer)
		return;
	body = br_answer_body(answer, &len);
	if (len != strlen(id) || memcmp(body, id, len) != 0)
		report_failure(w, "request %u: got the answer to another request", ev->request);
	br_answer_put(answer);
}

static void on_run(struct world *w, const struct event *ev)
{
	struct node *node = &w->nodes[TARGET][ev->node];
	struct br_dedup_req req = {.id = ev->location.attempt,
				   .target_incarnation = ev->location.incarnation,
				   .account = "acc",
				   .request_id = w->requests[ev->request].id,
				   .attach = ev->attach_only};
	struct br_dedup_result res = br_dedup_begin(node->dedup, &req, w->now_us);

	if (res.state != BR_DEDUP_NEW) {
		w->stats.stale += res.state == BR_DEDUP_STALE;
		check_answer(w, ev, res.answer);
		reply_run(w, ev, res.state);
		return;
	}
	if (ev->attach_only)
		report_failure(w, "request %u: an attach message started a run", ev->request);
	struct event run = *ev;

	run.kind = DISPATCH;
	run.incarnation = node->incarnation;
	push(w, run, random_below(w, 500 * MS));
}

/* Takes an admitted attempt from the queue, and sheds or runs it. */
static void on_dispatch(struct world *w, const struct event *ev)
{
	struct br_dedup *d = w->nodes[TARGET][ev->node].dedup;
	struct request *req = &w->requests[ev->request];
	struct attempt *a = find_attempt(w, &ev->location.attempt);
	struct event end = *ev;

	if (chance(w, 35)) {
		br_dedup_mark_not_run(d, &a->id, w->now_us);
		reply_run(w, ev, BR_DEDUP_NOT_RUN);
		return;
	}
	if (a->not_run)
		report_failure(w, "request %u: an attempt reported not run has run", ev->request);
	if (req->executed++)
		report_failure(w, "request %u: ran %u times", ev->request, req->executed);
	a->executed = true;
	w->stats.executed++;
	w->stats.retried_runs += w->tasks[ev->task].retries < 2;
	end.kind = FINISH;
	push(w, end, random_below(w, 3 * S));
}

static void on_finish(struct world *w, const struct event *ev)
{
	const char *id = w->requests[ev->request].id;
	struct br_answer *answer = NULL;

	if (chance(w, 85))
		answer = br_answer_create(200, NULL, 0, id, strlen(id));
	br_dedup_finish(w->nodes[TARGET][ev->node].dedup, &ev->location.attempt, answer, w->now_us);
	reply_run(w, ev, answer ? BR_DEDUP_DONE : BR_DEDUP_DONE_NO_ANSWER);
	br_answer_put(answer);
}

static void on_crash(struct world *w, const struct event *ev)
{
	struct event up = *ev;

	stop_process(w, ev->role, ev->node);
	up.kind = RESTART;
	push(w, up, 100 * MS + random_below(w, 8 * S));
}

static void handle(struct world *w, const struct event *ev)
{
	const struct node *node = &w->nodes[ev->role][ev->node];

	switch (ev->kind) {
	case CRASH:
		if (node->up)
			on_crash(w, ev);
		return;
	case RESTART:
		start_process(w, ev->role, ev->node);
		return;
	case TAKEOVER:
		on_takeover(w, ev);
		return;
	case HANDOVER:
		on_handover(w, ev);
		return;
	case LAPSE:
		on_lapse(w, ev);
		return;
	case IMPORT:
		on_import(w, ev);
		return;
	default:
		break;
	}
	if (!node->up || (ev->incarnation && ev->incarnation != node->incarnation))
		return;
	if (ev->kind == START)
		on_start(w, ev);
	else if (ev->kind == CLAIM || ev->kind == MOVE || ev->kind == RELEASE)
		on_holder_message(w, ev);
	else if (ev->kind == CLAIM_REP)
		on_claim_reply(w, ev);
	else if (ev->kind == RUN)
		on_run(w, ev);
	else if (ev->kind == RUN_REP)
		on_run_reply(w, ev);
	else if (ev->kind == DISPATCH)
		on_dispatch(w, ev);
	else if (ev->kind == FINISH)
		on_finish(w, ev);
	else
		on_timer(w, ev);
}

/*
 * Schedules the first message of a request and its repeats, which follow within half of the window.
 * Only the first message is declared as the first. If it is handled late, its caller closed the
 * connection before it repeated the request.
 */
static void plan_request(struct world *w, uint32_t i)
{
	struct request *r = &w->requests[i];
	uint64_t start_us = random_below(w, 300 * S);
	uint64_t wall_ms = WALL_START_MS + start_us / MS + random_below(w, 4000) - 2000;
	uint32_t repeats = (uint32_t)random_below(w, 4);
	bool uuid = chance(w, 40);
	struct event ev = {.kind = START, .role = ENTRY, .request = i};

	if (uuid)
		snprintf(r->id, sizeof(r->id), "%08llx-%04llx-7000-8000-%012x@%u",
			 (unsigned long long)(wall_ms >> 16),
			 (unsigned long long)(wall_ms & 0xffff), i, i % (N_SLOTS + 1));
	else
		snprintf(r->id, sizeof(r->id), "order %u", i);
	ev.node = (uint32_t)random_below(w, N_NODES);
	ev.declared_first = !uuid && chance(w, 70);
	/* Some first messages wait in an accept queue while their caller repeats the request. */
	ev.caller_closed = chance(w, 10);
	push(w, ev,
	     start_us + (ev.caller_closed ? 2 * S + random_below(w, 60 * S) : random_below(w, S)));
	ev.caller_closed = false;
	ev.declared_first = false;
	for (uint32_t n = 0; n < repeats; n++) {
		uint64_t max_us = chance(w, 50) ? 3 * S : 60 * S;

		ev.node = (uint32_t)random_below(w, N_NODES);
		push(w, ev, start_us + S + random_below(w, max_us) + (chance(w, 10) ? 20 * S : 0));
	}
}

static void plan_faults(struct world *w)
{
	uint64_t crashes = random_below(w, 20);
	uint64_t handovers = random_below(w, 20);
	uint64_t lapses = random_below(w, 3);

	for (uint64_t i = 0; i < crashes; i++)
		push(w,
		     (struct event){.kind = CRASH,
				    .role = (enum role)random_below(w, ROLES),
				    .node = (uint32_t)random_below(w, N_NODES)},
		     random_below(w, 400 * S));
	for (uint64_t i = 0; i < handovers; i++)
		push(w,
		     (struct event){.kind = HANDOVER, .slot = (uint32_t)random_below(w, N_SLOTS)},
		     random_below(w, 400 * S));
	for (uint64_t i = 0; i < lapses; i++)
		push(w, (struct event){.kind = LAPSE, .slot = (uint32_t)random_below(w, N_SLOTS)},
		     random_below(w, 300 * S));
}

static void run_world(struct world *w, uint64_t seed)
{
	br_rng_seed(&w->rng, seed);
	w->small_tables = chance(w, 30);
	w->loss_pct = random_below(w, 25);
	for (int role = 0; role < ROLES; role++)
		for (uint32_t n = 0; n < N_NODES; n++)
			start_process(w, (enum role)role, n);
	for (uint32_t slot = 0; slot < N_SLOTS; slot++) {
		w->holder_of[slot] = -1;
		if (chance(w, 50))
			push(w, (struct event){.kind = TAKEOVER, .slot = slot, .key_expired = true},
			     0);
		else
			take_over(w, slot, slot % N_NODES, false);
	}
	for (uint32_t i = 0; i < N_REQUESTS; i++)
		plan_request(w, i);
	plan_faults(w);
	while (w->n_events && !w->failure[0]) {
		struct event ev = pop(w);

		w->now_us = ev.at_us;
		handle(w, &ev);
	}
	w->stats.requests = N_REQUESTS;
}

static void clean_up(struct world *w)
{
	for (size_t i = 0; i < w->n_events; i++)
		free(w->heap[i].export);
	for (int role = 0; role < ROLES; role++)
		for (uint32_t n = 0; n < N_NODES; n++) {
			br_dedup_destroy(w->nodes[role][n].dedup);
			br_registrar_destroy(w->nodes[role][n].registrar);
		}
	free(w->heap);
	free(w);
}

static void run_seed(uint64_t seed, struct stats *sum)
{
	struct world *w = calloc(1, sizeof(*w));
	char text[sizeof(w->failure)];

	cr_assert(w);
	run_world(w, seed);
	memcpy(text, w->failure, sizeof(text));
	add_stats(sum, &w->stats);
	clean_up(w);
	cr_assert(!text[0], "seed %llu: %s; repeat with BR_SEED=%llu build-asan/test_once",
		  (unsigned long long)seed, text, (unsigned long long)seed);
}

Test(once, each_request_id_runs_at_most_once)
{
	const char *single_seed = getenv("BR_SEED");
	const char *duration = getenv("BR_DURATION_S");
	const char *first_seed = getenv("BR_FIRST_SEED");
	uint64_t first = single_seed  ? strtoull(single_seed, NULL, 10)
			 : first_seed ? strtoull(first_seed, NULL, 10)
				      : 1;
	uint64_t fixed = single_seed ? 1 : FIXED_SEEDS;
	time_t end = time(NULL) + (duration ? atol(duration) : 0);
	struct stats sum = {0};
	uint64_t n = 0;

	while (n < fixed || time(NULL) < end)
		run_seed(first + n++, &sum);
	print_stats(n, &sum);
	if (n < FIXED_SEEDS)
		return;
	/* The runs prove nothing unless enough requests run and each kind of fault occurs. */
	cr_assert_gt(sum.executed, sum.requests / 3);
	cr_assert(sum.retried_runs && sum.collected && sum.no_history && sum.full && sum.stale &&
		  sum.handovers && sum.expired_keys && sum.late_first);
}
