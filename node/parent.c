#include "node/parent.h"

#include "briarreel/allowance.h"
#include "node/call.h"
#include "node/forward.h"

#include <pthread.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#define TOKEN_RANDOM_BYTES 16
#define TOKEN_BYTES (2 * TOKEN_RANDOM_BYTES + 1)
#define BUCKETS 4096

struct child {
	struct call *call;
	struct child *next;
};

struct parent {
	char token[TOKEN_BYTES];
	atomic_uint refs;
	/** Guards the allowance and the children. */
	pthread_mutex_t lock;
	struct br_allowance allowance;
	bool cancelled;
	struct child *children;
	char account[BR_NAME_BYTES];
	char route[BR_NAME_BYTES];
	uint8_t priority;
	uint32_t depth;
	uint64_t deadline_us;
	struct parent *next;
};

struct parent_table {
	pthread_mutex_t lock;
	struct parent *buckets[BUCKETS];
};

struct parent_table *parent_table_create(void)
{
	struct parent_table *t = calloc(1, sizeof(*t));

	if (t)
		pthread_mutex_init(&t->lock, NULL);
	return t;
}

void parent_table_destroy(struct parent_table *t)
{
	if (!t)
		return;
	pthread_mutex_destroy(&t->lock);
	free(t);
}

static struct parent **bucket_of(struct parent_table *t, const char *token)
{
	return &t->buckets[br_hash_str(token, 0) % BUCKETS];
}

struct parent *parent_begin(struct parent_table *t, struct call *c)
{
	unsigned char random[TOKEN_RANDOM_BYTES];
	struct parent *p = calloc(1, sizeof(*p));
	struct parent **head;

	if (!p)
		abort();
	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(p->token, sizeof(p->token), random, sizeof(random));
	atomic_init(&p->refs, 1);
	pthread_mutex_init(&p->lock, NULL);
	br_allowance_init(&p->allowance, c->retries);
	br_copy_text(p->account, sizeof(p->account), c->account);
	br_copy_text(p->route, sizeof(p->route), c->route);
	p->priority = c->priority;
	p->depth = c->depth;
	p->deadline_us = c->deadline_us;
	pthread_mutex_lock(&t->lock);
	head = bucket_of(t, p->token);
	p->next = *head;
	*head = p;
	pthread_mutex_unlock(&t->lock);
	return p;
}

uint32_t parent_end(struct parent_table *t, struct parent *p)
{
	struct parent **at;
	uint32_t unused;

	pthread_mutex_lock(&t->lock);
	for (at = bucket_of(t, p->token); *at != p; at = &(*at)->next)
		;
	*at = p->next;
	pthread_mutex_unlock(&t->lock);
	pthread_mutex_lock(&p->lock);
	unused = br_allowance_close(&p->allowance);
	pthread_mutex_unlock(&p->lock);
	parent_put(p);
	return unused;
}

struct parent *parent_find(struct parent_table *t, const char *token)
{
	struct parent *p;

	pthread_mutex_lock(&t->lock);
	for (p = *bucket_of(t, token); p; p = p->next)
		if (!strcmp(p->token, token))
			break;
	if (p)
		parent_get(p);
	pthread_mutex_unlock(&t->lock);
	return p;
}

struct parent *parent_get(struct parent *p)
{
	atomic_fetch_add(&p->refs, 1);
	return p;
}

void parent_put(struct parent *p)
{
	if (atomic_fetch_sub(&p->refs, 1) != 1)
		return;
	pthread_mutex_destroy(&p->lock);
	free(p);
}

const char *parent_token(const struct parent *p)
{
	return p->token;
}

void parent_init_child(const struct parent *p, struct call *child)
{
	br_copy_text(child->account, sizeof(child->account), p->account);
	br_copy_text(child->route, sizeof(child->route), p->route);
	child->priority = p->priority;
	child->depth = p->depth + 1;
	child->deadline_us = p->deadline_us;
}

uint32_t parent_child_begin(struct parent *p, struct call *child)
{
	struct child *link = malloc(sizeof(*link));
	uint32_t delegated;

	if (!link)
		abort();
	pthread_mutex_lock(&p->lock);
	delegated = br_allowance_delegate(&p->allowance);
	if (p->cancelled) {
		pthread_mutex_lock(&child->cancel.lock);
		child->cancel.cancelled = true;
		pthread_mutex_unlock(&child->cancel.lock);
	}
	link->call = child;
	link->next = p->children;
	p->children = link;
	pthread_mutex_unlock(&p->lock);
	return delegated;
}

void parent_child_end(struct parent *p, struct call *child, uint32_t delegated, uint32_t unused,
		      bool lost)
{
	struct child **at;
	struct child *link;

	pthread_mutex_lock(&p->lock);
	for (at = &p->children; (*at)->call != child; at = &(*at)->next)
		;
	link = *at;
	*at = link->next;
	if (lost)
		br_allowance_mark_lost(&p->allowance, delegated);
	else
		br_allowance_return(&p->allowance, delegated,
				    unused < delegated ? unused : delegated);
	pthread_mutex_unlock(&p->lock);
	free(link);
}

void parent_cancel_children(struct parent *p, struct forward *f)
{
	pthread_mutex_lock(&p->lock);
	p->cancelled = true;
	/* The lock keeps child calls from being removed; each cancellation has a timeout. */
	for (struct child *c = p->children; c; c = c->next)
		forward_cancel(f, c->call);
	pthread_mutex_unlock(&p->lock);
}
